"""Runs the real daemons under random faults and checks the promises.

Usage: soak.py BIN_DIR [--seed N] [--minutes M] [--vms N] [--keep]

The store, the backend servers, the callers and the proxies before the store
and between the daemons run in this process; each daemon is a process of its
own. The seed decides the faults and their order. Exits with 1 if a promise is
broken; the logs are kept then.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "process"))

from backend import Backend, HEARTBEAT_S
from callers import Caller, ROUTES, TIMEOUT_S
from checks import CONTACT_S, DRAIN_S, STOP_GRACE_S, SLACK_S, Checks
from fleet_control import PortBlock
from proxy import MODES, Proxy
from store import Store

RECOVER_S = 15.0
# Spans with and without unplanned faults take turns.
FAULTY_S = 10.0
CALM_S = 8.0
# Smallest memory of a VM of the users' deployments.
MEMORY_MB = 160


class Vm:
    """A daemon, its backend server and the proxies around it."""

    PORTS = 9

    def __init__(self, index, bin_dir, folder, ports, store_port, checks,
                 seed):
        self.name = f"vm-{index}"
        self.service = "files" if index % 3 == 2 else "shop"
        self.bin_dir = bin_dir
        self.folder = folder
        self.checks = checks
        (self.caller_port, forward, self.advertised, control, ready, metrics,
         self.store_port, server_port, _) = ports
        self.real_store_port = store_port
        self.forward_port = forward
        self.ready_port = ready
        self.store_proxy = Proxy(seed)
        self.peer_proxy = Proxy(seed + 1)
        self.backend = Backend(self.service, server_port, control, checks,
                               seed + 2)
        self.process = None
        self.expected = False  # The daemon is meant to run.
        self.backend_busy = False
        listeners = {"caller": self.caller_port, "forward": forward,
                     "advertised": self.advertised, "local": control,
                     "ready": ready, "metrics": metrics}
        settings = {
            "name": self.name, "data_centre": "near" if index % 2 else "far",
            "backend_server": {
                "address": f"127.0.0.1:{server_port}",
                "service": self.service,
                "announce_interval_ms": HEARTBEAT_S * 1000,
                "drain_ms": DRAIN_S * 1000},
            "listeners": {name: f"127.0.0.1:{port}"
                          for name, port in listeners.items()},
            "store": {"address": f"127.0.0.1:{self.store_port}"},
            "stop_grace_ms": STOP_GRACE_S * 1000,
            "contact_ms": CONTACT_S * 1000}
        self.settings = os.path.join(folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        await self.store_proxy.listen(self.store_port, self.real_store_port)
        await self.peer_proxy.listen(self.advertised, self.forward_port)
        self.start_daemon()
        await self.backend.start()

    def start_daemon(self):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(self.bin_dir, "pomelohall-sidecar"),
                 "--settings", self.settings],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.expected = True

    def check(self):
        """Notes an end that nobody asked for, and too much memory."""
        if not self.expected:
            return
        if self.process.poll() is not None:
            self.checks.break_promise(
                "END", f"{self.name} ended with {self.process.returncode}")
            self.start_daemon()
            return
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
            megabytes = int(file.read().split()[1]) * 4 / 1024
        if megabytes > MEMORY_MB:
            self.checks.break_promise(
                "MEMORY", f"{self.name} has {megabytes:.0f} MB")

    def end(self):
        self.expected = False
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Soak:
    """A fleet, its callers, and the schedule of faults."""

    CALLERS = 3

    def __init__(self, options, folder):
        self.random = random.Random(options.seed)
        self.options = options
        self.checks = Checks()
        self.store = Store()
        self.block = PortBlock()
        self.store_port = self.block.allocate(1)[0]
        self.version = 1
        self.extra_routes = []
        self.vms = [
            Vm(index, options.bin_dir, folder, self.block.allocate(Vm.PORTS),
               self.store_port, self.checks, options.seed * 1000 + index * 10)
            for index in range(options.vms)]
        self.callers = [
            Caller(vm, self.checks, self.random.random(), 0.3)
            for vm in self.vms for _ in range(self.CALLERS)]
        self.tasks = set()

    # Configuration ------------------------------------------------------------

    def configure(self):
        routes = [{"name": prefix, "host": "test", "pathPrefix": prefix,
                   "kind": kind, "timeoutMs": TIMEOUT_S * 1000,
                   "latencyTargetMs": 600, "priority": 1, "attempts": 2,
                   "service": "files" if kind == "download" else "shop"}
                  for kind, _, prefix, _ in ROUTES]
        routes += [dict(routes[0], name=prefix, pathPrefix=prefix)
                   for prefix in self.extra_routes]
        self.store.put("config", "main", {
            "version": f"r{self.version}", "routes": routes,
            "services": [{"name": "shop"}, {"name": "files"}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def change_configuration(self):
        self.version += self.random.randint(1, 3)
        prefix = f"/added-{self.version}/"
        self.extra_routes = self.extra_routes[-3:] + [prefix]
        self.configure()
        added_at = time.monotonic()
        await asyncio.sleep(2.6)
        if prefix not in self.extra_routes:
            return
        for vm in self.vms:
            sent_at = time.monotonic()
            status = await Caller(vm, self.checks, 0, 1).probe(prefix + "x")
            if prefix in self.extra_routes:
                self.checks.on_probe(vm.name, added_at, sent_at, status)

    # Disruptions --------------------------------------------------------------

    async def trouble(self, names, action, undo, planned=False):
        """Runs `action`, and `undo` some seconds later."""
        for name in names:
            self.checks.begin(name, planned)
        action()
        try:
            await asyncio.sleep(self.random.uniform(0.5, 5))
        finally:
            undo()
            for name in names:
                self.checks.end(name, planned)

    async def store_trouble(self):
        everyone = self.random.random() < 0.5
        vms = self.vms if everyone else [self.random.choice(self.vms)]
        mode = self.random.choice(MODES[1:])
        await self.trouble(
            ["store"] if everyone else [vm.name for vm in vms],
            lambda: [vm.store_proxy.set_mode(mode) for vm in vms],
            lambda: [vm.store_proxy.set_mode("pass") for vm in vms])

    async def forget_history(self):
        self.checks.begin("store")
        self.store.forget_history()
        self.checks.end("store")

    async def peer_trouble(self):
        vm = self.random.choice(self.vms)
        mode = self.random.choice(MODES[1:])
        # Every daemon has connections to this one.
        await self.trouble([one.name for one in self.vms],
                           lambda: vm.peer_proxy.set_mode(mode),
                           lambda: vm.peer_proxy.set_mode("pass"))

    async def pause_daemon(self):
        vm = self.random.choice(self.vms)
        if not vm.expected:
            return
        process = vm.process

        def resume():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        await self.trouble([vm.name],
                           lambda: process.send_signal(signal.SIGSTOP), resume)

    async def kill_daemons(self):
        count = self.random.choice((1, 1, 2, len(self.vms)))
        vms = [vm for vm in self.random.sample(self.vms, count)
               if vm.expected]
        for vm in vms:
            self.checks.begin(vm.name)
            vm.end()
        await asyncio.sleep(0.3)
        for vm in vms:
            vm.start_daemon()
            self.checks.end(vm.name)

    async def stop_daemon(self):
        vm = self.random.choice(self.vms)
        if not vm.expected:
            return
        vm.expected = False
        self.checks.begin(vm.name, planned=True)
        stopped_at = time.monotonic()
        vm.process.terminate()
        while vm.process.poll() is None:
            for caller in self.callers:
                if caller.vm is vm and caller.sent:
                    caller.sent.stopping = True
            took = time.monotonic() - stopped_at
            if took > STOP_GRACE_S:
                if self.checks.calm(stopped_at):
                    self.checks.break_promise(
                        "STOP", f"{vm.name} runs {took:.1f} s after SIGTERM")
                vm.process.kill()
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        vm.start_daemon()
        self.checks.end(vm.name, planned=True)

    async def reload_daemon(self):
        vm = self.random.choice(self.vms)
        if vm.expected:
            vm.process.send_signal(signal.SIGHUP)

    async def with_backend(self, action):
        vm = self.random.choice(self.vms)
        if vm.backend_busy:
            return
        vm.backend_busy = True
        try:
            await action(vm)
        finally:
            vm.backend_busy = False

    async def crash_backend(self):
        async def crash(vm):
            self.checks.begin("backend")
            await vm.backend.crash()
            await asyncio.sleep(self.random.uniform(0.2, 3))
            await vm.backend.start()
            self.checks.end("backend")
        await self.with_backend(crash)

    async def spoil_backend(self):
        field, value = self.random.choice(
            (("slow", 8.0), ("lose", 0.3), ("break_off", 0.3)))
        usual = 1.0 if field == "slow" else 0.0

        async def spoil(vm):
            await self.trouble(["backend"],
                               lambda: setattr(vm.backend, field, value),
                               lambda: setattr(vm.backend, field, usual))
        await self.with_backend(spoil)

    async def replace_backend(self):
        withdraw = self.random.random() < 0.3

        async def replace(vm):
            await vm.backend.leave(withdraw, DRAIN_S)
            await vm.backend.start()
        await self.with_backend(replace)

    # The run ------------------------------------------------------------------

    async def run(self):
        self.configure()
        await self.store.listen(self.store_port)
        for vm in self.vms:
            await vm.start()
        await asyncio.sleep(3)
        loops = [asyncio.create_task(caller.run()) for caller in self.callers]
        await asyncio.sleep(2)
        planned = (self.change_configuration, self.stop_daemon,
                   self.reload_daemon, self.replace_backend)
        actions = 2 * planned + (
            self.store_trouble, self.peer_trouble, self.forget_history,
            self.pause_daemon, self.kill_daemons, self.crash_backend,
            self.spoil_backend)
        calm_until = 0.0
        calm_from = time.monotonic()
        end = time.monotonic() + self.options.minutes * 60
        while time.monotonic() < end:
            # Series, overlaps, and calm spans in which only planned work
            # happens, which has to go unnoticed.
            if time.monotonic() > calm_from + FAULTY_S:
                await asyncio.gather(*self.tasks)
                await asyncio.sleep(CONTACT_S)
                calm_until = time.monotonic() + CALM_S
                calm_from = calm_until
            calm = time.monotonic() < calm_until
            action = self.random.choice(planned if calm else actions)
            print(f"{time.monotonic() - end:8.2f} {action.__name__}",
                  flush=True)
            task = asyncio.create_task(action())
            self.tasks.add(task)
            task.add_done_callback(self.done)
            await asyncio.sleep(self.random.expovariate(1 / 0.8))
            for vm in self.vms:
                vm.check()
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(RECOVER_S)
        since = time.monotonic()
        await asyncio.sleep(3)
        share = self.checks.share_served(since)
        # A quarter is promised; without any fault all are served.
        if share < 0.95:
            self.checks.break_promise(
                "RECOVER", f"{share:.2f} of the requests are served")
        for loop in loops:
            loop.cancel()
        return share

    def done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.checks.break_promise("SOAK", repr(task.exception()))

    def end(self):
        for vm in self.vms:
            vm.end()
        self.block.release()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bin_dir")
    parser.add_argument("--seed", type=int,
                        default=random.SystemRandom().randrange(10**6))
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--keep", action="store_true", help="keeps the logs")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="pomelohall-soak-")
    print(f"seed {options.seed}", flush=True)
    soak = Soak(options, folder)
    try:
        share = asyncio.run(soak.run())
    finally:
        soak.end()
    broken = soak.checks.broken
    print(f"seed {options.seed}: {sum(soak.checks.answers.values())} answers "
          f"{dict(soak.checks.answers)}, checks in calm spans "
          f"{dict(soak.checks.applied)}, {share:.2f} served at the end, "
          f"{len(broken)} broken promises")
    if broken or options.keep:
        print(f"logs: {folder}")
    else:
        shutil.rmtree(folder)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
