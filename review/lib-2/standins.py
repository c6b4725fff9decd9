"""Stand-ins of the platform's store, backend servers and clients.

They follow PROTOCOL.md. All addresses are loopback addresses, and all ports are
free ones. The daemons are the project's own program, started with the command
of the deploy file.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "pomelohall-sidecar")
HOST = "127.0.0.1"
STORE_ANSWER_S = 0.004  # "4 ms an answer"
HEARTBEAT_S = 1.5
MEMBERS = "pomelohall-members"  # Kind in which the daemons keep their records.
_handed_out = set()  # Ports


def free_ports(count):
    """Ports below the range from which the kernel takes those of clients."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        if port in _handed_out:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _handed_out.add(port)
        ports.append(port)
    return ports


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Message:
    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields  # Names in lower case.
        self.body = b""

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def read_message(reader):
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message.fields)
    return message


def encode(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value
                            in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status, body=b"", fields=None):
    return encode(f"HTTP/1.1 {status} -",
                  {"Content-Length": len(body), **(fields or {})}, body)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """Objects by kind and name with one revision counter.

    Each machine has a port of its own, so that the store can turn away some
    machines and serve the others. Modes of a port: "pass"; "busy" (503 to every
    call); "many" (429 to `many_share` of the calls); "reset"; "silent".
    """

    PAGE = 500
    PREFIX = "/pomelohall/objects/"

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.modes = {}
        self.servers = []
        self.many_share = 0.0
        self.random = None
        self.log = None

    async def listen(self, port):
        self.modes[port] = "pass"

        async def handle(reader, writer):
            await self.handle_connection(port, reader, writer)
        self.servers.append(await asyncio.start_server(handle, HOST, port))

    def put(self, kind, name, spec):
        items = self.objects.setdefault(kind, {})
        known = items.get(name)
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        items[name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": known["metadata"]["created"] if known
                         else self.revision,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": None}
        self.history.append((self.revision, kind, items[name]))
        self.changed.set()
        self.changed = asyncio.Event()
        return items[name]

    async def handle_connection(self, port, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(STORE_ANSWER_S)
                mode = self.modes[port]
                if mode == "reset":
                    reset(writer)
                    return
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "busy":
                    answer = 503, {}
                elif (mode == "many" and
                      self.random.random() < self.many_share):
                    answer = 429, {}
                else:
                    answer = await self.answer(request, port)
                if self.log:
                    self.log(port, request, answer[0])
                # A watch that is waiting may be cut off.
                if self.modes[port] in ("reset", "silent"):
                    reset(writer)
                    return
                writer.write(response(
                    answer[0], json.dumps(answer[1]).encode(),
                    {"Content-Type": "application/json"}))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def answer(self, request, port):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path[len(self.PREFIX):].partition("/")
        name = urllib.parse.unquote(name)
        items = self.objects.get(kind, {})
        if request.method == "GET" and name:
            return (200, items[name]) if name in items else (404, {})
        if request.method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("waitMs", 0)) / 1000, port)
        if request.method == "GET":
            names = sorted(n for n in items if n > query.get("after", ""))
            return 200, {"items": [items[n] for n in names[:self.PAGE]],
                         "hasMore": len(names) > self.PAGE,
                         "asOf": self.revision}
        document = json.loads(request.body)
        name = name or document["metadata"]["name"]
        known = items.get(name)
        if request.method == "POST":
            if known:
                return 409, known
        elif not known:
            return 404, {}
        elif document["metadata"].get(
                "revision", known["metadata"]["revision"]) != \
                known["metadata"]["revision"]:
            return 409, known
        return 200, self.put(kind, name, document["spec"])

    async def watch(self, kind, revision, wait_s, port):
        end = time.monotonic() + wait_s
        while True:
            events = [{"object": stored, "deleted": False}
                      for at, changed, stored in self.history
                      if at > revision and changed == kind]
            left = end - time.monotonic()
            if events or left <= 0 or self.modes[port] != "pass":
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass


class Backend:
    """A backend server on a machine."""

    def __init__(self, machine, slots=18):
        self.machine = machine
        self.slots = slots
        self.instance = f"i-{machine.name}"
        self.born = 0
        self.seq = 0
        self.state = "ready"
        self.server = None
        self.writers = set()
        self.heartbeat = None
        self.running = 0
        self.work_s = 0.05
        self.on_run = None  # Called with each request that begins to run.

    async def start(self, heartbeat=True):
        """Begins a new lifetime."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = 0
        self.server = await asyncio.start_server(
            self.handle_connection, HOST, self.machine.app_port)
        if heartbeat:
            self.heartbeat = asyncio.create_task(self.beat())

    def stop_heartbeat(self):
        if self.heartbeat:
            self.heartbeat.cancel()
            self.heartbeat = None

    async def end(self):
        """Ends at once."""
        self.stop_heartbeat()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        await self.server.wait_closed()

    def report(self):
        self.seq += 1
        return {"service": self.machine.service,
                "address": f"{HOST}:{self.machine.app_port}",
                "zone": self.machine.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": self.seq, "born": self.born}

    async def beat(self):
        while True:
            await self.send("PUT", self.report())
            await asyncio.sleep(HEARTBEAT_S)

    async def send(self, method, body):
        """Returns the status, or 0 without an answer within a second."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                HOST, self.machine.control_port), 1)
            data = json.dumps(body).encode() if body else b""
            writer.write(encode(
                f"{method} /pomelohall/instances/{self.instance} HTTP/1.1",
                {"Host": "control", "Content-Type": "application/json",
                 "Content-Length": len(data)}, data))
            answer = await asyncio.wait_for(read_message(reader), 1)
            return answer.status if answer else 0
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                writer.close()

    async def handle_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message.fields)
                if not await self.handle(message, writer):
                    return
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        attempt = message.fields.get("pomelohall-attempt-id", "")
        echo = {"Pomelohall-Attempt-Id": attempt}
        expected = message.fields.get("pomelohall-expect-instance")
        if expected not in (None, self.instance):
            writer.write(response(421, b"", {
                **echo, "Pomelohall-Instance-Id": self.instance}))
            return True
        if self.running >= self.slots:
            writer.write(response(503, b"", {
                **echo, "Pomelohall-Not-Executed": "1"}))
            return True
        if self.on_run:
            self.on_run(self, message)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = f"{attempt} {message.target}".encode()
        writer.write(response(200, body, {
            **echo, "Pomelohall-Response-Signature": f"s-{attempt}",
            "Pomelohall-Server-Load":
                f"{self.running},0,{self.slots}"}))
        await writer.drain()
        return True


