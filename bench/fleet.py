#!/usr/bin/env python3
"""Measures real daemons on loopback: convergence time and control cost.

Usage: fleet.py BIN_DIR [COUNT...]; default counts are 10, 50 and 150.

For each count, starts that many daemons in two data centres, waits until they
settle, and measures an idle period, a series of changes, and a restart of a
third of the daemons. As all daemons share one machine, wall-clock times are
upper bounds. Bytes, platform calls and memory don't depend on the machine's
load.
"""

import json
import os
import statistics
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../tests/process"))
from fleet_control import Fleet, cpu_seconds, make_config  # noqa: E402

IDLE_SECONDS = 20
CHANGE_COUNT = 10
SERVICE_COUNT = 40
# Digests are exchanged every 10 s: waits until those of the start are through.
SETTLE_SECONDS = 12
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def config_with_target(within_ms):
    services = {}
    for index in range(SERVICE_COUNT):
        name = f"service-{index}"
        services[name] = [(f"{name}-read", "lookup", f"/{name}", "",
                           within_ms if index == 0 else 800, 0.99)]
    return make_config(services)


def resident_mb(daemon):
    with open(f"/proc/{daemon.program.process.pid}/statm",
              encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def control_bytes(fleet):
    """Returns the bytes sent by each daemon; one daemon receives each byte."""
    return [fleet.status(d)["control_bytes_sent"] for d in fleet.daemons]


def platform_calls(fleet):
    return fleet.platform_calls()["total"]


def measure_idle(fleet):
    bytes_before = control_bytes(fleet)
    cpu_before = [cpu_seconds(d.program) for d in fleet.daemons]
    calls_before = platform_calls(fleet)
    started_at = time.monotonic()
    time.sleep(IDLE_SECONDS)
    cpu = [cpu_seconds(d.program) - a
           for d, a in zip(fleet.daemons, cpu_before)]
    seconds = time.monotonic() - started_at
    sent = [(b - a) / seconds
            for a, b in zip(bytes_before, control_bytes(fleet))]
    return {
        "rest_bytes_per_s_mean": statistics.mean(sent),
        "rest_bytes_per_s_worst": max(sent),
        "rest_cpu_percent_mean": 100 * statistics.mean(cpu) / seconds,
        "rest_cpu_percent_worst": 100 * max(cpu) / seconds,
        "rest_platform_calls_per_s":
            (platform_calls(fleet) - calls_before) / seconds,
    }


def measure_changes(fleet, idle_bytes_per_s):
    """Applies changes; times them from the start of the `apply` command."""
    times = []
    bytes_before = sum(control_bytes(fleet))
    started_at = time.monotonic()
    for index in range(CHANGE_COUNT):
        path = fleet.write_config(config_with_target(700 + index))
        started_ms = time.time() * 1000
        code, output = fleet.command("--output", "json", "apply", path)
        assert code == 0, output
        version = json.loads(output)["version"]
        fleet.wait_version(version, timeout=60)
        times.extend(fleet.status(d)["in_force_since_unix_ms"] - started_ms
                     for d in fleet.daemons)
    total_seconds = time.monotonic() - started_at
    sent = (sum(control_bytes(fleet)) - bytes_before) / len(fleet.daemons)
    times.sort()
    return {
        "in_force_ms_median": statistics.median(times),
        "in_force_ms_p99": times[int(len(times) * 0.99)],
        "in_force_ms_worst": times[-1],
        "bytes_per_daemon_and_change":
            (sent - idle_bytes_per_s * total_seconds) / CHANGE_COUNT,
    }


def measure_mass_restart(fleet):
    """Kills a third of the daemons and restarts them all at once."""
    victims = fleet.daemons[::3]
    for daemon in victims:
        daemon.program.kill()
    calls_before = platform_calls(fleet)
    started_at = time.monotonic()
    for daemon in victims:
        fleet.start_daemon(daemon)
    fleet.wait_version(1 + CHANGE_COUNT, timeout=120)
    seconds = time.monotonic() - started_at
    received_bytes = [fleet.status(d)["control_bytes_received"]
                      for d in victims]
    return {
        "herd_seconds": seconds,
        "herd_join_bytes_mean": statistics.mean(received_bytes),
        "herd_platform_calls": platform_calls(fleet) - calls_before,
    }


def measure(bin_dir, count):
    with Fleet(bin_dir, log_level="error") as fleet:
        for index in range(count):
            fleet.add(f"vm-{index:03}", f"dc{index % 2 + 1}")
        started_at = time.monotonic()
        fleet.start_all()
        fleet.wait_members(count, timeout=120)
        results = {"daemons": count,
                   "cluster_formed_s": time.monotonic() - started_at}
        code, output = fleet.command(
            "apply", fleet.write_config(config_with_target(800)))
        assert code == 0, output
        fleet.wait_version(1, timeout=60)
        time.sleep(SETTLE_SECONDS)
        results.update(measure_idle(fleet))
        results.update(measure_changes(fleet, results["rest_bytes_per_s_mean"]))
        memory = [resident_mb(d) for d in fleet.daemons]
        results["memory_mb_mean"] = statistics.mean(memory)
        results["memory_mb_worst"] = max(memory)
        results.update(measure_mass_restart(fleet))
        return results


def slope(rows, key):
    """Returns the least-squares slope per daemon of a result."""
    x = [row["daemons"] for row in rows]
    y = [row[key] for row in rows]
    mean_x, mean_y = statistics.mean(x), statistics.mean(y)
    sum_of_squares = sum((a - mean_x) ** 2 for a in x)
    if not sum_of_squares:
        return 0.0
    return sum((a - mean_x) * (b - mean_y)
               for a, b in zip(x, y)) / sum_of_squares


def main():
    bin_dir = sys.argv[1]
    counts = [int(text) for text in sys.argv[2:]] or [10, 50, 150]
    rows = [measure(bin_dir, count) for count in counts]
    print(f"{'real daemons':28}"
          + "".join(f"{row['daemons']:>12}" for row in rows)
          + f"{'slope/daemon':>14}")
    for key in rows[0]:
        if key == "daemons":
            continue
        print(f"{key:28}" + "".join(f"{row[key]:12.2f}" for row in rows)
              + f"{slope(rows, key):14.4f}")


if __name__ == "__main__":
    main()
