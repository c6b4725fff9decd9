#!/usr/bin/env python3
"""Tests of calls and of the figure per class with real processes on loopback.

They check promises, not times. Usage: call_process_test.py BIN_DIR [NAME...]
"""

import concurrent.futures
import http.client
import json
import os
import re
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))
from fleet_control import make_config, send_http as send  # noqa: E402
from fleet_control import wait_until  # noqa: E402
from test_runner import main  # noqa: E402

SERVICES = {
    "catalogue": [("stock-lookup", "lookup", "/catalogue", "", 10000, 0.95)],
    "orders": [("order-release", "transaction", "/orders", "POST", 10000,
                0.99),
               ("order-lookup", "lookup", "/orders", "", 10000, 0.95)],
}
# Longer than the detection of a death and shorter than the default deadline.
SLEEP_MS = 3000
CALLS_AT_ONCE = 12
# A resend that starts before every daemon knows of the crash may crash one more
# server; the page allows that, so the caller waits this long between resends.
SPREAD_SECONDS = 2
DRAIN_BOUND_SECONDS = 3  # Promise P7.


def start_fleet(fleet, services, backend=("--service-time-ms", "1")):
    """Starts a daemon for each listed service, in two data centres in turn."""
    for index, service in enumerate(services):
        place = ("dc1", "dc2")[index % 2]
        fleet.add(f"{place}-{index}", place, service=service,
                  backend=list(backend))
    fleet.start_all()
    fleet.wait_members(len(fleet.daemons))
    code, output = fleet.command(
        "apply", fleet.write_config(make_config(SERVICES)), "--wait")
    assert code == 0, f"apply: exit code {code}, {output}"
    for service in set(services):
        fleet.wait_servers(service, services.count(service))


def start_mixed_fleet(fleet):
    """Each data centre gets two servers of orders and one of catalogue."""
    start_fleet(fleet, ["catalogue", "catalogue", "orders", "orders",
                        "orders", "orders"])


def serving(fleet, service):
    return [d for d in fleet.daemons if d.service == service]


def issue_key(daemon):
    status, _, body = send("POST", daemon.address("caller"), "/v1/keys")
    assert status == 201, f"{daemon.name} issued no key: {status} {body}"
    return json.loads(body)["key"]


class Answer:
    """Answer of one call; `broken` if the connection ended without one."""

    def __init__(self, status=0, headers=None, body=b"", broken=False):
        self.status = status
        self.body = body
        self.broken = broken
        self.outcome = headers.get("Pomelohall-Outcome") if headers else None
        self.error = None
        if status >= 400:
            content = json.loads(body)
            self.error = content["error"]
            self.outcome = content["ran"]

    def __repr__(self):
        return (f"(broken {self.broken}, status {self.status}, error "
                f"{self.error}, ran {self.outcome}, {self.body[:80]!r})")


def call(daemon, path, method="GET", key=None, body=None, headers=None):
    fields = dict(headers or {})
    if key:
        fields["Idempotency-Key"] = key
    try:
        return Answer(*send(method, daemon.address("caller"), path, body,
                            fields, timeout=60))
    except (OSError, http.client.HTTPException):
        return Answer(broken=True)


def executions_at(daemon, key):
    _, _, body = send("GET", f"127.0.0.1:{daemon.backend_port}",
                      f"/executions?key={key}")
    return int(body)


