#!/usr/bin/env python3
"""Measures the latency that daemons add to a call.

Usage: overhead.py BIN_DIR

Starts two daemons and one backend server. Compares calls through the backend
server's own daemon (one daemon) and through the other daemon (two daemons) with
direct calls in the same run. The target is 0.58 ms added at p99 over all hops.
"""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../tests/process"))
from fleet_control import Fleet, cpu_seconds, make_config  # noqa: E402

CLOSED_LOOP_CALLS = 20000
# Entry calls of one daemon at the design size.
CALLS_PER_SECOND = 273
SERVICES = {"catalogue": [("stock-lookup", "lookup", "/catalogue", "", 800,
                           0.95)]}


def run_load(fleet, entry, backend, *load_options):
    completed = subprocess.run(
        [os.path.join(fleet.bin_dir, "pomelohall-load"), "--json",
         "--path", "/catalogue", "--address", entry,
         "--compare-direct", backend, *load_options],
        stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, check=True)
    return json.loads(completed.stdout)


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
        for mode, load_options in (
                ("at 273 calls/s", ("--rate", str(CALLS_PER_SECOND),
                                    "--calls", "5000")),
                ("closed loop, 8 at once", ("--concurrency", "8", "--calls",
                                            str(CLOSED_LOOP_CALLS)))):
            for hops, daemon in (("one daemon", owner),
                                 ("two daemons", other)):
                cpu_before = [cpu_seconds(d.program) for d in fleet.daemons]
                result = run_load(fleet, daemon.address("caller"), backend,
                                  *load_options)
                cpu_used = [cpu_seconds(d.program) - a
                            for d, a in zip(fleet.daemons, cpu_before)]
                calls = result["mesh"]["calls"]
                print(f"{mode}, {hops}: added p50 {result['added_p50_ms']} ms, "
                      f"p99 {result['added_p99_ms']} ms; direct p50 "
                      f"{result['direct']['p50_ms']} ms, p99 "
                      f"{result['direct']['p99_ms']} ms; CPU per call: owner "
                      f"{1e6 * cpu_used[0] / calls:.0f} us, other "
                      f"{1e6 * cpu_used[1] / calls:.0f} us")


if __name__ == "__main__":
    main()
