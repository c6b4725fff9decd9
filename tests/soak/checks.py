"""Checks the guarantees on the traffic of callers and backend servers."""

import collections
import math
import signal
import time

from backend import ATTEMPT_ID_FIELD, expected_body

# Statuses which guarantee that the request was not and will not be executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
DRAIN_S = 2.0
APPLY_S = 2.0
CONTACT_S = 3.0
STOP_GRACE_S = 6.0
# While a daemon stops: it accepts requests for at least this long, and its
# connections close at the end.
STOP_ACCEPT_S = 2.0
STOP_END_S = STOP_GRACE_S - 0.4
# An answer that is ready this long before the end can reach the caller.
LATE_ANSWER_S = 1.0
# Daemons end a request up to this long before the deadline of its caller.
ANSWER_MARGIN_S = 0.02
# A caller that took less of what it could was kept waiting by its daemon.
MIN_TAKEN_SHARE = 0.8
# A request that is not answered when its connection ends this long after its
# last byte counts as read.
LOSS_SLACK_S = 0.2
# Requests that a daemon in touch may pass on and leave unanswered without any
# disruption, in a whole run.
MAX_CUT_REQUESTS = 3
# Consecutive probes of an added route that may be refused while a route that
# all versions have is served: a server may have no slot at times.
MAX_REFUSED_PROBES = 5
# After a request has crashed this many servers and CONTACT_S have passed, it may
# reach this many more.
MAX_CRASHES = 3
MAX_LATE_CRASHES = 3
# Added to bounds, as the soak's own single process delays measurements.
SLACK_S = 0.5


