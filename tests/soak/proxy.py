"""A loopback proxy that delays, resets, cuts and silences connections."""

import asyncio
import random
import socket
import struct

MODES = ("pass", "delay", "reset", "silent", "one_way")


class Proxy:
    """Connects a port with another one. `mode` applies from now on, also to
    open connections:

    delay: each piece waits up to a quarter of a second;
    reset: open connections are reset, new ones at once;
    silent: bytes vanish in both directions, new connections open;
    one_way: bytes vanish on the way back.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.mode = "pass"
        self.target = 0
        self.writers = set()
        self.tainted = set()
        self.server = None

    async def listen(self, port, target):
        self.target = target
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                reset(writer)
        elif mode in ("silent", "one_way"):
            # Bytes are lost for these, so they never work again.
            self.tainted |= self.writers

    async def serve(self, reader, writer):
        if self.mode == "reset":
            reset(writer)
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        pair = (writer, to_writer)
        self.writers.update(pair)
        if self.mode in ("silent", "one_way"):
            self.tainted.update(pair)
        try:
            await asyncio.gather(self.pump(reader, to_writer, False),
                                 self.pump(to_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The soak ends.
        for one in pair:
            self.writers.discard(one)
            self.tainted.discard(one)
            one.close()

    async def pump(self, reader, writer, back):
        try:
            while piece := await reader.read(65536):
                if writer in self.tainted:
                    if self.mode != "one_way" or back:
                        continue
                if self.mode == "delay":
                    await asyncio.sleep(self.random.random() / 4)
                writer.write(piece)
                await writer.drain()
            writer.write_eof()
        except OSError:
            reset(writer)


def reset(writer):
    """Closes a connection with a reset."""
    peer = writer.get_extra_info("socket")
    if peer is not None and peer.fileno() >= 0:
        try:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass  # It is closed already.
    writer.transport.abort()
