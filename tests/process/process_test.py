#!/usr/bin/env python3
"""Tests of configuration and availability with real processes on loopback.

They check guarantees, not latencies. Usage: process_test.py BIN_DIR [NAME...]
"""

import itertools
import json
import os
import signal
import sys
import threading
import time
import urllib.request

sys.path.insert(0, os.path.dirname(__file__))
from fleet_control import make_config, send_http, wait_until  # noqa: E402
from test_runner import main  # noqa: E402

SERVICES = {
    "catalogue": [("stock-lookup", "lookup", "/catalogue", "", 800, 0.95)],
    "orders": [("order-release", "transaction", "/orders", "POST", 1000,
                0.99)],
}


def start_fleet(fleet, per_data_centre=3, backend=None):
    """Starts two data centres, in each of which the services alternate."""
    for data_centre in ("dc1", "dc2"):
        for index in range(per_data_centre):
            service = ("catalogue", "orders")[index % 2]
            fleet.add(f"{data_centre}-{index}", data_centre, service=service,
                      backend=backend or ["--service-time-ms", "1"])
    fleet.start_all()
    fleet.wait_members(len(fleet.daemons))


def apply(fleet, within_ms, expected_exit_code=0, wait=True):
    """Applies a version with the given target; returns the output."""
    config = make_config(SERVICES)
    config["classes"][0]["target"]["within_ms"] = within_ms
    arguments = ["--output", "json", "apply", fleet.write_config(config)]
    code, output = fleet.command(*(arguments + ["--wait"] if wait
                                   else arguments))
    assert code == expected_exit_code, f"apply: exit code {code}, {output}"
    return output


def apply_first_version(fleet):
    apply(fleet, 800)
    fleet.wait_version(1)
    for service in SERVICES:
        count = sum(d.service == service for d in fleet.daemons)
        fleet.wait_servers(service, count)