class ExecutionCount:
    """Counts executions per key, also those of servers that were killed."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.of_killed = {}

    def of(self, key):
        return self.of_killed.get(key, 0) + sum(
            executions_at(d, key) for d in self.daemons)

    def kill_server(self, daemon, keys):
        for key in keys:
            self.of_killed[key] = (self.of_killed.get(key, 0) +
                                   executions_at(daemon, key))
        self.daemons = [d for d in self.daemons if d is not daemon]
        daemon.backend.kill()


def resend_until_known(daemon, path, key, body):
    """Resends until the outcome that the entry daemon reports has arrived."""
    def answer():
        got = call(daemon, path, "POST", key, body)
        return None if got.error == "outcome_unknown" else got
    return wait_until(answer, f"first answer through {daemon.name}")


def check_answer(answer, key, count, history):
    """Checks an answer against the executions of its key until now."""
    ran = count.of(key)
    history.append(answer)
    assert ran <= 1, f"{ran} executions of {key}: {history}"
    if answer.outcome == "not_run":
        assert ran == 0, f"not_run, but {key} was executed: {history}"
    if answer.status == 200:
        assert ran == 1, f"{key} answered, {ran} executions: {history}"


# Transactions with issued keys ------------------------------------------------

def key_resent_through_other_daemons_first_answer_and_one_execution(fleet):
    """Guards against a resent transaction that runs a second time."""
    start_mixed_fleet(fleet)
    count = ExecutionCount(serving(fleet, "orders"))
    for number, home in enumerate(fleet.daemons):
        key = issue_key(home)
        body = f"order {number}".encode()
        entry = fleet.daemons[(number + 1) % len(fleet.daemons)]
        first = call(entry, "/orders/new", "POST", key, body)
        assert (first.status, first.body) == (200, body), first
        for daemon in fleet.daemons:
            again = resend_until_known(daemon, "/orders/new", key, body)
            assert (again.status, again.body) == (200, body), again
        assert count.of(key) == 1, f"{count.of(key)} executions"


def kill_while_transactions_run(fleet, kill):
    """Sends transactions, kills a process, resends through all that remain.

    `kill(entry, owner, count, keys)` kills one process and returns the daemons
    that remain.
    """
    start_mixed_fleet(fleet)
    orders = serving(fleet, "orders")
    count = ExecutionCount(orders)
    home, entry = serving(fleet, "catalogue")
    path = f"/orders/sleep?ms={SLEEP_MS}"
    keys = [issue_key(home) for _ in range(CALLS_AT_ONCE)]
    bodies = {key: f"order {n}".encode() for n, key in enumerate(keys)}
    histories = {key: [] for key in keys}

    def busiest():
        return max(orders, key=lambda d: sum(executions_at(d, k)
                                             for k in keys))

    def send_and_check(daemon, key):
        answer = call(daemon, path, "POST", key, bodies[key])
        check_answer(answer, key, count, histories[key])

    # The callers of these keys resend at once, without waiting for an answer.
    impatient = keys[::2]
    # Each key has its first call and at most one resend in progress.
    with concurrent.futures.ThreadPoolExecutor(2 * CALLS_AT_ONCE) as pool:
        first = [pool.submit(call, entry, path, "POST", key, bodies[key])
                 for key in keys]
        wait_until(lambda: any(executions_at(busiest(), k) for k in keys),
                   "a transaction runs")
        remaining = kill(entry, busiest(), count, keys)
        early = [pool.submit(call, remaining[n % len(remaining)], path, "POST",
                             key, bodies[key])
                 for n, key in enumerate(impatient)]
        for key, answer in zip(keys, first):
            if key not in impatient:
                check_answer(answer.result(), key, count, histories[key])
        concurrent.futures.wait(first + early)
        for daemon in remaining:
            resent = [pool.submit(send_and_check, daemon, key)
                      for key in keys]
            for item in resent:
                item.result()
    # No attempt that was still queued may run later than its answer.
    for key in keys:
        assert count.of(key) <= 1, f"{key}: {histories[key]}"


def kill_daemon(fleet, victim):
    victim.program.kill()
    return [d for d in fleet.daemons if d is not victim]


def owner_killed_while_transactions_run_none_runs_twice(fleet):
    """Guards against a retry of a transaction whose owner daemon died."""
    kill_while_transactions_run(
        fleet, lambda entry, owner, count, keys: kill_daemon(fleet, owner))


def entry_killed_while_transactions_run_none_runs_twice(fleet):
    """Guards against a key that is granted again after its entry died."""
    kill_while_transactions_run(
        fleet, lambda entry, owner, count, keys: kill_daemon(fleet, entry))


def backend_killed_while_transactions_run_none_runs_twice(fleet):
    """Guards against "not run" for work that a dead backend server ran."""
    def kill(_entry, owner, count, keys):
        count.kill_server(owner, keys)
        return fleet.daemons
    kill_while_transactions_run(fleet, kill)


def home_killed_resends_get_outcome_unknown_and_nothing_runs(fleet):
    """Guards against a key that runs again once its home is forgotten."""
    start_mixed_fleet(fleet)
    count = ExecutionCount(serving(fleet, "orders"))
    home, entry = serving(fleet, "catalogue")
    done, unused, running = (issue_key(home) for _ in range(3))
    first = call(entry, "/orders/new", "POST", done, b"order")
    assert first.status == 200, first
    path = f"/orders/sleep?ms={SLEEP_MS}"
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        in_flight = pool.submit(call, entry, path, "POST", running, b"order")
        wait_until(lambda: count.of(running) == 1, "a transaction runs")
        home.program.kill()
        remaining = [d for d in fleet.daemons if d is not home]
        expected = {done: 1, unused: 0, running: 1}

        def resend_all():
            for daemon in remaining:
                for key, executions in expected.items():
                    answer = call(daemon, path, "POST", key, b"order")
                    assert answer.error == "outcome_unknown", answer
                    assert answer.outcome == "unknown", answer
                    assert count.of(key) == executions, answer

        resend_all()
        answer = in_flight.result()
        assert answer.outcome != "not_run", answer
    fleet.wait_members(len(remaining), remaining)
    resend_all()
    fleet.start_daemon(home)
    fleet.wait_members(len(fleet.daemons))
    remaining = fleet.daemons
    resend_all()


# Requests that crash their backend server ------------------------------------

def send_poison_ten_times(fleet):
    servers = fleet.daemons
    for number in range(10):
        entry = fleet.daemons[number % len(fleet.daemons)]
        answer = call(entry, "/catalogue/poison",
                      headers={"X-Test-Crash": "1"})
        assert answer.status != 200, answer
        time.sleep(SPREAD_SECONDS)
        crashed = [d.name for d in servers if not d.backend.running()]
        assert len(crashed) <= 2, f"crashed after {number + 1}: {crashed}"
    for daemon in fleet.daemons:
        answer = call(daemon, "/catalogue/poison",
                      headers={"X-Test-Crash": "1"})
        assert answer.error == "poison_suspected", answer
        assert answer.outcome == "not_run", answer


def poison_resent_ten_times_two_servers_crash_and_others_serve(fleet):
    """Guards against a resent request that crashes server after server."""
    start_fleet(fleet, ["catalogue"] * 4,
                ["--service-time-ms", "1", "--crash-on-header"])
    send_poison_ten_times(fleet)
    for daemon in fleet.daemons:
        answer = call(daemon, "/catalogue/x")
        assert answer.status == 200, answer


def poison_among_other_requests_two_servers_crash_and_others_serve(fleet):
    """Guards against innocent requests that hide the one that crashes."""
    start_fleet(fleet, ["catalogue"] * 4,
                ["--service-time-ms", "20", "--crash-on-header"])
    load = start_load(fleet, "load", fleet.daemons, "--path", "/catalogue",
                      "--rate", "40", "--seconds", "10")
    send_poison_ten_times(fleet)
    seen = end_load(load)
    assert seen["ok"] > 0, seen
    for daemon in fleet.daemons:
        answer = call(daemon, "/catalogue/x")
        assert answer.status == 200, answer


# Planned leaving ---------------------------------------------------------------

def start_load(fleet, name, entries, *options):
    arguments = ["pomelohall-load", "--json", "--calls", "1000000", *options]
    for daemon in entries:
        arguments += ["--address", daemon.address("caller")]
    return fleet.start_program(name, *arguments)


def end_load(load):
    """Waits for the end of a load; returns its figures."""
    code = load.process.wait(timeout=120)
    with open(load.log_path, encoding="utf-8") as log:
        text = log.read()
    assert code == 0, f"load ended with {code}: {text}"
    return json.loads(text)["mesh"]


def start_order_loads(fleet, entries):
    """Lookups carry one key, by which the stub counts them."""
    lookups = start_load(fleet, "lookups", entries, "--path", "/orders",
                         "--concurrency", "3", "--seconds", "14",
                         "--header", "Idempotency-Key: lookups")
    changes = start_load(fleet, "changes", entries, "--path", "/orders",
                         "--concurrency", "2", "--seconds", "14", "--keys")
    return [lookups, changes]


def check_all_ok(loads):
    for load in loads:
        seen = end_load(load)
        assert seen["calls"] > 0 and seen["ok"] == seen["calls"], (load.name,
                                                                   seen)


def drain_under_load_every_call_ok_and_no_new_work_after_3_s(fleet):
    """Guards against new work for a drained server and calls that it fails."""
    start_fleet(fleet, ["catalogue", "catalogue", "orders", "orders",
                        "orders"], ["--service-time-ms", "5"])
    orders = serving(fleet, "orders")
    drained = orders[0]
    loads = start_order_loads(fleet, fleet.daemons)
    wait_until(lambda: all(executions_at(d, "lookups") > 50 for d in orders),
               "every server works")
    code, output = fleet.command("drain", "--daemon",
                                 drained.address("local"))
    assert code == 0, output
    time.sleep(DRAIN_BOUND_SECONDS)
    before = {d: executions_at(d, "lookups") for d in orders}
    check_all_ok(loads)
    after = {d: executions_at(d, "lookups") for d in orders}
    assert after[drained] == before[drained], "new work after the drain"
    # The comparison counts only if the load went on after the 3 s.
    assert sum(after.values()) > sum(before.values()), (before, after)


def backend_sigterm_under_load_every_call_ok(fleet):
    """Guards against a planned stop of a server that fails calls."""
    start_fleet(fleet, ["catalogue", "catalogue", "orders", "orders",
                        "orders"], ["--service-time-ms", "5"])
    orders = serving(fleet, "orders")
    loads = start_order_loads(fleet, fleet.daemons)
    wait_until(lambda: all(executions_at(d, "lookups") > 50 for d in orders),
               "every server works")
    code = orders[0].backend.stop()
    assert code == 0, f"backend server ended with {code}"
    assert all(load.running() for load in loads), "the load ended too early"
    check_all_ok(loads)


# The figure per class ------------------------------------------------------------

def metric(daemon, name):
    text = send("GET", daemon.address("local"), "/metrics")[2].decode()
    return float(re.search(rf"^{name} (\S+)$", text, re.MULTILINE).group(1))


def kill_entry_and_check_figure(fleet, aggregator):
    """Kills the daemon that is, or is not, an aggregator under load."""
    start_fleet(fleet, ["catalogue"] * 6)
    victim = next(d for d in fleet.daemons
                  if d.data_centre == "dc1" and
                  (metric(d, "pomelohall_reader") == 1) == aggregator)
    survivor = next(d for d in fleet.daemons if d.data_centre == "dc2")
    load = start_load(fleet, "load", [victim, survivor], "--path",
                      "/catalogue", "--rate", "40", "--seconds", "60")
    # The callers go on for 15 s, less than the 20 s that are charged.
    time.sleep(45)
    victim.program.kill()
    seen = end_load(load)
    ended = time.time()
    served = metric(survivor, "pomelohall_calls_total")
    assert 0 < seen["ok"] < seen["calls"], seen

    def reported():
        code, output = fleet.command("--output", "json", "report",
                                     "--window", "1h")
        report = json.loads(output) if code == 0 else {"to": 0}
        return report if report["to"] >= ended else None

    report = wait_until(reported, "a report up to the end of the load", 150)
    found = next(c for c in report["classes"] if c["class"] == "stock-lookup")
    shown = f"report {report}, callers saw {seen}, survivor served {served}"
    assert found["figure"] is not None, shown
    assert found["figure"] <= seen["ok"] / seen["calls"], shown
    assert found["requests"] >= served, shown


def entry_killed_figure_not_better_than_callers_saw(fleet):
    """Guards against a figure that leaves out what a dead daemon lost."""
    kill_entry_and_check_figure(fleet, aggregator=False)


def aggregator_killed_figure_not_better_than_callers_saw(fleet):
    """Guards against windows that are lost with the aggregator of a centre."""
    kill_entry_and_check_figure(fleet, aggregator=True)


# Outage of the platform ------------------------------------------------------------

def platform_down_lookups_and_issued_keys_answered(fleet):
    """Guards against calls that need the platform."""
    start_mixed_fleet(fleet)
    count = ExecutionCount(serving(fleet, "orders"))
    fleet.platform_fault("down")
    for number, daemon in enumerate(fleet.daemons):
        answer = call(daemon, "/catalogue/x")
        assert answer.status == 200, answer
        other = fleet.daemons[(number + 1) % len(fleet.daemons)]
        key = issue_key(other)
        answer = call(daemon, "/orders/new", "POST", key, b"order")
        assert answer.status == 200, answer
        again = resend_until_known(other, "/orders/new", key, b"order")
        assert again.status == 200, again
        assert count.of(key) == 1, f"{count.of(key)} executions"


def platform_down_chosen_keys_refused_and_run_at_most_once_after(fleet):
    """Guards against a caller-chosen key that runs without a claim."""
    start_mixed_fleet(fleet)
    count = ExecutionCount(serving(fleet, "orders"))
    fleet.platform_fault("down")
    keys = [f"chosen-{number}" for number in range(len(fleet.daemons))]
    for key, daemon in zip(keys, fleet.daemons):
        answer = call(daemon, "/orders/new", "POST", key, b"order")
        assert answer.error == "ledger_unavailable", answer
        # A resend cannot know whether its first call ran.
        assert answer.outcome == "unknown", answer
        assert count.of(key) == 0, f"{key} was executed: {answer}"
    fleet.platform_fault("none")
    for key in keys:
        for daemon in fleet.daemons:
            call(daemon, "/orders/new", "POST", key, b"order")
        assert count.of(key) <= 1, f"{count.of(key)} executions of {key}"


TESTS = [
    key_resent_through_other_daemons_first_answer_and_one_execution,
    owner_killed_while_transactions_run_none_runs_twice,
    entry_killed_while_transactions_run_none_runs_twice,
    backend_killed_while_transactions_run_none_runs_twice,
    home_killed_resends_get_outcome_unknown_and_nothing_runs,
    poison_resent_ten_times_two_servers_crash_and_others_serve,
    poison_among_other_requests_two_servers_crash_and_others_serve,
    drain_under_load_every_call_ok_and_no_new_work_after_3_s,
    backend_sigterm_under_load_every_call_ok,
    entry_killed_figure_not_better_than_callers_saw,
    aggregator_killed_figure_not_better_than_callers_saw,
    platform_down_lookups_and_issued_keys_answered,
    platform_down_chosen_keys_refused_and_run_at_most_once_after,
]


if __name__ == "__main__":
    main(TESTS)
