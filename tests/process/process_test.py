#!/usr/bin/env python3
"""Tests with real processes on loopback. They check promises, not times.

Usage: process_test.py BIN_DIR [NAME...]
"""

import json
import os
import signal
import sys
import threading
import urllib.request

sys.path.insert(0, os.path.dirname(__file__))
from fleet_control import make_config, send_http  # noqa: E402
from test_runner import main  # noqa: E402

SERVICES = {
    "catalogue": [("stock-lookup", "lookup", "/catalogue", "", 800, 0.95)],
    "orders": [("order-release", "transaction", "/orders", "POST", 1000,
                0.99)],
}


def start_fleet(fleet, per_data_centre=3, backend=None):
    """Starts two data centres; the services alternate over the daemons."""
    for place in ("dc1", "dc2"):
        for index in range(per_data_centre):
            service = ("catalogue", "orders")[index % 2]
            fleet.add(f"{place}-{index}", place, service=service,
                      backend=backend or ["--service-time-ms", "1"])
    fleet.start_all()
    fleet.wait_members(len(fleet.daemons))


def apply(fleet, within_ms, expected=0, wait=True):
    """Applies a version that differs by its target; returns the output."""
    config = make_config(SERVICES)
    config["classes"][0]["target"]["within_ms"] = within_ms
    arguments = ["--output", "json", "apply", fleet.write_config(config)]
    code, output = fleet.command(*(arguments + ["--wait"] if wait
                                   else arguments))
    assert code == expected, f"apply: exit code {code}, {output}"
    return output


def apply_first(fleet):
    apply(fleet, 800)
    fleet.wait_version(1)
    for service in SERVICES:
        count = sum(d.service == service for d in fleet.daemons)
        fleet.wait_servers(service, count)


