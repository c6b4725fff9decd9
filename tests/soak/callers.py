"""Callers that use open connections until the process behind them is gone."""

import asyncio
import dataclasses
import itertools
import random
import time

from backend import FILE_BYTES
from checks import Checks
from messages import read_request, request


@dataclasses.dataclass
class Sent:
    """An attempt of a caller."""

    attempt: str
    vm: str
    service: str      # Of the VM at which the request begins.
    destination: str  # Service that runs it.
    kind: str
    method: str
    target: str
    body: bytes
    size: int        # Of the body of the answer.
    timeout_s: float
    at: float
    stopping: bool = False  # The daemon got SIGTERM while it was under way.


TIMEOUT_S = 2.0
ROUTES = (("safe", "GET", "/safe/", 100), ("unsafe", "POST", "/order/", 100),
          ("download", "GET", "/file/", FILE_BYTES))


class Caller:
    """One caller on a VM, one request at a time."""

    counter = itertools.count()

    def __init__(self, vm, checks: Checks, seed, pause_s):
        self.vm = vm
        self.checks = checks
        self.random = random.Random(seed)
        self.pause_s = pause_s
        self.sent = None

    async def run(self):
        while True:
            reader = writer = None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.vm.caller_port),
                    1)
                while await self.call(reader, writer):
                    await asyncio.sleep(
                        self.random.expovariate(1 / self.pause_s))
            except (OSError, asyncio.TimeoutError):
                pass  # The daemon is down; tries again.
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(0.1)

    def next_request(self):
        kind, method, prefix, size = self.random.choice(ROUTES)
        number = next(Caller.counter)
        return Sent(
            attempt=f"a{number:x}", vm=self.vm.name, service=self.vm.service,
            destination="files" if kind == "download" else "shop",
            kind=kind, method=method, target=f"{prefix}{number}?q=1",
            body=b"x" * 50 if method == "POST" else b"", size=size,
            timeout_s=TIMEOUT_S, at=time.monotonic())

    async def call(self, reader, writer):
        """Returns whether the connection can be used again."""
        sent = self.sent = self.next_request()
        self.checks.sent[sent.attempt] = sent
        writer.write(request(sent.method, sent.target, {
            "Host": "test", "Pomelohall-Attempt-Id": sent.attempt,
            "Pomelohall-Request-Deadline": "2500"}, sent.body))
        try:
            answer = await asyncio.wait_for(read_request(reader), 6)
        except asyncio.TimeoutError:
            answer = None
        except (OSError, ValueError, asyncio.IncompleteReadError):
            answer = None
        # A connection that closed as the request was on its way lost nothing:
        # the daemon had not read it.
        if answer is not None or self.checks.runs[sent.attempt]:
            self.checks.on_answer(sent, answer)
        self.sent = None
        return (answer is not None and
                answer.fields.get("connection", "").lower() != "close")

    async def probe(self, target):
        """Asks once on a new connection; returns the status, 0 without an
        answer."""
        number = next(Caller.counter)
        sent = Sent(f"p{number:x}", self.vm.name, self.vm.service, "shop",
                    "safe", "GET", target, b"", 100, TIMEOUT_S,
                    time.monotonic())
        self.checks.sent[sent.attempt] = sent
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.vm.caller_port), 1)
            writer.write(request("GET", target, {
                "Host": "test", "Pomelohall-Attempt-Id": sent.attempt,
                "Pomelohall-Request-Deadline": "1500"}))
            answer = await asyncio.wait_for(read_request(reader), 3)
            return answer.status if answer else 0
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                writer.close()
