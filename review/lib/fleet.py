"""A small deployment for the review cases, on loopback addresses.

Starts the sidecars of the deploy file as separate processes. The store, the
backend servers and the clients are stand-ins in this process; they follow
SYSTEM.md, PROTOCOL.md and DEPLOY.md, and behave soundly where those are silent.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SIDECAR = os.path.join(ROOT, "target", "bin", "pomelohall-sidecar")
TEMPLATE = os.path.join(ROOT, "deploy", "sidecar.json.tmpl")
OBJECTS = "/pomelohall/objects/"
HOST = "shop.example"
CASE_LIMIT_S = 110
BROKEN, HELD, NOT_RUN = 1, 0, 2

# Bounds of lacerda-envelopes in SYSTEM.md. A case on another site replaces some.
DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.5
GRACE_S = 6.0
BOUNDS = {"drainMs": 2000, "configApplyMs": 2000, "graceS": 6,
          "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58}


class CaseError(Exception):
    """The case could not run."""


# HTTP messages ----------------------------------------------------------------


@dataclasses.dataclass
class Message:
    first: str
    fields: dict
    body: bytes = b""

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader):
    """Returns the next message, or None if the connection ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.lower()] = value.strip()
    message = Message(lines[0], fields)
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return message
    message.body = await reader.readexactly(
        int(fields.get("content-length", 0)))
    return message