class VersionWatch:
    """Polls every daemon and records any version that goes back."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.highest = {}
        self.regressions = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.poll, daemon=True)
        self.thread.start()

    def poll(self):
        while not self.stopped.wait(0.02):
            for daemon in self.fleet.daemons:
                version = self.fleet.version(daemon)
                if version == 0:  # not reachable or joining: serves nothing
                    continue
                if version < self.highest.get(daemon.name, 0):
                    self.regressions.append(
                        (daemon.name, self.highest[daemon.name], version))
                self.highest[daemon.name] = version

    def end(self):
        self.stopped.set()
        self.thread.join()
        assert not self.regressions, f"versions went back: {self.regressions}"


def call_from_either_data_centre_any_daemon_answered(fleet):
    """Guards against an entry daemon that reaches only its own data centre."""
    start_fleet(fleet)
    apply_first(fleet)
    for daemon in fleet.daemons:
        status, _, _ = send_http("GET", daemon.address("caller"),
                                 "/catalogue/x")
        assert status == 200, f"{daemon.name} answered {status}"


def third_killed_and_restarted_version_never_back(fleet):
    """Guards against a restarted daemon that serves an older version."""
    start_fleet(fleet)
    apply_first(fleet)
    watch = VersionWatch(fleet)
    victims = [fleet.daemons[0], fleet.daemons[4]]
    for daemon in victims:
        daemon.program.kill()
    apply(fleet, 700, wait=False)
    for daemon in victims:
        fleet.start_daemon(daemon)
    fleet.wait_version(2)
    watch.end()


def frozen_daemon_wakes_catches_up_and_never_back(fleet):
    """Guards against a paused daemon that wakes with stale knowledge."""
    start_fleet(fleet)
    apply_first(fleet)
    watch = VersionWatch(fleet)
    frozen = fleet.daemons[1]
    frozen.program.send(signal.SIGSTOP)
    others = [d for d in fleet.daemons if d is not frozen]
    apply(fleet, 700, wait=False)
    fleet.wait_version(2, others)
    frozen.program.send(signal.SIGCONT)
    fleet.wait_version(2)
    watch.end()


def platform_down_daemons_restarted_keep_version_and_serve(fleet):
    """Guards against recovery that needs the platform (R2)."""
    start_fleet(fleet)
    apply_first(fleet)
    apply(fleet, 700)
    fleet.wait_version(2)
    fleet.platform_fault("down")
    restarted = fleet.daemons[0]
    restarted.program.kill()
    fleet.start_daemon(restarted)
    fleet.wait_version(2, [restarted])
    status, _, _ = send_http("GET", restarted.address("caller"), "/catalogue/x")
    assert status == 200, f"restarted daemon answered {status}"


def platform_down_whole_data_centre_restarted_serves_nothing_old(fleet):
    """Guards against serving an old version when nobody can know (R3)."""
    start_fleet(fleet)
    apply_first(fleet)
    fleet.platform_fault("down")
    restarted = [d for d in fleet.daemons if d.data_centre == "dc1"]
    for daemon in restarted:
        daemon.program.kill()
    for daemon in restarted:
        fleet.start_daemon(daemon)
    fleet.wait_members(6, restarted)
    status, _, body = send_http("GET", restarted[0].address("caller"),
                                "/catalogue/x")
    assert status == 503, f"answered {status}"
    answer = json.loads(body)
    assert answer["error"] == "config_unknown", answer
    assert answer["ran"] == "not_run", answer
    fleet.platform_fault("none")
    fleet.wait_version(1)


def answer_lost_after_apply_resolved_to_accepted(fleet):
    """Guards against an accepted change that is reported as failed."""
    start_fleet(fleet)
    apply_first(fleet)
    fleet.platform_fault("lose_answers", count=1)
    output = apply(fleet, 700)
    assert json.loads(output)["version"] == 2, output


def operators_race_one_wins_and_the_other_is_told(fleet):
    """Guards against a lost update between two operators."""
    start_fleet(fleet)
    apply_first(fleet)
    fleet.platform_fault("slow", delay_ms=200)
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
    fleet.platform_fault("none")
    fleet.wait_version(2)


def partition_between_data_centres_each_serves_then_heals(fleet):
    """Guards against a cut-off data centre that stops serving."""
    for place in ("dc1", "dc2"):
        for index in range(3):
            fleet.add(f"{place}-{index}", place, service="catalogue",
                      backend=["--service-time-ms", "1"])
    fleet.start_platform()
    fleet.assign_ports()
    sides = {place: [d.address("peer") for d in fleet.daemons
                     if d.data_centre == place] for place in ("dc1", "dc2")}
    for daemon in fleet.daemons:
        other = "dc2" if daemon.data_centre == "dc1" else "dc1"
        fleet.start_daemon(daemon, blocked_peers=sides[other])
        fleet.start_backend(daemon)
    fleet.wait_members(3)
    apply(fleet, 800, wait=False)
    fleet.wait_version(1)
    for daemon in fleet.daemons:
        fleet.wait_servers("catalogue", 3, [daemon])
        status, _, _ = send_http("GET", daemon.address("caller"),
                                 "/catalogue/x")
        assert status == 200, f"{daemon.name} answered {status}"


def sigterm_during_large_download_ends_whole_with_exit_code_0(fleet):
    """Guards against a planned stop that cuts off a request in flight."""
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
    with urllib.request.urlopen(request, timeout=60) as answer:
        received = len(answer.read(1000000))
        for daemon in (entry, owner):
            daemon.program.process.terminate()
        while True:
            piece = answer.read(1000000)
            if not piece:
                break
            received += len(piece)
    assert received == size, f"{received} of {size} bytes"
    assert entry.program.stop() == 0
    assert owner.program.stop() == 0


def invalid_settings_refused_with_the_path_of_the_field(fleet):
    """Guards against a misspelt setting that is silently ignored."""
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
    call_from_either_data_centre_any_daemon_answered,
    third_killed_and_restarted_version_never_back,
    frozen_daemon_wakes_catches_up_and_never_back,
    platform_down_daemons_restarted_keep_version_and_serve,
    platform_down_whole_data_centre_restarted_serves_nothing_old,
    answer_lost_after_apply_resolved_to_accepted,
    operators_race_one_wins_and_the_other_is_told,
    partition_between_data_centres_each_serves_then_heals,
    sigterm_during_large_download_ends_whole_with_exit_code_0,
    invalid_settings_refused_with_the_path_of_the_field,
]


if __name__ == "__main__":
    main(TESTS)
