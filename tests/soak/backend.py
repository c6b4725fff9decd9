"""Simulated backend servers that speak the platform's format."""

import asyncio
import json
import random
import time
import urllib.parse

from messages import read_head, read_body, encode_request, read_message, \
    encode_response
from proxy import reset_connection

ATTEMPT_ID_FIELD = "pomelohall-attempt-id"
ANNOUNCE_INTERVAL_S = 0.5
CRASHING_NAME = "crash-"  # Part of the targets of requests that crash servers.
SMALL_BYTES = 100  # Body of a response whose request asks for no size.
# Beyond what the longest header of callers and the daemons add to it takes.
MAX_HEAD_BYTES = 262_144


def expected_body(attempt_id, target, size):
    """Returns the response body that belongs to an attempt."""
    return (f"{attempt_id} {target} ".encode() * (size // 16 + 1))[:size]


class Backend:
    """A backend server on a VM. Most starts have a new instance ID."""

    SLOTS = 8

    def __init__(self, service, port, local_port, checks, seed):
        self.vm = ""
        self.service = service
        self.port = port
        self.local_port = local_port
        self.checks = checks
        self.random = random.Random(seed)
        self.instance = ""
        self.state = "ready"
        self.slowdown = 1.0  # Factor of the service time.
        self.lost_response_share = 0.0
        self.truncated_response_share = 0.0
        self.cut_head_share = 0.0
        self.doubled_refusal_share = 0.0
        # Departures after which a report arrives that was sent before.
        self.late_report_share = 0.0
        self.drained_at = None
        # Called for a request that crashes the server, with its target.
        self.on_crashing_request = None
        self.running = set()  # Attempt IDs of the requests that run.
        self.server = None
        self.writers = set()
        self.announce_task = None

    async def start(self, keeps_instance=False, clock_error_s=0.0,
                    announces=True):
        if not keeps_instance:
            self.instance = f"i-{self.random.getrandbits(40):010x}"
        self.state = "ready"
        self.drained_at = None
        self.started_unix_ms = int((time.time() + clock_error_s) * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", self.port,
            limit=MAX_HEAD_BYTES)
        if announces:
            self.announce_task = asyncio.create_task(
                self.announce_periodically())

    async def crash(self):
        """Stops at once, without telling the daemon."""
        self.announce_task.cancel()
        self.server.close()
        self.checks.broken_off |= self.running
        for writer in list(self.writers):
            reset_connection(writer)
        await self.server.wait_closed()

    async def stop_gracefully(self, delete_announcement, drain_s):
        """Tells the daemon that it stops, serves for some seconds, stops.

        Announces the state "draining", or deletes its announcement.
        """
        late_report = self.report() if self.late_report_share else None
        self.state = "draining"
        self.announce_task.cancel()
        if await self.leave(delete_announcement):
            if (late_report and
                    self.random.random() < self.late_report_share):
                await asyncio.sleep(self.random.uniform(0.1, 4))
                await self.send_to_daemon("PUT", late_report)
        # Keeps serving, so that a new request after the drain is detected.
        await asyncio.sleep(drain_s + self.random.uniform(1, 5))
        await self.crash()

    async def leave(self, delete_announcement):
        """Returns whether the daemon has acknowledged that the server leaves."""
        for _ in range(20):
            if await (self.withdraw() if delete_announcement
                      else self.announce()):
                self.drained_at = time.monotonic()
                return True
            await asyncio.sleep(0.2)
        return False

    async def withdraw_unannounced(self, drain_s, clock_error_s):
        """Starts again with its instance, and leaves before its first report.

        The reports arrive after that.
        """
        self.announce_task.cancel()
        await self.crash()
        await asyncio.sleep(self.random.uniform(0.1, 1))
        await self.start(True, clock_error_s, announces=False)
        reports = [self.report() for _ in range(self.random.choice((1, 1, 3)))]
        await asyncio.sleep(self.random.uniform(0, 1))
        self.state = "draining"
        acknowledged = await self.leave(True)
        for report in reports if acknowledged else ():
            await asyncio.sleep(self.random.uniform(0.1, 3))
            await self.send_to_daemon("PUT", report)
        await asyncio.sleep(drain_s + self.random.uniform(1, 5))
        await self.crash()

    async def announce_periodically(self):
        # wait_for() of Python 3.11 can swallow a cancellation.
        while self.server.is_serving():
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self):
        return await self.send_to_daemon("PUT", self.report())

    def report(self):
        """Returns the next announcement."""
        self.sequence += 1
        return {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "near", "version": "v1", "slots": self.SLOTS,
            "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
            "born": self.started_unix_ms}

    async def announce_as_other(self):
        """Sends an announcement as another program on this VM may."""
        report = {**self.report(), "born": self.started_unix_ms + 5000,
                  "state": self.random.choice(("ready", "draining"))}
        field = self.random.choice(("service", "state", "address", "zone",
                                    "slots", "seq", "coldLeftMs"))
        if field in ("service", "state", "address"):
            report[field] = self.random.choice(("unnamed", "10.9.9.9:80"))
        elif self.random.random() < 0.5:
            del report[field]
        else:
            report[field] = [report[field]]
        await self.send_to_daemon(
            "PUT", report, self.random.choice(("i-other", self.instance)))

    async def withdraw(self):
        return await self.send_to_daemon("DELETE", None)

    async def send_to_daemon(self, method, body, instance=None):
        """Returns whether the daemon acknowledged within a second."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.local_port), 1)
            writer.write(encode_request(
                method, f"/pomelohall/instances/{instance or self.instance}",
                {"Host": "local", "Content-Type": "application/json"},
                json.dumps(body).encode() if body else b""))
            response = await asyncio.wait_for(read_message(reader), 1)
            return response is not None and response.status // 100 == 2
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False  # The daemon is down; announced again later.
        finally:
            if writer:
                writer.close()

    async def handle_connection(self, reader, writer):
        self.writers.add(writer)
        extra = b""  # Written before the response to the next request.
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message.fields)
                if extra:
                    self.checks.broken_off.add(
                        message.fields.get(ATTEMPT_ID_FIELD, ""))
                    writer.write(extra)
                    extra = b""
                if self.random.random() < self.doubled_refusal_share:
                    extra = self.refuse_twice(message, writer)
                elif not await self.handle_request(message, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # The daemon aborted the request.
        except asyncio.CancelledError:
            pass  # The run ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    def refuse_twice(self, message, writer):
        """Refuses a request; writes the refusal again at once or returns it.

        The second refusal may lack the ID of the attempt, so that nothing in it
        tells which request it is about.
        """
        fields = {"Pomelohall-Not-Executed": "1"}
        identified = {"Pomelohall-Attempt-Id": message.fields.get(
            ATTEMPT_ID_FIELD, ""), **fields}
        writer.write(encode_response(503, b"", identified))
        second = encode_response(
            503, b"", self.random.choice((identified, fields)))
        if self.random.random() < 0.3:
            writer.write(second)
            return b""
        return second

    async def handle_request(self, message, writer):
        attempt_id = message.fields.get(ATTEMPT_ID_FIELD, "")
        response_fields = {"Pomelohall-Attempt-Id": attempt_id}
        if message.fields.get("pomelohall-expect-instance",
                              self.instance) != self.instance:
            writer.write(encode_response(421, b"", response_fields))
            return True
        if len(self.running) >= self.SLOTS * 2:
            writer.write(encode_response(503, b"", {
                **response_fields, "Pomelohall-Not-Executed": "1"}))
            return True
        self.checks.on_execution(self, message)
        self.running.add(attempt_id)
        if self.on_crashing_request and CRASHING_NAME in message.target:
            await self.on_crashing_request(message.target)
            return False
        query = urllib.parse.urlsplit(message.target).query
        wanted = {name: float(value)
                  for name, value in urllib.parse.parse_qsl(query)}
        try:
            await asyncio.sleep(wanted.get("work", 0) +
                self.random.uniform(0.01, 0.06) * self.slowdown)
        finally:
            self.running.discard(attempt_id)
            self.checks.on_execution_end(attempt_id)
        framing = next((name for name in ("chunked", "close")
                        if name in wanted), "length")
        response = encode_response(
            200, expected_body(attempt_id, message.target,
                               int(wanted.get("size", SMALL_BYTES))), {
                **response_fields,
                "Pomelohall-Response-Signature": "s-" + attempt_id}, framing)
        if self.random.random() < self.lost_response_share:
            self.checks.broken_off.add(attempt_id)
            reset_connection(writer)
            return False
        if self.random.random() < self.truncated_response_share:
            self.checks.broken_off.add(attempt_id)
            writer.write(response[:len(response) - 50])
            await writer.drain()
            reset_connection(writer)
            return False
        if self.random.random() < self.cut_head_share:
            self.checks.broken_off.add(attempt_id)
            writer.write(response[:self.random.randrange(
                response.index(b"\r\n\r\n") + 4)])
            await writer.drain()
            return False
        writer.write(response)
        await writer.drain()
        return framing != "close"
