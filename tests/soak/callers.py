"""Callers that use each connection until it is closed or fails."""

import asyncio
import dataclasses
import itertools
import math
import random
import socket
import time

from backend import SMALL_BYTES
from checks import STOP_GRACE_S, Checks
from messages import PIECE_BYTES, encode_request, read_message


@dataclasses.dataclass
class Route:
    kind: str
    method: str
    prefix: str
    timeout_s: float


# The long time-outs end after the grace of a stop, the short ones before.
ROUTES = [Route(kind, method, f"/{name}{suffix}/", timeout_s)
          for kind, method, name in (("safe", "GET", "safe"),
                                     ("unsafe", "POST", "order"),
                                     ("download", "GET", "file"))
          for suffix, timeout_s in (("", 2.0), ("-long", 9.0))]
SHORT_DEADLINE_S = 2.5
LONG_DEADLINES_S = (8.0, 10.0)
DEFAULT_HEADER_BYTES = 16_384
MAX_HEADER_BYTES = 110_000  # Of callers, whatever the limit is.
# A caller waits this much longer than its deadline for the end of a response.
PATIENCE_S = 3.5


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
    deadline_s: float
    sent_at: float
    whole_at: float = math.inf  # Time when the last byte was sent.
    reading_s: float = 0.0      # Time that a slow reader takes for the body.
    behind: bool = False        # Whether an earlier request was unanswered.
    after: "SentRequest" = None  # The earlier one of the connection, if behind.
    bytes_per_s: float = math.inf  # Of the response that the caller takes.
    taken_bytes: int = 0           # Of the response body.
    answered_at: float = 0.0       # Time of the complete response, or 0.


class Load:
    """What all callers send at present."""

    def __init__(self, caller_count):
        # Bounds the requests a second of all callers, which run in one process.
        self.mean_pause_s = max(0.3, caller_count / 90)
        self.fills_links = False
        self.stops_in_series = False  # Requests then outlast the grace.
        self.slow_callers = False
        self.has_long_heads = False
        self.max_head_bytes = DEFAULT_HEADER_BYTES
        self.ended = False

    def pause_s(self):
        return self.mean_pause_s / (3 if self.fills_links else 1)

    def download_share(self, vm):
        if self.stops_in_series and vm.has_slow_link:
            return 0.15  # The link also carries the answers to callers.
        return 0.5 if self.fills_links else 0.1

    def pipeline_share(self):
        return 0.3 if self.stops_in_series else 0.2

    def min_file_bytes(self):
        return 10_000 if self.stops_in_series else 20_000

    def max_file_bytes(self):
        if not self.fills_links:
            return 100_000
        return 900_000 if self.stops_in_series else 500_000