class Checks:
    """Records requests, executions and faults; reports violations."""

    def __init__(self, checks_answers=False, strict_answers=False):
        # Whether each request that has run has to get its server's answer when
        # its daemon stops; if strict, also in place of 504.
        self.checks_answers = checks_answers
        self.strict_answers = strict_answers
        self.lost_late = 0  # Answers of servers in whose place 504 came.
        self.violations = []
        self.executions = collections.Counter()
        self.running = collections.Counter()  # Executions in progress.
        self.execution_ends = {}
        self.execution_vms = {}
        # Attempts whose response a backend server cut, lost or mixed up.
        self.broken_off = set()
        self.refused_statuses = {}
        self.sent_requests = {}
        self.response_counts = collections.Counter()
        self.responses = []
        # Evaluations of the checks that only apply without disruptions.
        self.check_counts = collections.Counter()
        # Time when a disruption last began or ended, by VM, and of the last
        # unplanned one on any VM.
        self.last_disruption_at = collections.defaultdict(float)
        self.active_disruptions = collections.Counter()
        self.last_unplanned_at = 0.0
        self.active_unplanned = 0
        # Times of SIGTERM and SIGHUP, by VM.
        self.stops = collections.defaultdict(list)
        self.reloads = collections.defaultdict(list)
        self.cut_requests = 0
        # Routes that the newest version adds, and when it was acknowledged; no
        # time while the store has lost it.
        self.added_routes = {}
        self.served_routes = collections.defaultdict(set)  # By daemon process.
        self.refused_probes = collections.Counter()        # By daemon process.
        # Of requests that crash backend servers, by target.
        self.crash_times = collections.defaultdict(list)
        self.late_crashes = collections.Counter()
        # When a backend server last got a request, and when the store last had
        # its daemon's record, or when they were disrupted; by VM.
        self.last_request_at = {}
        self.last_record_at = {}

    def report_violation(self, check, detail):
        self.violations.append(f"{check}: {detail}")
        print(f"VIOLATION {check}: {detail}", flush=True)

    def has_unknown(self, known_checks):
        """Returns whether a violation is of none of the known checks."""
        return any(violation.split(":")[0] not in known_checks
                   for violation in self.violations)

    # Faults ------------------------------------------------------------------

    def begin_disruption(self, vm, planned=False):
        """Records the begin of a disruption of a VM or of "store"."""
        self.active_disruptions[vm] += 1
        self.record_disruption_time(vm, planned)
        self.active_unplanned += not planned

    def end_disruption(self, vm, planned=False):
        self.active_disruptions[vm] -= 1
        self.record_disruption_time(vm, planned)
        self.active_unplanned -= not planned

    def record_disruption_time(self, vm, planned):
        self.last_disruption_at[vm] = time.monotonic()
        if not planned:
            self.last_unplanned_at = time.monotonic()

    def is_undisrupted(self, vm, since):
        """Returns whether a VM and the store were undisrupted since `since`.

        They must also have been undisrupted for CONTACT_S before, within which
        a daemon has to regain contact.
        """
        return all(self.active_disruptions[name] == 0 and
                   self.last_disruption_at[name] < since - CONTACT_S
                   for name in (vm, "store"))

    def is_calm(self, since):
        """Returns whether no VM had an unplanned disruption since `since`.

        As in is_undisrupted(), CONTACT_S before `since` counts as well.
        """
        return (self.active_unplanned == 0 and
                self.last_unplanned_at < since - CONTACT_S)

    # Backend servers ---------------------------------------------------------

    def on_execution(self, backend, message):
        attempt_id = message.fields.get(ATTEMPT_ID_FIELD, "")
        sent = self.sent_requests.get(attempt_id)
        if sent is None:
            self.report_violation("UNASKED", f"{attempt_id} was never sent")
            return
        self.last_request_at[backend.vm] = time.monotonic()
        self.executions[attempt_id] += 1
        self.running[attempt_id] += 1
        self.execution_vms[attempt_id] = backend.vm
        if (message.method, message.target, message.body) != (
                sent.method, sent.target, sent.body):
            self.report_violation("UNASKED", f"{attempt_id} was changed")
        if message.fields.get("pomelohall-caller-service") != sent.service:
            self.report_violation(
                "UNASKED", f"{attempt_id} has another caller service")
        if backend.service != sent.destination:
            self.report_violation(
                "ROUTE", f"{attempt_id} ran at {backend.service}")
        if sent.kind == "unsafe" and self.executions[attempt_id] > 1:
            self.report_violation("TWICE", f"{attempt_id} ran again")
        if attempt_id in self.refused_statuses:
            self.report_violation(
                "REFUSED", f"{attempt_id} ran after it was refused")
        if backend.drained_at and self.is_undisrupted(sent.vm,
                                                      backend.drained_at):
            self.check_counts["DRAIN"] += 1
            delay_s = time.monotonic() - backend.drained_at
            if delay_s > DRAIN_S + SLACK_S:
                self.report_violation(
                    "DRAIN", f"{attempt_id} arrived {delay_s:.1f} s after the "
                    "drain was acknowledged")

    def on_execution_end(self, attempt_id):
        self.running[attempt_id] -= 1
        self.execution_ends[attempt_id] = time.monotonic()

    def on_crash(self, vm, target):
        """Checks how often a request crashes servers that was sent at `vm`."""
        now = time.monotonic()
        self.crash_times[target].append(now)
        times = self.crash_times[target]
        if (len(times) <= MAX_CRASHES or
                now < times[MAX_CRASHES - 1] + CONTACT_S + SLACK_S or
                not self.is_undisrupted(vm, now)):
            return
        self.check_counts["BUDGET"] += 1
        self.late_crashes[target] += 1
        if self.late_crashes[target] == MAX_LATE_CRASHES + 1:
            self.report_violation(
                "BUDGET", f"{target} crashed {len(times)} servers, "
                f"{self.late_crashes[target]} of them late")

    def on_series_end(self, vm, target, since, served, control_served):
        """Checks that a correct request is served after crashes that it met.

        `control_served`: whether another one was, at the end.
        """
        if not control_served or not self.is_undisrupted(vm, since):
            return
        self.check_counts["SERVED"] += 1
        if not served:
            self.report_violation(
                "SERVED", f"{target} is not served at {vm} "
                f"{time.monotonic() - since:.1f} s after the last crash")

    # Callers -----------------------------------------------------------------

    def on_response(self, sent, response, ending):
        """Checks a response.

        `response`: None if there is no complete response. `ending`: "complete",
        "closed" by the daemon, "gave up" by the caller, or "malformed".
        """
        now = time.monotonic()
        status = response.status if response else 0
        # Neither answered nor passed on within the slack: it was not read.
        was_read = (self.executions[sent.attempt_id] > 0 or
                    now > sent.whole_at + LOSS_SLACK_S + SLACK_S)
        if response is None and (not was_read or sent.behind and
                                 not self.executions[sent.attempt_id]):
            return
        self.response_counts[status] += 1
        self.responses.append((now, status == 200))
        if ending == "malformed" and sent.attempt_id not in self.broken_off:
            self.report_violation(
                "MIXED", f"{sent.attempt_id} got bytes that are no response")
        self.check_end(sent, response, ending, now)
        if self.checks_answers and response:
            self.check_answer(sent, response, now)
        if ((response or ending == "gave up") and
                now - sent.whole_at > sent.timeout_s + sent.reading_s +
                3 * SLACK_S and self.is_undisrupted(sent.vm, sent.sent_at)):
            self.report_violation(
                "CONFIG", f"{sent.attempt_id} took {now - sent.whole_at:.1f} s")
        if response is None:
            return
        # Callers send only proper requests, on routes of all versions.
        if status // 100 == 4 and status not in NOT_RUN_STATUSES:
            self.report_violation(
                "DENIED", f"{sent.attempt_id} {sent.target} got {status} from "
                f"{sent.vm}")
        signature = response.fields.get("pomelohall-response-signature")
        if response.fields.get(ATTEMPT_ID_FIELD,
                               sent.attempt_id) != sent.attempt_id:
            self.report_violation(
                "MIXED", f"{sent.attempt_id} got the response to another one")
        if status // 100 == 2:
            expected = expected_body(sent.attempt_id, sent.target,
                                     sent.response_size)
            if response.body != expected or signature != "s-" + sent.attempt_id:
                self.report_violation(
                    "MIXED", f"{sent.attempt_id} got a different body")
        elif signature:
            self.report_violation(
                "MIXED", f"{sent.attempt_id} got {status} with a signature")
        if status in NOT_RUN_STATUSES and sent.kind == "unsafe":
            self.refused_statuses[sent.attempt_id] = status
            if self.executions[sent.attempt_id]:
                self.report_violation(
                    "REFUSED", f"{sent.attempt_id} got {status} but has run")

    def stopped_at(self, sent, now):
        """Returns when the daemon got the SIGTERM that a request met."""
        return max((at for at in self.stops[sent.vm] if at <= now and
                    sent.sent_at <= at + STOP_GRACE_S + 1), default=None)

    def check_end(self, sent, response, ending, now):
        """Checks that planned work neither cuts nor breaks off a request."""
        stopped_at = self.stopped_at(sent, now)
        reloaded_at = max(
            (at for at in self.reloads[sent.vm] if at <= now and
             sent.sent_at <= at + APPLY_S), default=None)
        if not self.is_calm(sent.sent_at):
            return
        self.check_counts["LOST"] += stopped_at is not None
        # A server still works on a request that a daemon answers by itself.
        broken_off = (response is not None and response.status >= 400 and
                      self.running[sent.attempt_id] > 0)
        if ending == "gave up":  # Long after the deadline.
            self.report_violation(
                "LOST", f"{sent.attempt_id} got no response, and its "
                "connection stayed open")
        if ending != "closed" and not broken_off:
            return
        margin_s = ANSWER_MARGIN_S if self.checks_answers else 0.0
        if now - sent.sent_at > min(sent.timeout_s, sent.deadline_s) - margin_s:
            self.check_counts["ended at deadline"] += 1
            return
        if sent.attempt_id in self.broken_off:
            self.check_counts["broken off by server"] += 1
            return
        needs_answer = (self.checks_answers and ending == "closed" and
                        self.is_owed(sent, stopped_at))
        if (self.exceeds_grace(sent, stopped_at, now) and
                not needs_answer):
            self.check_counts["ran beyond grace"] += 1
            return
        detail = (f"{sent.attempt_id} {sent.method} {sent.target} of "
                  f"{sent.vm} "
                  + (f"was answered {response.status} while it ran"
                     if broken_off else "got no response") +
                  f" {now - sent.whole_at:.2f} s after it was sent, ran "
                  f"{self.executions[sent.attempt_id]} times")
        if needs_answer:
            detail += self.describe_answer(sent, stopped_at, now)
        if needs_answer and self.is_missed_by_caller(sent, now):
            self.check_counts["caller too slow"] += 1
            print(f"caller too slow: {detail}", flush=True)
            return
        if stopped_at is not None:
            self.report_violation(
                "LOST", f"{detail}, sent {sent.sent_at - stopped_at:.2f} s "
                "after the SIGTERM of its daemon")
        elif broken_off:
            return
        elif reloaded_at is not None:
            self.report_violation(
                "LOST", f"{detail}, sent {sent.sent_at - reloaded_at:.2f} s "
                "after the SIGHUP of its daemon")
        elif self.executions[sent.attempt_id]:
            self.cut_requests += 1
            if self.cut_requests > MAX_CUT_REQUESTS:
                self.report_violation("LOST", detail)

    def exceeds_grace(self, sent, stopped_at, ended_at):
        """Returns whether the server works until the grace is nearly over.

        The last sixth of the grace is left for the end of the daemon. Requests
        that are sent late in the grace have to be refused instead.
        """
        if stopped_at is None or sent.sent_at > stopped_at + STOP_GRACE_S / 2:
            return False
        last_sixth_at = stopped_at + STOP_GRACE_S * 5 / 6
        work_ended_at = (ended_at if self.running[sent.attempt_id] else
                         self.execution_ends.get(sent.attempt_id, 0))
        return min(work_ended_at, ended_at) >= last_sixth_at

    def is_owed(self, sent, stopped_at):
        """Returns whether a request needs an answer, as its daemon stops.

        It has run, and was sent while its daemon had to accept it.
        """
        whole_at = sent.sent_at if sent.behind else sent.whole_at
        return (stopped_at is not None and self.executions[sent.attempt_id] and
                whole_at <= stopped_at + STOP_ACCEPT_S)

    def could_take_bytes(self, sent, now):
        """Returns how much the caller could have read since the server's end.

        If the request came behind another one, since the response to that one.
        """
        since = max(self.execution_ends.get(sent.attempt_id, now),
                    sent.after.answered_at if sent.after else 0.0)
        return (sent.bytes_per_s * (now - since) if since < now else 0.0)

    def is_missed_by_caller(self, sent, now):
        """Returns whether the caller read too slowly to get a whole answer.

        It could not have taken all of it, and took most of what it could since
        the server's end.
        """
        if sent.after and not sent.after.answered_at:
            # The answer's turn never came.
            return self.is_missed_by_caller(sent.after, now)
        if math.isinf(sent.bytes_per_s) or not sent.taken_bytes:
            return False  # Reads fast, or the daemon sent nothing to read.
        could_take = self.could_take_bytes(sent, now)
        return (sent.attempt_id in self.execution_ends and
                could_take < sent.response_size and
                sent.taken_bytes >= MIN_TAKEN_SHARE * could_take)

    def describe_answer(self, sent, stopped_at, now):
        """Tells where the answer was; times are after the SIGTERM."""
        ended_at = self.execution_ends.get(sent.attempt_id)
        run = ("still ran" if self.running[sent.attempt_id] or not ended_at else
               f"ended at {ended_at - stopped_at:.2f} s")
        return (f", {run} at {self.execution_vms.get(sent.attempt_id)}, caller "
                f"took {sent.taken_bytes} of {sent.response_size} bytes and "
                f"could have {self.could_take_bytes(sent, now):.0f}, behind "
                f"{sent.after.attempt_id if sent.after else 'none'}, over at "
                f"{now - stopped_at:.2f} s")

    def check_answer(self, sent, response, now):
        """Checks a complete answer of a daemon that stops."""
        stopped_at = self.stopped_at(sent, now)
        if (not self.is_owed(sent, stopped_at) or
                not self.is_calm(sent.sent_at) or
                sent.attempt_id in self.broken_off):
            return
        self.check_counts["ANSWER"] += 1
        if (response.status == 200 or
                now - sent.sent_at > min(sent.timeout_s, sent.deadline_s)):
            return
        is_running = self.running[sent.attempt_id] > 0
        run_s = (now if is_running else
                 self.execution_ends[sent.attempt_id]) - stopped_at
        is_late = (response.status == 504 and
                   run_s < STOP_END_S - LATE_ANSWER_S)
        self.lost_late += is_late
        # check_end() reports answers while the server works, and REFUSED is
        # about unsafe requests.
        hides_run = response.status in NOT_RUN_STATUSES and (
            sent.kind != "unsafe")
        is_own = (response.status not in (*NOT_RUN_STATUSES, 504) and
                  not is_running and run_s < STOP_GRACE_S * 5 / 6)
        if hides_run or is_own or is_late and self.strict_answers:
            self.report_violation(
                "ANSWER", f"{sent.attempt_id} {sent.target} of {sent.vm} got "
                f"{response.status}, sent {sent.sent_at - stopped_at:.2f} s "
                "after the SIGTERM of its daemon" +
                self.describe_answer(sent, stopped_at, now))

    # Configuration -----------------------------------------------------------

    def on_config_acknowledged(self, added_routes):
        """Records that the store has the newest version, maybe once more."""
        now = time.monotonic()
        self.added_routes = {route: self.added_routes.get(route) or now
                             for route in added_routes}

    def on_config_restored(self, stored_routes):
        """Records that the store has a copy, maybe of an older version."""
        for route in self.added_routes.keys() - stored_routes:
            self.added_routes[route] = None

    def on_probe(self, vm, lifetime, started_at, route, sent_at, status,
                 first_status):
        """Checks the status of a request on a route that a version added.

        `lifetime`: identifies the daemon process, which started at
        `started_at`. `first_status`: of a request on a route of all versions.
        """
        if first_status == 404:
            self.report_violation("DENIED", f"{vm} refuses a route that all "
                                  "versions have")
        if route not in self.added_routes:
            return  # A newer version removed it meanwhile.
        process = (vm, lifetime)
        if status == 404 and route in self.served_routes[process]:
            self.report_violation(
                "BACK", f"{vm} served {route} and does not know it any more")
        if status == 200:
            self.served_routes[process].add(route)
        acknowledged_at = self.added_routes[route]
        if acknowledged_at is None:
            return
        due_at = acknowledged_at + APPLY_S + SLACK_S
        # A daemon that starts later learns this version or refuses.
        if sent_at <= due_at or (started_at <= due_at and
                                 not self.is_undisrupted(vm, sent_at)):
            return
        self.check_counts["CONFIG"] += 1
        if status == 404:
            self.report_violation(
                "CONFIG", f"{vm} does not know {route} "
                f"{sent_at - acknowledged_at:.1f} s after the ack")
        if status != 503 or first_status != 200:
            self.refused_probes[process] *= status == 503
        elif self.is_undisrupted(vm, sent_at):
            self.refused_probes[process] += 1
            if self.refused_probes[process] == MAX_REFUSED_PROBES:
                self.report_violation(
                    "CONFIG", f"{vm} refuses {route} "
                    f"{sent_at - acknowledged_at:.1f} s after the ack")

    # Processes ---------------------------------------------------------------

    def on_exit(self, vm, code, sent_signal):
        """Checks an exit of a daemon that got `sent_signal`, or None."""
        expected = {signal.SIGTERM: 0, signal.SIGKILL: -signal.SIGKILL}.get(
            sent_signal)
        if code != expected:
            self.report_violation(
                "END", f"{vm} exited with {code} after {sent_signal}")

    def check_server(self, vm, max_idle_s, is_ready, has_record):
        """Checks that a ready backend server gets requests, and has a record.

        Without a record in the store, only callers on its own VM may find it.
        """
        now = time.monotonic()
        if not is_ready or not self.is_undisrupted(vm, now):
            self.last_request_at[vm] = self.last_record_at[vm] = now
            return
        self.check_counts["IDLE"] += 1
        idle_s = now - self.last_request_at.setdefault(vm, now)
        if idle_s > max_idle_s:
            self.report_violation(
                "IDLE", f"{vm} got no request for {idle_s:.1f} s")
            self.last_request_at[vm] = now
        lost_s = now - self.last_record_at.setdefault(vm, now)
        if has_record:
            self.last_record_at[vm] = now
        elif lost_s > APPLY_S + SLACK_S:
            self.report_violation(
                "MEMBER", f"the record of {vm} is missing for {lost_s:.1f} s")
            self.last_record_at[vm] = now

    def share_served(self, since):
        recent = [served for received_at, served in self.responses
                  if received_at > since]
        return sum(recent) / len(recent) if recent else 0.0
