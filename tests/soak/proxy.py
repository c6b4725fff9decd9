"""A TCP proxy on loopback that delays, resets, drops or paces traffic."""

import asyncio
import random
import socket
import struct
import time

MODES = ("pass", "delay", "reset", "silent", "one_way")


class Link:
    """The sending direction of a VM's network link, shared by its proxies.

    Calls `on_choked` whenever bytes wait for more than CHOKED_S.
    """

    # Small, so that connections share the link evenly.
    CHUNK_BYTES = 16384
    CHOKED_S = 0.5
    PAUSE_S = 0.5

    def __init__(self, mbps, on_choked):
        self.bytes_per_s = mbps * 1e6 / 8
        self.on_choked = on_choked
        self.free_at = 0.0
        self.used_since = 0.0
        self.longest_use_s = 0.0  # With pauses of less than PAUSE_S.

    async def transmit(self, size):
        """Returns when `size` bytes have left."""
        now = time.monotonic()
        if now > self.free_at + self.PAUSE_S:
            self.used_since = now
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        self.longest_use_s = max(self.longest_use_s,
                                 self.free_at - self.used_since)
        if self.free_at - now > self.CHOKED_S:
            self.on_choked()
        await asyncio.sleep(self.free_at - now)


class Proxy:
    """Forwards connections from one port to another.

    Bytes from the target take time on `link`, if there is one. `buffer_bytes`
    bounds each buffer on their way, so that the target notices when they are
    not taken; 0 leaves them to the kernel.

    The mode applies to open and to new connections:

    pass: forwards all bytes;
    delay: delays each chunk by up to 0.25 s;
    reset: resets open connections, and new ones when they are accepted;
    silent: accepts new connections, drops all bytes in both directions;
    one_way: drops the bytes from the target.
    """

    def __init__(self, seed, link=None, buffer_bytes=0):
        self.random = random.Random(seed)
        self.link = link
        self.buffer_bytes = buffer_bytes
        self.mode = "pass"
        self.target = 0
        self.writers = set()
        self.lossy_writers = set()
        self.server = None

    async def listen(self, port, target):
        self.target = target
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                reset_connection(writer)
        elif mode in ("silent", "one_way"):
            # Streams with missing bytes stay unusable after a change of mode.
            self.lossy_writers |= self.writers

    async def handle_connection(self, reader, writer):
        if self.mode == "reset":
            reset_connection(writer)
            return
        try:
            upstream_reader, upstream_writer = await self.connect(writer)
        except OSError:
            reset_connection(writer)
            return
        pair = (writer, upstream_writer)
        self.writers.update(pair)
        if self.mode in ("silent", "one_way"):
            self.lossy_writers.update(pair)
        try:
            await asyncio.gather(self.forward(reader, upstream_writer, False),
                                 self.forward(upstream_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The run ends.
        for pair_writer in pair:
            self.writers.discard(pair_writer)
            self.lossy_writers.discard(pair_writer)
            pair_writer.close()

    async def connect(self, client_writer):
        """Connects to the target, and bounds the buffers of both sides."""
        if not self.buffer_bytes:
            return await asyncio.open_connection("127.0.0.1", self.target)
        client_writer.transport.set_write_buffer_limits(self.buffer_bytes)
        client_writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.buffer_bytes)
        sock = socket.socket()
        # Has to be set before the connection is made.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes)
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, ("127.0.0.1", self.target))
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=self.buffer_bytes)

    async def forward(self, reader, writer, is_response):
        link = self.link if is_response else None
        try:
            while chunk := await reader.read(
                    Link.CHUNK_BYTES if link else 65536):
                if link:
                    await link.transmit(len(chunk))
                if writer in self.lossy_writers:
                    if self.mode != "one_way" or is_response:
                        continue
                if self.mode == "delay":
                    await asyncio.sleep(self.random.random() / 4)
                writer.write(chunk)
                await writer.drain()
            writer.write_eof()
        except OSError:
            reset_connection(writer)


def reset_connection(writer):
    """Closes a TCP connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass  # The socket is already closed.
    writer.transport.abort()
