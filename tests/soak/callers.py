"""Callers that use each connection until it is closed or fails."""

import asyncio
import dataclasses
import itertools
import random
import time

from backend import FILE_BYTES
from checks import Checks
from messages import read_message, encode_request


@dataclasses.dataclass
class SentRequest:
    """A request that a caller sent, and its expected response."""

    attempt_id: str
    vm: str           # VM of the caller.
    service: str      # Service of that VM.
    destination: str  # Service that executes the request.
    kind: str
    method: str
    target: str
    body: bytes
    response_size: int  # Bytes of the response body.
    timeout_s: float
    sent_at: float
    # Whether the daemon got SIGTERM while the request was in flight.
    daemon_stopping: bool = False


TIMEOUT_S = 2.0
# (kind, method, path prefix, bytes of the response body)
ROUTES = (("safe", "GET", "/safe/", 100), ("unsafe", "POST", "/order/", 100),
          ("download", "GET", "/file/", FILE_BYTES))


class Caller:
    """A caller on a VM that sends one request at a time."""

    request_numbers = itertools.count()

    def __init__(self, vm, checks: Checks, seed, mean_pause_s):
        self.vm = vm
        self.checks = checks
        self.random = random.Random(seed)
        self.mean_pause_s = mean_pause_s
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
                        self.random.expovariate(1 / self.mean_pause_s))
            except (OSError, asyncio.TimeoutError):
                pass  # The daemon is down; connects again.
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(0.1)

    def next_request(self):
        kind, method, prefix, size = self.random.choice(ROUTES)
        number = next(Caller.request_numbers)
        return SentRequest(
            attempt_id=f"a{number:x}", vm=self.vm.name,
            service=self.vm.service,
            destination="files" if kind == "download" else "shop",
            kind=kind, method=method, target=f"{prefix}{number}?q=1",
            body=b"x" * 50 if method == "POST" else b"", response_size=size,
            timeout_s=TIMEOUT_S, sent_at=time.monotonic())

    async def call(self, reader, writer):
        """Sends one request; returns whether the connection stays usable."""
        sent = self.sent = self.next_request()
        self.checks.sent_requests[sent.attempt_id] = sent
        writer.write(encode_request(sent.method, sent.target, {
            "Host": "test", "Pomelohall-Attempt-Id": sent.attempt_id,
            "Pomelohall-Request-Deadline": "2500"}, sent.body))
        try:
            response = await asyncio.wait_for(read_message(reader), 6)
        except asyncio.TimeoutError:
            response = None
        except (OSError, ValueError, asyncio.IncompleteReadError):
            response = None
        # A request without response that was not executed is not a lost one:
        # the daemon closed the connection before it read the request.
        if response is not None or self.checks.executions[sent.attempt_id]:
            self.checks.on_response(sent, response)
        self.sent = None
        return (response is not None and
                response.fields.get("connection", "").lower() != "close")

    async def probe(self, target):
        """Sends a GET request on a new connection; returns the status.

        Returns 0 if there is no response.
        """
        number = next(Caller.request_numbers)
        sent = SentRequest(f"p{number:x}", self.vm.name, self.vm.service,
                           "shop", "safe", "GET", target, b"", 100, TIMEOUT_S,
                           time.monotonic())
        self.checks.sent_requests[sent.attempt_id] = sent
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.vm.caller_port), 1)
            writer.write(encode_request("GET", target, {
                "Host": "test", "Pomelohall-Attempt-Id": sent.attempt_id,
                "Pomelohall-Request-Deadline": "1500"}))
            response = await asyncio.wait_for(read_message(reader), 3)
            return response.status if response else 0
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                writer.close()
