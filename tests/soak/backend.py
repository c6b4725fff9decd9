"""Backend servers in the platform's format, and what they saw."""

import asyncio
import json
import random
import time

from messages import read_head, read_body, request, read_request, response
from proxy import reset

ATTEMPT = "pomelohall-attempt-id"
HEARTBEAT_S = 0.5
FILE_BYTES = 100_000


def body_of(attempt, target, size):
    """The bytes that a request has to be answered with."""
    return (f"{attempt} {target} ".encode() * (size // 16 + 1))[:size]


class Backend:
    """One backend server beside a daemon. Starts anew under a new id."""

    SLOTS = 8

    def __init__(self, service, port, control_port, checks, seed):
        self.service = service
        self.port = port
        self.control_port = control_port
        self.checks = checks
        self.random = random.Random(seed)
        self.instance = ""
        self.state = "ready"
        self.slow = 1.0       # Multiplies the time of work.
        self.lose = 0.0       # Share of answers that are lost.
        self.break_off = 0.0  # Share of answers that stop early.
        self.drained_at = None
        self.running = 0
        self.server = None
        self.writers = set()
        self.beats = None

    async def start(self):
        self.instance = f"i-{self.random.getrandbits(40):010x}"
        self.state = "ready"
        self.drained_at = None
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)
        self.beats = asyncio.create_task(self.announce())

    async def crash(self):
        """Ends at once; nobody is told."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        await self.server.wait_closed()

    async def leave(self, withdraw, drain_s):
        """Leaves as planned: tells the daemon, serves on, and ends."""
        self.state = "draining"
        self.beats.cancel()
        acknowledged = False
        for _ in range(20):
            acknowledged = await (self.withdraw() if withdraw else self.beat())
            if acknowledged:
                break
            await asyncio.sleep(0.2)
        if acknowledged:
            self.drained_at = time.monotonic()
        # It may go on for seconds, in which nothing new may arrive.
        await asyncio.sleep(drain_s + self.random.uniform(1, 5))
        await self.crash()

    async def announce(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        self.sequence += 1
        return await self.tell("PUT", {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "near", "version": "v1", "slots": self.SLOTS,
            "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
            "born": self.born})

    async def withdraw(self):
        return await self.tell("DELETE", None)

    async def tell(self, method, body):
        """Returns whether the daemon acknowledged within a second."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.control_port), 1)
            writer.write(request(
                method, f"/pomelohall/instances/{self.instance}",
                {"Host": "local", "Content-Type": "application/json"},
                json.dumps(body).encode() if body else b""))
            answer = await asyncio.wait_for(read_request(reader), 1)
            return answer is not None and answer.status // 100 == 2
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False  # The daemon is down; the next beat tries again.
        finally:
            if writer:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message.fields)
                if not await self.run(message, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # The daemon broke the request off.
        except asyncio.CancelledError:
            pass  # The soak ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, message, writer):
        attempt = message.fields.get(ATTEMPT, "")
        echo = {"Pomelohall-Attempt-Id": attempt}
        if message.fields.get("pomelohall-expect-instance",
                              self.instance) != self.instance:
            writer.write(response(421, b"", echo))
            return True
        if self.running >= self.SLOTS * 2:
            writer.write(response(503, b"", {
                **echo, "Pomelohall-Not-Executed": "1"}))
            return True
        self.checks.on_run(self, message)
        self.running += 1
        try:
            await asyncio.sleep(self.random.uniform(0.01, 0.06) * self.slow)
        finally:
            self.running -= 1
        if self.random.random() < self.lose:
            reset(writer)
            return False
        size = FILE_BYTES if message.target.startswith("/file/") else 100
        answer = response(200, body_of(attempt, message.target, size), {
            **echo, "Pomelohall-Response-Signature": "s-" + attempt})
        if self.random.random() < self.break_off:
            writer.write(answer[:len(answer) - 50])
            await writer.drain()
            reset(writer)
            return False
        writer.write(answer)
        await writer.drain()
        return True