class Caller:
    """A caller on a VM that waits for its responses before it sends more."""

    request_numbers = itertools.count()
    PIECE_PAUSE_S = 0.05
    # Of slow callers: 328 and 109 kB/s, with which the largest downloads take
    # half of a grace and more than one.
    SLOW_PIECE_PAUSES_S = (0.05, 0.15)
    # Pause of callers that go on while their daemon stops.
    STOP_PAUSE_S = 0.2

    def __init__(self, vm, checks: Checks, seed, load):
        self.vm = vm
        self.checks = checks
        self.random = random.Random(seed)
        self.load = load
        self.reads_slowly = self.random.random() < (
            0.5 if load.slow_callers else 0.2)
        self.piece_pause_s = (self.random.choice(self.SLOW_PIECE_PAUSES_S)
                              if load.slow_callers else self.PIECE_PAUSE_S)

    async def run(self):
        # wait_for() of Python 3.11 can swallow a cancellation.
        while not self.load.ended:
            writer = None
            try:
                reader, writer = await self.connect()
                while (await self.call(reader, writer) and
                       not self.load.ended):
                    await asyncio.sleep(
                        self.random.expovariate(1 / self.load.pause_s()))
            except (OSError, asyncio.TimeoutError):
                pass  # The daemon is down; connects again.
            finally:
                if writer:
                    writer.close()
            await asyncio.sleep(0.1)

    async def call_during_stop(self, stop, delay_s):
        """Sends requests on a kept connection `delay_s` after `stop` is set.

        Sends none if the daemon has closed the connection until then.
        """
        writer = None
        try:
            reader, writer = await self.connect()
            if not await self.exchange(reader, writer,
                                       [self.next_request(ROUTES[0])]):
                return
            await stop.wait()
            await asyncio.sleep(delay_s)
            if not reader.at_eof():
                await self.call(reader, writer)
        except (OSError, asyncio.TimeoutError):
            pass  # The daemon is down.
        finally:
            if writer:
                writer.close()

    async def call_until_gone(self, stop):
        """Sends requests on a connection that is open when `stop` is set.

        When it is closed, uses new ones until the daemon takes no more.
        """
        writer = None
        until = math.inf
        try:
            while time.monotonic() < until:
                reader, writer = await self.connect()
                await stop.wait()
                if until == math.inf:
                    until = time.monotonic() + STOP_GRACE_S
                while (time.monotonic() < until and
                       await self.call(reader, writer)):
                    await asyncio.sleep(
                        self.random.expovariate(1 / self.STOP_PAUSE_S))
                writer.close()
                await asyncio.sleep(self.STOP_PAUSE_S)
        except (OSError, asyncio.TimeoutError):
            pass  # The daemon is down.
        finally:
            if writer:
                writer.close()

    async def connect(self):
        sock = socket.socket()
        if self.reads_slowly:
            # Keeps most of the response at the daemon.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
        sock.setblocking(False)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(
                    sock, ("127.0.0.1", self.vm.caller_port)), 1)
            return await asyncio.open_connection(
                sock=sock, limit=PIECE_BYTES if self.reads_slowly else 65536)
        except BaseException:
            sock.close()
            raise

    def next_request(self, route=None):
        if route is None:
            is_download = (self.random.random() <
                           self.load.download_share(self.vm))
            route = self.random.choice(
                [route for route in ROUTES
                 if (route.kind == "download") == is_download and
                 (route.timeout_s > SHORT_DEADLINE_S or
                  not self.load.stops_in_series)])
        number = next(Caller.request_numbers)
        target = f"{route.prefix}{number}"
        size = SMALL_BYTES
        is_long = route.timeout_s > SHORT_DEADLINE_S
        if route.kind == "download":
            size = int(math.exp(self.random.uniform(
                math.log(self.load.min_file_bytes()),
                math.log(self.load.max_file_bytes()))))
            target += f"?size={size}"
            if self.load.stops_in_series:
                target += self.random.choice(("", "", "&chunked=1", "&close=1"))
        elif is_long and self.random.random() < 0.1:
            target += f"?work={self.random.uniform(0.1, 5):.2f}"
        slow = self.reads_slowly and size > PIECE_BYTES
        return SentRequest(
            attempt_id=f"a{number:x}", vm=self.vm.name,
            service=self.vm.service,
            destination="files" if route.kind == "download" else "shop",
            kind=route.kind, method=route.method, target=target,
            body=b"x" * 50 if route.method == "POST" else b"",
            response_size=size, timeout_s=route.timeout_s,
            deadline_s=(self.random.uniform(*LONG_DEADLINES_S) if is_long
                        else SHORT_DEADLINE_S),
            sent_at=time.monotonic(),
            reading_s=(size / PIECE_BYTES + 1) * self.piece_pause_s if slow
            else 0.0,
            bytes_per_s=PIECE_BYTES / self.piece_pause_s
            if slow and self.load.slow_callers else math.inf)

    async def call(self, reader, writer):
        """Sends requests; returns whether the connection stays usable."""
        requests = [self.next_request()]
        # Only safe requests are sent before the previous response.
        kinds = (("safe", "download") if self.load.stops_in_series else
                 ("safe",))
        if (requests[0].kind in kinds and
                self.random.random() < self.load.pipeline_share()):
            for _ in range(2):
                requests.append(self.next_request(self.random.choice(
                    (ROUTES[1], ROUTES[5]) if self.load.stops_in_series else
                    ROUTES[:2])))
                requests[-1].behind = True
                requests[-1].after = requests[-2]
        return await self.exchange(reader, writer, requests)

    async def exchange(self, reader, writer, requests):
        for sent in requests:
            self.checks.sent_requests[sent.attempt_id] = sent
            await self.send(writer, sent)
        usable = True
        for sent in requests:
            if not usable:
                self.checks.on_response(sent, None, "closed")
                continue
            if sent.behind:  # Its time runs from the response before.
                sent.whole_at = time.monotonic()
            response, ending = await self.receive(reader, sent)
            sent.answered_at = time.monotonic() if response else 0.0
            self.checks.on_response(sent, response, ending)
            usable = (response is not None and
                      response.fields.get("connection", "").lower() != "close")
        return usable

    async def send(self, writer, sent):
        fields = {
            "Host": "test", "Pomelohall-Attempt-Id": sent.attempt_id,
            "Pomelohall-Request-Deadline": f"{sent.deadline_s * 1000:.0f}"}
        data = encode_request(sent.method, sent.target, fields, sent.body)
        if self.load.has_long_heads and self.random.random() < 0.1:
            # Half of them are as long as the limit allows.
            limit = min(self.load.max_head_bytes, MAX_HEADER_BYTES)
            size = self.random.choice((limit, self.random.randint(1000, limit)))
            used = len(data) - len(sent.body) + len("Cookie: \r\n")
            fields["Cookie"] = "c" * (size - used)
            data = encode_request(sent.method, sent.target, fields, sent.body)
        if sent.body and self.random.random() < 0.1:
            # The head first, then the body in two pieces.
            body_start = len(data) - len(sent.body)
            middle = len(data) - len(sent.body) // 2
            writer.write(data[:body_start])
            for start, end in ((body_start, middle), (middle, len(data))):
                await asyncio.sleep(self.random.uniform(0.1, 0.8))
                writer.write(data[start:end])
        else:
            writer.write(data)
        sent.whole_at = time.monotonic()

    async def receive(self, reader, sent):
        """Returns the response, or None, and how it ended."""
        def on_piece(size):
            sent.taken_bytes += size
        try:
            response = await asyncio.wait_for(
                read_message(reader,
                             self.piece_pause_s if sent.reading_s else 0.0,
                             on_piece if self.load.stops_in_series else None),
                sent.whole_at + sent.deadline_s + sent.reading_s + PATIENCE_S -
                time.monotonic())
            return response, "complete" if response else "closed"
        except asyncio.TimeoutError:
            return None, "gave up"
        except (OSError, asyncio.IncompleteReadError):
            return None, "closed"
        except (ValueError, IndexError, asyncio.LimitOverrunError):
            return None, "malformed"

    async def probe(self, target, kind="safe", method="GET"):
        """Sends a request on a new connection; returns the status.

        Returns 0 if there is no response.
        """
        number = next(Caller.request_numbers)
        sent = SentRequest(f"p{number:x}", self.vm.name, self.vm.service,
                           "shop", kind, method, target, b"", SMALL_BYTES,
                           ROUTES[0].timeout_s, 1.5, time.monotonic())
        self.checks.sent_requests[sent.attempt_id] = sent
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.vm.caller_port), 1)
            writer.write(encode_request(method, target, {
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