class Machine:
    """A daemon as a process of its own, and the backend server beside it."""

    def __init__(self, name, service, zone, folder, extra=None):
        self.name = name
        self.service = service
        self.zone = zone
        self.folder = folder
        (self.outbound_port, self.forward_port, self.control_port,
         self.ready_port, self.metrics_port, self.app_port,
         self.store_port) = free_ports(7)
        self.settings = {
            "name": name, "data_centre": zone,
            "backend_server": {
                "address": f"{HOST}:{self.app_port}", "service": service,
                "announce_interval_ms": int(HEARTBEAT_S * 1000),
                "drain_ms": 2000},
            "listeners": {
                "caller": f"{HOST}:{self.outbound_port}",
                "forward": f"{HOST}:{self.forward_port}",
                "local": f"{HOST}:{self.control_port}",
                "ready": f"{HOST}:{self.ready_port}",
                "metrics": f"{HOST}:{self.metrics_port}"},
            "store": {"address": f"{HOST}:{self.store_port}"},
            "link_mbps": 1000, "stop_grace_ms": 6000, "apply_ms": 2000,
            "retries": {"ratio": 0.2, "window_ms": 10000, "allowance": 58},
            **(extra or {})}
        self.process = None
        self.log_path = os.path.join(folder, name + ".log")
        self.backend = Backend(self)

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--settings", path], stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, cwd=ROOT)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        return await get_status(self.ready_port, "/pomelohall/ready") == 200


async def get_status(port, target):
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port), 1)
        writer.write(encode(f"GET {target} HTTP/1.1", {"Host": "x"}))
        answer = await asyncio.wait_for(read_message(reader), 1)
        return answer.status if answer else 0
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer:
            writer.close()


async def wait_until(check, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await check():
            return True
        await asyncio.sleep(0.05)
    return False


async def call(port, method, target, attempt, deadline_s, fields=None,
               body=b""):
    """Sends one request on a new connection; returns (status, body).

    The status is 0 if the connection ends without a complete answer, and -1 if
    there is none at the deadline.
    """
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port), 1)
        head = {"Host": "calls.example", "Pomelohall-Attempt-Id": attempt,
                "Pomelohall-Request-Deadline": str(int(deadline_s * 1000)),
                **(fields or {})}
        if body:
            head["Content-Length"] = len(body)
        writer.write(encode(f"{method} {target} HTTP/1.1", head, body))
        answer = await asyncio.wait_for(read_message(reader), deadline_s)
        return (answer.status, answer.body) if answer else (0, b"")
    except asyncio.TimeoutError:
        return -1, b""
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.close()


def route(name, prefix, kind, service, timeout_ms=2000, target_ms=800,
          priority=1, attempts=2):
    return {"name": name, "host": "calls.example", "pathPrefix": prefix,
            "kind": kind, "timeoutMs": timeout_ms,
            "latencyTargetMs": target_ms, "priority": priority,
            "service": service, "attempts": attempts}


def config(version, routes, services, tenants=None):
    spec = {"version": f"r{version}", "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz",
                          "maxConns": 110, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    if tenants:
        spec["tenants"] = tenants
    return spec


def run_case(main, folder):
    """Runs `main(record, temporary folder, trouble)`; exits with its result.

    1: the rule was broken; 0: it held; 2: the case couldn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"trouble {int(trouble)}")
    work = tempfile.mkdtemp(prefix="pomelohall-review-")
    machines = []
    code = 2
    try:
        if not os.path.exists(PROGRAM):
            record.write("the program of the deploy file isn't built")
        else:
            loop = asyncio.new_event_loop()
            code = loop.run_until_complete(asyncio.wait_for(
                main(record, work, trouble, machines), 105))
    except (Exception, asyncio.TimeoutError) as error:  # The case couldn't run.
        record.write(f"error {error!r}")
        code = 2
    finally:
        for machine in machines:
            machine.kill()
        if os.environ.get("KEEP"):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    record.write(f"exit {code}")
    print({0: "held", 1: "broken", 2: "could not run"}[code], flush=True)
    # Open connections of the stand-ins end with the process.
    os._exit(code)
