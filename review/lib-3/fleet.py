"""A small fleet on loopback: a store, daemons, backend servers and callers.

The store is the stub of the project's soak test. Daemons are processes started
with the command of the deploy file. Backend servers and callers run in the
process of the case and speak the format of the platform's pages.
"""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

from fleet_control import PortBlock  # noqa: E402
from messages import read_head, read_body, encode_response  # noqa: E402
from store import Store  # noqa: E402

DAEMON = os.path.join(ROOT, "target", "bin", "pomelohall-sidecar")
HOST = "shop.example"
ID_FIELD = "pomelohall-attempt-id"
# Bounds of the page SYSTEM, Lacerda: heartbeatMs from DEPLOY's example.
HEARTBEAT_MS = 1500
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


class CannotRun(Exception):
    """The case could not be set up."""


def route(name, kind, prefix, service, timeout_ms=1200, attempts=2):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "latencyTargetMs": 600, "priority": 1,
            "attempts": attempts, "service": service}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Backend:
    """A backend server: runs `handler(backend, request, writer)` for each."""

    def __init__(self, fleet, vm, service, handler, slots=18):
        self.fleet = fleet
        self.vm = vm
        self.service = service
        self.handler = handler
        self.slots = slots
        self.port, = fleet.ports.allocate(1)
        self.instance = f"i-{os.getpid():x}{self.port:x}"
        self.runs = {}  # Attempt ID to the number of runs.
        self.sequence = 0
        self.server = None
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.announcer = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", self.port, limit=2**20)
        self.announcer = asyncio.create_task(self.announce_forever())

    async def on_connection(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                request.reader = reader
                expected = request.fields.get("pomelohall-expect-instance",
                                              self.instance)
                if expected != self.instance:
                    await read_body(reader, request.fields)
                    writer.write(encode_response(421, b"", {
                        "Pomelohall-Attempt-Id":
                            request.fields.get(ID_FIELD, ""),
                        "Pomelohall-Instance-Id": self.instance}))
                    continue
                if not await self.handler(self, request, writer):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    def on_run(self, request):
        attempt = request.fields.get(ID_FIELD, "")
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.fleet.record.write(
            f"runs {attempt} {request.method} {request.target} at "
            f"{self.instance} of {self.service} beside {self.vm.name}")

    def answer_fields(self, request):
        attempt = request.fields.get(ID_FIELD, "")
        return {"Pomelohall-Attempt-Id": attempt,
                "Pomelohall-Response-Signature": "s-" + attempt,
                "Pomelohall-Server-Load": f"1,0,{self.slots}"}

    async def announce_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def announce(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.vm.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
            "born": self.born}).encode()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.vm.control), 1)
            writer.write(
                f"PUT /pomelohall/instances/{self.instance} HTTP/1.1\r\n"
                f"Host: local\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and head.status // 100 == 2
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer:
                writer.close()


class Vm:
    """One machine: a daemon and its backend server."""

    def __init__(self, fleet, index, service, handler, zone="near",
                 link_mbps=1000):
        self.fleet = fleet
        self.name = f"vm-{index}"
        self.zone = zone
        self.service = service
        (self.caller, self.forward, self.control, self.ready,
         self.metrics) = fleet.ports.allocate(5)
        self.advertised = None  # Port of a proxy in front of `forward`.
        self.link_mbps = link_mbps
        self.process = None
        self.backend = Backend(fleet, self, service, handler)

    def start_daemon(self):
        listeners = {"caller": self.caller, "forward": self.forward,
                     "local": self.control, "ready": self.ready,
                     "metrics": self.metrics}
        if self.advertised:
            listeners["advertised"] = self.advertised
        settings = {
            "name": self.name, "data_centre": self.zone,
            "backend_server": {
                "address": f"127.0.0.1:{self.backend.port}",
                "service": self.service,
                "announce_interval_ms": HEARTBEAT_MS, "drain_ms": 2000},
            "listeners": {k: f"127.0.0.1:{v}" for k, v in listeners.items()},
            "store": {"address": f"127.0.0.1:{self.fleet.store_port}"},
            "link_mbps": self.link_mbps, "stop_grace_ms": 6000,
            "apply_ms": 2000,
            "retries": {"ratio": 0.2, "window_ms": 10000, "allowance": 58}}
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        with open(os.path.join(self.fleet.folder, self.name + ".log"),
                  "ab") as log:
            self.process = subprocess.Popen(
                [DAEMON, "--settings", path], stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, cwd=ROOT)

    def signal(self, number):
        self.fleet.record.write(
            f"{signal.Signals(number).name} to the daemon of {self.name}")
        self.process.send_signal(number)


class Fleet:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="pomelohall-case-")
        self.ports = PortBlock()
        self.store_port, = self.ports.allocate(1)
        self.store = Store()
        self.vms = []
        self.version = 0

    def add(self, service, handler, **options):
        vm = Vm(self, len(self.vms) + 1, service, handler, **options)
        self.vms.append(vm)
        return vm

    def configure(self, routes, limits=None):
        self.version += 1
        services = sorted({r["service"] for r in routes})
        self.store.put("config", "main", json.dumps({
            "version": f"r{self.version}", "routes": routes,
            "services": [{"name": s, "healthPath": "/healthz",
                          "maxConns": 110, "protocol": "h1", "tls": False}
                         for s in services],
            "limits": limits or LIMITS}).encode())
        self.record.write(f"configuration r{self.version}")

    async def start(self, routes, limits=None):
        self.configure(routes, limits)
        await self.store.listen(self.store_port)
        for vm in self.vms:
            await vm.backend.start()
            vm.start_daemon()
        # The machines' traffic starts 8 s after they do.
        await asyncio.sleep(8)
        for vm in self.vms:
            if vm.process.poll() is not None:
                raise CannotRun(f"the daemon of {vm.name} has ended")

    async def connect(self, vm):
        return await asyncio.wait_for(asyncio.open_connection(
            "127.0.0.1", vm.caller, limit=2**20), 1)

    def stop(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        self.ports.release()
        if os.environ.get("KEEP") != "1":  # KEEP=1 keeps the logs.
            shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(method, target, attempt, deadline_ms, body=b"", fields=None):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
             f"Pomelohall-Attempt-Id: {attempt}",
             f"Pomelohall-Request-Deadline: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(folder, body):
    """Runs `body(fleet, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        fleet = Fleet(folder)
    except (OSError, RuntimeError) as failure:
        print(f"cannot run: {failure}")
        sys.exit(2)
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(body(fleet, trouble), 110))
        fleet.record.write("the rule held" if held else "the rule was broken")
        code = 0 if held else 1
    # Also a fault of the case itself: it says nothing of the daemon.
    except Exception as failure:  # pylint: disable=broad-except
        fleet.record.write(f"cannot run: {failure!r}")
    finally:
        fleet.stop()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