class VersionMonitor:
    """Polls all daemons and records every decrease of a version."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.last_versions = {}
        self.regressions = []
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self.poll, daemon=True)
        self.thread.start()

    def poll(self):
        while not self.stop_event.wait(0.02):
            for daemon in self.fleet.daemons:
                version = self.fleet.version(daemon)
                if version == 0:  # Unreachable or joining: serves no calls.
                    continue
                if version < self.last_versions.get(daemon.name, 0):
                    self.regressions.append(
                        (daemon.name, self.last_versions[daemon.name],
                         version))
                self.last_versions[daemon.name] = version

    def stop(self):
        self.stop_event.set()
        self.thread.join()
        assert not self.regressions, f"versions decreased: {self.regressions}"


def call_through_any_daemon_of_either_data_centre_succeeds(fleet):
    """Guards against entry daemons that only reach their own data centre."""
    start_fleet(fleet)
    apply_first_version(fleet)
    for daemon in fleet.daemons:
        status, _, _ = send_http("GET", daemon.address("caller"),
                                 "/catalogue/x")
        assert status == 200, f"{daemon.name} returned status {status}"


def third_of_daemons_killed_and_restarted_version_never_decreases(fleet):
    """Guards against a restarted daemon that serves an older version."""
    start_fleet(fleet)
    apply_first_version(fleet)
    monitor = VersionMonitor(fleet)
    victims = [fleet.daemons[0], fleet.daemons[4]]
    for daemon in victims:
        daemon.program.kill()
    apply(fleet, 700, wait=False)
    for daemon in victims:
        fleet.start_daemon(daemon)
    fleet.wait_version(2)
    monitor.stop()


def suspended_daemon_resumed_catches_up_and_version_never_decreases(fleet):
    """Guards against a suspended daemon that resumes with stale state."""
    start_fleet(fleet)
    apply_first_version(fleet)
    monitor = VersionMonitor(fleet)
    suspended = fleet.daemons[1]
    suspended.program.send_signal(signal.SIGSTOP)
    others = [d for d in fleet.daemons if d is not suspended]
    apply(fleet, 700, wait=False)
    fleet.wait_version(2, others)
    suspended.program.send_signal(signal.SIGCONT)
    fleet.wait_version(2)
    monitor.stop()


def platform_down_restarted_daemon_keeps_version_and_serves(fleet):
    """Guards against a restart that depends on the platform (R2)."""
    start_fleet(fleet)
    apply_first_version(fleet)
    apply(fleet, 700)
    fleet.wait_version(2)
    fleet.set_platform_fault("down")
    restarted = fleet.daemons[0]
    restarted.program.kill()
    fleet.start_daemon(restarted)
    fleet.wait_version(2, [restarted])
    status, _, _ = send_http("GET", restarted.address("caller"), "/catalogue/x")
    assert status == 200, f"restarted daemon returned status {status}"


def platform_down_restarted_data_centre_serves_no_old_version(fleet):
    """Guards against serving a version that may be outdated (R3)."""
    start_fleet(fleet)
    apply_first_version(fleet)
    fleet.set_platform_fault("down")
    restarted = [d for d in fleet.daemons if d.data_centre == "dc1"]
    for daemon in restarted:
        daemon.program.kill()
    for daemon in restarted:
        fleet.start_daemon(daemon)
    fleet.wait_members(6, restarted)
    status, _, body = send_http("GET", restarted[0].address("caller"),
                                "/catalogue/x")
    assert status == 503, f"returned status {status}"
    error = json.loads(body)
    assert error["error"] == "config_unknown", error
    assert error["ran"] == "not_run", error
    fleet.set_platform_fault("none")
    fleet.wait_version(1)


def apply_response_lost_change_reported_as_accepted(fleet):
    """Guards against reporting an accepted change as failed."""
    start_fleet(fleet)
    apply_first_version(fleet)
    fleet.set_platform_fault("lose_answers", count=1)
    output = apply(fleet, 700)
    assert json.loads(output)["version"] == 2, output


def concurrent_applies_one_accepted_and_other_reported_as_conflict(fleet):
    """Guards against a lost update when two operators apply at once."""
    start_fleet(fleet)
    apply_first_version(fleet)
    fleet.set_platform_fault("slow", delay_ms=200)
    results = []

    def run(within_ms):
        config = make_config(SERVICES)
        config["classes"][0]["target"]["within_ms"] = within_ms
        path = fleet.write_config(config, f"race-{within_ms}.json")
        results.append(fleet.command("--output", "json", "apply", path))

    threads = [threading.Thread(target=run, args=(ms,)) for ms in (601, 602)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = sorted(code for code, _ in results)
    assert codes == [0, 4], results
    fleet.set_platform_fault("none")
    fleet.wait_version(2)


def partition_between_data_centres_each_serves(fleet):
    """Guards against a partitioned data centre that stops serving."""
    for data_centre in ("dc1", "dc2"):
        for index in range(3):
            fleet.add(f"{data_centre}-{index}", data_centre,
                      service="catalogue", backend=["--service-time-ms", "1"])
    fleet.start_platform()
    fleet.assign_ports()
    peer_addresses = {
        data_centre: [d.address("peer") for d in fleet.daemons
                      if d.data_centre == data_centre]
        for data_centre in ("dc1", "dc2")}
    for daemon in fleet.daemons:
        other = "dc2" if daemon.data_centre == "dc1" else "dc1"
        fleet.start_daemon(daemon, blocked_peers=peer_addresses[other])
        fleet.start_backend(daemon)
    fleet.wait_members(3)
    apply(fleet, 800, wait=False)
    fleet.wait_version(1)
    for daemon in fleet.daemons:
        fleet.wait_servers("catalogue", 3, [daemon])
        status, _, _ = send_http("GET", daemon.address("caller"),
                                 "/catalogue/x")
        assert status == 200, f"{daemon.name} returned status {status}"


def sigterm_during_large_download_completes_it_with_exit_code_0(fleet):
    """Guards against a planned stop that aborts a request in flight."""
    config = dict(SERVICES)
    config["proofs"] = [("proof-download", "download", "/proofs", "", 60000,
                         0.9)]
    entry = fleet.add("dc1-entry", "dc1", service="catalogue")
    fleet.add("dc1-spare", "dc1", service="orders")
    owner = fleet.add("dc2-owner", "dc2", service="proofs")
    fleet.add("dc2-spare", "dc2", service="orders")
    fleet.start_all()
    fleet.wait_members(4)
    code, output = fleet.command(
        "apply", fleet.write_config(make_config(config)), "--wait")
    assert code == 0, output
    fleet.wait_servers("proofs", 1)
    size = 100 * 1000 * 1000
    request = urllib.request.Request(
        f"http://{entry.address('caller')}/proofs/bytes?n={size}")
    with urllib.request.urlopen(request, timeout=60) as response:
        received = len(response.read(1000000))
        for daemon in (entry, owner):
            daemon.program.process.terminate()
        while True:
            chunk = response.read(1000000)
            if not chunk:
                break
            received += len(chunk)
    assert received == size, f"{received} of {size} bytes"
    assert entry.program.stop() == 0
    assert owner.program.stop() == 0


def sigterm_repeated_until_the_end_exit_code_0(fleet):
    """Guards against a second signal that kills a process while it stops."""
    for index in range(3):
        fleet.add(f"dc1-{index}", "dc1", service="orders")
    fleet.start_all()
    fleet.wait_members(len(fleet.daemons))
    sidecar, _ = fleet.start_sidecar("127.0.0.1:1")  # No store there.
    for program in [sidecar, *fleet.programs()]:
        signals = itertools.cycle((signal.SIGTERM, signal.SIGHUP))
        if program.name != "sidecar":  # Others do not reload settings.
            signals = itertools.repeat(signal.SIGTERM)
        while program.running():
            program.send_signal(next(signals))
            time.sleep(0.0005)
        code = program.stop()
        assert code == 0, f"{program.name} ended with {code}"


def sighup_while_settings_are_read_is_survived_and_reloads(fleet):
    """Guards against a signal that ends a starting process, and against a
    change of the settings that is lost as it falls into the start."""
    path, listeners = write_sidecar_settings(fleet)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    os.rename(path, path + ".new")
    os.mkfifo(path)
    program = fleet.start_program("sidecar", "pomelohall-sidecar",
                                  "--settings", path)
    with open(path, "w", encoding="utf-8") as pipe:  # The program has it open.
        program.send_signal(signal.SIGHUP)
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text.replace('"orders"', '"returns"'))
        os.replace(path + ".new", path)
        pipe.write(text)
    wait_until(lambda: send_http("GET", listeners["metrics"], "/metrics"),
               "the sidecar serves its metrics", timeout=10)

    def is_reloaded():
        with open(program.log_path, encoding="utf-8") as log:
            return any("settings_reloaded" in line and "returns" in line
                       for line in log)
    wait_until(is_reloaded, "the changed settings are in force", timeout=10)
    assert program.stop() == 0


def sighup_right_after_start_ends_no_process_that_handles_it(fleet):
    """Guards against a handler that is lost during the start, and measures
    until when the signal ends a process: that is the time of the loader, which
    no program can shorten by itself."""
    path, _ = write_sidecar_settings(fleet)
    ended = []
    for step in range(41):  # 0 to 10 ms.
        delay_ms = step / 4
        program = fleet.start_program(f"sidecar-{step}", "pomelohall-sidecar",
                                      "--settings", path)
        time.sleep(delay_ms / 1000)
        handled = handles_signal(program, signal.SIGHUP)
        program.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        if program.running():
            program.kill()
            continue
        ended.append(delay_ms)
        assert not handled, f"ended by a SIGHUP after {delay_ms} ms"
    print(f"ended by a SIGHUP after (ms): {ended}")


def write_sidecar_settings(fleet):
    """Returns the path of the settings and the addresses of the listeners."""
    listeners = fleet.allocate_listeners(
        "caller", "forward", "local", "ready", "metrics")
    path = fleet.write_config({
        "name": "sidecar", "data_centre": "dc1",
        "backend_server": {"address": "127.0.0.1:1", "service": "orders"},
        "listeners": listeners, "store": {"address": "127.0.0.1:1"}})
    return path, listeners


def handles_signal(program, signal_number):
    """Returns whether a program handles or ignores a signal."""
    with open(f"/proc/{program.process.pid}/status",
              encoding="utf-8") as status:
        masks = dict(line.split(":", 1) for line in status)
    bits = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    return bool(bits >> (signal_number - 1) & 1)


def invalid_settings_rejected_with_path_of_field(fleet):
    """Guards against silently ignoring a misspelt setting."""
    daemon = fleet.add("dc1-0", "dc1")
    fleet.start_platform()
    fleet.assign_ports()
    path = fleet.write_settings(daemon)
    with open(path, encoding="utf-8") as file:
        settings = json.load(file)
    settings["listeners"]["caler"] = settings["listeners"].pop("caller")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(settings, file)
    program = fleet.start_program("refused", "pomelohalld", "--settings", path)
    code = program.process.wait(timeout=30)
    with open(program.log_path, encoding="utf-8") as log:
        text = log.read()
    assert code != 0, "invalid settings were accepted"
    assert "/listeners" in text and "caler" in text, text


TESTS = [
    call_through_any_daemon_of_either_data_centre_succeeds,
    third_of_daemons_killed_and_restarted_version_never_decreases,
    suspended_daemon_resumed_catches_up_and_version_never_decreases,
    platform_down_restarted_daemon_keeps_version_and_serves,
    platform_down_restarted_data_centre_serves_no_old_version,
    apply_response_lost_change_reported_as_accepted,
    concurrent_applies_one_accepted_and_other_reported_as_conflict,
    partition_between_data_centres_each_serves,
    sigterm_during_large_download_completes_it_with_exit_code_0,
    sigterm_repeated_until_the_end_exit_code_0,
    sighup_while_settings_are_read_is_survived_and_reloads,
    sighup_right_after_start_ends_no_process_that_handles_it,
    invalid_settings_rejected_with_path_of_field,
]


if __name__ == "__main__":
    main(TESTS)