def encode(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# Record of what happened ------------------------------------------------------


class Record:
    """Writes record.txt and prints the same lines."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, flush=True)
        self.file.write(line + "\n")
        self.file.flush()


# The platform's store ---------------------------------------------------------


class Store:
    """Objects by kind and name with one revision counter, over HTTP/1.1."""

    def __init__(self):
        self.revision = 10
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()
        self.servers = []
        self.refused = set()  # Ports of the machines that are turned away.

    async def listen(self, ip, port):
        """Serves one machine; all machines see the same objects."""
        async def serve(reader, writer):
            await self.serve(reader, writer, port)
        self.servers.append(await asyncio.start_server(serve, ip, port))

    def put(self, kind, name, spec, status=None):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        objects[name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": status}
        self.history.append((self.revision, kind, objects[name], False))
        self.changed.set()
        self.changed = asyncio.Event()
        return objects[name]

    async def serve(self, reader, writer, port):
        try:
            while (request := await read_message(reader)) is not None:
                if port in self.refused:
                    status, body = 503, {}
                else:
                    status, body = await self.handle(request)
                writer.write(encode(
                    f"HTTP/1.1 {status} -",
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode()))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(OBJECTS):
            return 404, {}
        kind, _, name = url.path[len(OBJECTS):].partition("/")
        name = urllib.parse.unquote(name)
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET":
            if name:
                return (200, objects[name]) if name in objects else (404, {})
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]),
                                        int(query.get("waitMs", 0)) / 1000)
            after = query.get("after", "")
            return 200, {"items": [objects[key] for key in sorted(objects)
                                   if key > after],
                         "hasMore": False, "asOf": self.revision}
        document = json.loads(request.body)
        name = name or document["metadata"]["name"]
        old = objects.get(name)
        if request.method == "POST":
            if old:
                return 409, old
        elif request.method == "PUT":
            if not old:
                return 404, {}
            wanted = document["metadata"].get("revision")
            if wanted is not None and wanted != old["metadata"]["revision"]:
                return 409, old
        else:
            return 405, {}
        return 200, self.put(kind, name, document["spec"])

    async def watch(self, kind, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [{"object": item, "deleted": deleted}
                      for revision, changed, item, deleted in self.history
                      if changed == kind and revision > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Backend servers --------------------------------------------------------------


class Backend:
    """The application backend of a machine. Each start has a new id."""

    numbers = itertools.count(1)
    SLOTS = 18

    def __init__(self, fleet, machine, service):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.id = ""
        self.sequence = 0
        self.born = 0
        self.server = None
        self.writers = set()
        self.beats = None
        self.work_s = 0.03
        self.crashes = None  # Given a request, whether it ends the process.

    async def start(self):
        self.id = f"i-{next(Backend.numbers):06x}{os.getpid() % 0xffff:04x}"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.ports["app"])
        self.fleet.record.write(
            f"backend {self.id} of {self.service} starts on "
            f"{self.machine.name}")
        self.beats = asyncio.create_task(self.beat())

    def crash(self):
        """Ends without telling anybody; its connections are reset."""
        if self.server is None:
            return
        self.fleet.record.write(f"backend {self.id} crashes")
        self.beats.cancel()
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def report(self, state="ready"):
        """Returns the next liveness report."""
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.machine.ip}:{self.machine.ports['app']}",
                "zone": self.machine.zone, "version": "v1",
                "slots": self.SLOTS, "state": state, "coldLeftMs": 0,
                "seq": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            await self.fleet.call_control(self.machine, "PUT", self.id,
                                          self.report())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        identity = self.id
        try:
            while (request := await read_message(reader)) is not None:
                if self.server is None or self.id != identity:
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        attempt = request.fields.get("pomelohall-attempt-id", "")
        fields = {"Pomelohall-Attempt-Id": attempt}
        expected = request.fields.get("pomelohall-expect-instance", self.id)
        if expected != self.id:
            fields["Pomelohall-Instance-Id"] = self.id
            writer.write(encode("HTTP/1.1 421 Misdirected Request", fields))
            return True
        run = Run(attempt, self.id, self.machine.name, self.service,
                  request.method, request.target,
                  request.fields.get("pomelohall-caller-service", ""),
                  time.monotonic())
        self.fleet.on_run(run)
        if self.crashes and self.crashes(request):
            self.crash()
            return False
        # Drops the request when its connection closes.
        work = asyncio.create_task(asyncio.sleep(self.work_s))
        await work
        if writer.transport.is_closing() or reader.at_eof():
            return False
        fields["Pomelohall-Response-Signature"] = f"s.{attempt}"
        fields["Pomelohall-Server-Load"] = f"1,0,{self.SLOTS}"
        writer.write(encode("HTTP/1.1 200 OK", fields,
                            f"{attempt} {request.target}".encode()))
        await writer.drain()
        return True


@dataclasses.dataclass
class Run:
    """A request that a backend began to run."""

    attempt: str
    backend: str
    machine: str
    service: str
    method: str
    target: str
    caller_service: str
    at: float


# Machines ---------------------------------------------------------------------


class Machine:
    """A machine with its daemon and its backend."""

    PORTS = ("outbound", "inbound", "ready", "control", "app", "first", "last")

    def __init__(self, fleet, index, zone, service):
        self.fleet = fleet
        self.name = f"sidecar-{zone}-{index}"
        self.zone = zone
        self.store_port = free_ports(fleet.store_ip, 1)[0]
        self.ip = f"127.0.0.{20 + index}"
        self.ports = dict(zip(self.PORTS, free_ports(self.ip, len(self.PORTS))))
        self.service = service
        self.backend = Backend(fleet, self, service)
        self.process = None
        self.started_at = 0.0
        self.link = None
        self.link_mbps = 1000.0
        self.settings = os.path.join(fleet.folder, self.name + ".json")

    def write_settings(self):
        listen = {role: f"{self.ip}:{self.ports[role]}"
                  for role in ("outbound", "inbound", "ready", "control")}
        values = {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "app": f"{self.ip}:{self.ports['app']}", "service": self.service,
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": self.fleet.bounds,
            "listen": listen,
            "internalPorts": [self.ports["first"], self.ports["last"]],
            "platform": {
                "address": f"{self.fleet.store_ip}:{self.store_port}"},
            "limits": {"linkMbps": self.link_mbps}}
        with open(TEMPLATE, encoding="utf-8") as file:
            text = file.read()
        settings = json.loads(re.sub(r"\{\{([^}|]+)(\|json)?\}\}",
                                     lambda hit: render(values, hit), text))
        if self.link:
            settings["listeners"]["advertised"] = f"{self.ip}:{self.link.port}"
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def limit_link(self, mbps):
        """Gives the machine a slow link; to be called before its start."""
        self.link_mbps = mbps
        self.link = Link(self, mbps)
        await self.link.listen()

    def start_daemon(self):
        self.write_settings()
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        with log:
            self.process = subprocess.Popen(
                [SIDECAR, "--settings", self.settings], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.started_at = time.monotonic()
        self.fleet.record.write(f"daemon of {self.name} starts")

    async def end_daemon(self, number):
        """Sends a signal and waits for the end, GRACE_S at most."""
        self.fleet.record.write(
            f"daemon of {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        end = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.fleet.record.write(f"daemon of {self.name} has ended with "
                                f"{self.process.returncode}")

    def in_touch(self, at):
        """Whether its daemon was left alone for contactMs before `at`.

        The cases disturb nothing but daemons.
        """
        return (self.process is not None and self.process.poll() is None and
                at - self.started_at >= CONTACT_S)


def render(values, hit):
    value = values
    for part in hit.group(1).split("."):
        value = value[int(part) if isinstance(value, list) else part]
    return json.dumps(value) if hit.group(2) else str(value)


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Link:
    """Carries what a machine sends to others, at the rate of its link.

    Other machines reach the daemon through it. It changes and drops nothing.
    """

    PIECE_BYTES = 4096
    BURST_S = 0.02  # Makes up for timers that fire late.

    def __init__(self, machine, mbps):
        self.machine = machine
        self.bytes_per_s = mbps * 125_000
        self.free_at = 0.0
        self.port = free_ports(machine.ip, 1)[0]
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.port)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.machine.ip, self.machine.ports["first"], limit=16384)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.carry(reader, far_writer, False),
                             self.carry(far_reader, writer, True))

    async def carry(self, reader, writer, limited):
        try:
            while data := await reader.read(self.PIECE_BYTES):
                if limited:
                    now = time.monotonic()
                    self.free_at = (max(self.free_at, now - self.BURST_S) +
                                    len(data) / self.bytes_per_s)
                    await asyncio.sleep(max(0, self.free_at - now))
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            writer.close()


class Fleet:
    """Machines, the store, the clients and the record of a case."""

    def __init__(self, folder, record, services, bounds):
        self.folder = folder
        self.record = record
        self.bounds = bounds
        self.store = Store()
        self.store_ip = "127.0.0.10"
        self.runs = []
        self.sent_at = {}  # Time at which a client sent an attempt.
        self.attempts = itertools.count(1)
        zones = ("plant", "office", "depot")
        self.machines = [
            Machine(self, index, zones[index % len(zones)], service)
            for index, service in enumerate(services)]

    def on_run(self, run):
        self.runs.append(run)
        self.record.write(
            f"ran {run.attempt} {run.method} {run.target} on {run.backend} "
            f"({run.service}, {run.machine}), caller service "
            f"{run.caller_service!r}")

    def publish(self, version, routes):
        """Writes a configuration as the operator does.

        `routes`: (name, prefix, kind, service) each, and further fields.
        """
        services = sorted({machine.service for machine in self.machines})
        self.store.put("config", "main", {
            "version": f"r{version}",
            "routes": [{
                "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
                "timeoutMs": 1500, "latencyTargetMs": 800, "priority": 1,
                "service": service, "attempts": 2, **(more[0] if more else {})}
                for name, prefix, kind, service, *more in routes],
            "services": [{"name": service, "healthPath": "/healthz",
                          "maxConns": 110, "protocol": "h1", "tls": False}
                         for service in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def start(self, routes):
        for machine in self.machines:
            await self.store.listen(self.store_ip, machine.store_port)
        self.publish(7, routes)
        for machine in self.machines:
            machine.start_daemon()
            await machine.backend.start()
        end = time.monotonic() + 15
        for machine in self.machines:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise CaseError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        # All machines are in touch, and know each other.
        await asyncio.sleep(CONTACT_S + 1)

    async def is_ready(self, machine):
        response = await self.call(machine, "ready", "GET", "/pomelohall/ready")
        return response is not None and response.status == 200

    async def call(self, machine, port, method, target, body=b""):
        """One call on a new connection; None without an answer in a second."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                machine.ip, machine.ports[port]), 1)
            writer.write(encode(f"{method} {target} HTTP/1.1", {
                "Host": "local", "Content-Type": "application/json"}, body))
            return await asyncio.wait_for(read_message(reader), 1)
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return None
        finally:
            if writer:
                writer.close()

    async def call_control(self, machine, method, identity, body=None,
                           note=False):
        """Sends a liveness report or its withdrawal; returns whether acked."""
        response = await self.call(
            machine, "control", method, f"/pomelohall/instances/{identity}",
            json.dumps(body).encode() if body else b"")
        acked = response is not None and response.status // 100 == 2
        if note:
            self.record.write(
                f"{method} {identity} {json.dumps(body) if body else ''} at "
                f"{machine.name}: "
                f"{response.status if response else 'no answer'}")
        return acked

    async def request(self, machine, method, target, deadline_s=2.5, body=b""):
        """A request of a client, on a new connection.

        Returns its attempt id and the answer, or None without one.
        """
        attempt = f"a{next(self.attempts):05x}{os.getpid() % 0xffff:04x}"
        writer = None
        answer = None
        ended = "no connection"
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                machine.ip, machine.ports["outbound"]), 1)
            self.sent_at[attempt] = time.monotonic()
            self.record.write(f"sent {attempt} {method} {target} at "
                              f"{machine.name}")
            writer.write(encode(f"{method} {target} HTTP/1.1", {
                "Host": HOST, "Pomelohall-Attempt-Id": attempt,
                "Pomelohall-Request-Deadline": int(deadline_s * 1000)}, body))
            ended = "closed"
            answer = await asyncio.wait_for(read_message(reader), deadline_s)
        except asyncio.TimeoutError:
            ended = "gave up"
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer:
                writer.close()
        self.record.write(
            f"answered {attempt} "
            f"{answer.status if answer else ended}")
        return attempt, answer

    def close(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()


def main(case_file, services, case, bounds=None):
    """Runs `case(fleet, trouble)`, which returns whether the rule held.

    `bounds` replaces some of BOUNDS.
    """
    folder = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    work = tempfile.mkdtemp(prefix="pomelohall-review-")
    fleet = None

    def give_up(_number, _frame):
        if fleet:
            fleet.close()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)

    async def run():
        try:
            return await asyncio.wait_for(case(fleet, trouble), CASE_LIMIT_S)
        finally:
            fleet.close()
            await asyncio.sleep(0.2)  # For the ends of their connections.

    try:
        fleet = Fleet(work, record, services, {**BOUNDS, **(bounds or {})})
        held = asyncio.run(run())
        record.write("the rule held" if held else "THE RULE WAS BROKEN")
        code = HELD if held else BROKEN
    except Exception as error:  # Anything else must not pass for a result.
        record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    finally:
        if fleet:
            fleet.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {work}")
        else:
            shutil.rmtree(work)
    sys.stdout.flush()
    os._exit(code)  # Without waiting for the ends of watches.
