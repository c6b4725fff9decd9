#!/usr/bin/env python3
"""Measures the time that the daemons add to a call.

Usage: overhead.py BIN_DIR

Two daemons with one backend server: calls through the daemon beside it (one
daemon), through the other daemon (two daemons), each against direct calls in
the same run. The target is 0.58 ms added at p99 over all hops.
"""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../tests/process"))
from fleet_control import Fleet, cpu_seconds, make_config  # noqa: E402

CALLS = 20000
# Of one daemon at the design size: 273 calls a second as entry.
RATE = 273
SERVICES = {"catalogue": [("stock-lookup", "lookup", "/catalogue", "", 800,
                           0.95)]}


def measure(fleet, entry, backend, *load):
    done = subprocess.run(
        [os.path.join(fleet.bin_dir, "pomelohall-load"), "--json",
         "--path", "/catalogue", "--address", entry,
         "--compare-direct", backend, *load],
        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, check=True)
    return json.loads(done.stdout)


def main():
    with Fleet(sys.argv[1], log_level="error") as fleet:
        owner = fleet.add("vm-1", "dc1", service="catalogue",
                          backend=["--service-time-ms", "0", "--slots", "20"])
        other = fleet.add("vm-2", "dc1")
        fleet.start_all()
        fleet.wait_members(2)
        code, output = fleet.command(
            "apply", fleet.write_config(make_config(SERVICES)))
        assert code == 0, output
        fleet.wait_version(1)
        fleet.wait_servers("catalogue", 1)
        backend = f"127.0.0.1:{owner.backend_port}"
        for name, load in (
                ("at 273 calls/s", ("--rate", str(RATE), "--calls", "5000")),
                ("closed loop, 8 at once", ("--concurrency", "8", "--calls",
                                            str(CALLS)))):
            for hops, daemon in (("one daemon", owner),
                                 ("two daemons", other)):
                before = [cpu_seconds(d.program) for d in fleet.daemons]
                found = measure(fleet, daemon.address("caller"), backend,
                                *load)
                used = [cpu_seconds(d.program) - a
                        for d, a in zip(fleet.daemons, before)]
                calls = found["mesh"]["calls"]
                print(f"{name}, {hops}: added p50 {found['added_p50_ms']} ms, "
                      f"p99 {found['added_p99_ms']} ms; direct p50 "
                      f"{found['direct']['p50_ms']} ms, p99 "
                      f"{found['direct']['p99_ms']} ms; CPU per call: owner "
                      f"{1e6 * used[0] / calls:.0f} us, other "
                      f"{1e6 * used[1] / calls:.0f} us")


if __name__ == "__main__":
    main()
