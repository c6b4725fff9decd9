"""Checks the guarantees on the traffic of callers and backend servers."""

import collections
import time

from backend import ATTEMPT_ID_FIELD, expected_body

# Statuses which guarantee that the request was not and will not be executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
DRAIN_S = 2.0
APPLY_S = 2.0
CONTACT_S = 3.0
STOP_GRACE_S = 6.0
# Added to bounds, as the soak's own single process delays measurements.
SLACK_S = 0.5


class Checks:
    """Records requests, executions and faults; reports violations."""

    def __init__(self):
        self.violations = []
        self.executions = collections.Counter()
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

    def report_violation(self, check, detail):
        self.violations.append(f"{check}: {detail}")
        print(f"VIOLATION {check}: {detail}", flush=True)

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
        self.executions[attempt_id] += 1
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

    # Callers -----------------------------------------------------------------

    def on_response(self, sent, response):
        """Checks a response.

        `response`: None if the connection ended without a complete response.
        """
        now = time.monotonic()
        status = response.status if response else 0
        self.response_counts[status] += 1
        self.responses.append((now, status == 200))
        planned = sent.daemon_stopping and self.is_calm(sent.sent_at)
        self.check_counts["LOST"] += planned
        if response is None:
            if planned:
                self.report_violation(
                    "LOST", f"{sent.attempt_id} got no response from a daemon "
                    "that was stopping")
            return
        if response.fields.get(ATTEMPT_ID_FIELD,
                               sent.attempt_id) != sent.attempt_id:
            self.report_violation(
                "MIXED", f"{sent.attempt_id} got the response to another one")
        if status == 200:
            expected = expected_body(sent.attempt_id, sent.target,
                                     sent.response_size)
            if response.body != expected or response.fields.get(
                    "pomelohall-response-signature") != "s-" + sent.attempt_id:
                self.report_violation(
                    "MIXED", f"{sent.attempt_id} got a different body")
        if status in NOT_RUN_STATUSES and sent.kind == "unsafe":
            self.refused_statuses[sent.attempt_id] = status
            if self.executions[sent.attempt_id]:
                self.report_violation(
                    "REFUSED", f"{sent.attempt_id} got {status} but has run")
        duration_s = now - sent.sent_at
        if duration_s > sent.timeout_s + 3 * SLACK_S and self.is_undisrupted(
                sent.vm, sent.sent_at):
            self.report_violation(
                "CONFIG", f"{sent.attempt_id} took {duration_s:.1f} s")

    def on_probe(self, vm, route_added_at, sent_at, status):
        """Checks the status of a request to a route that was just added."""
        if not self.is_undisrupted(vm, route_added_at):
            return
        self.check_counts["CONFIG"] += 1
        if status == 404 and sent_at > route_added_at + APPLY_S + SLACK_S:
            self.report_violation(
                "CONFIG", f"{vm} does not know a route after "
                f"{sent_at - route_added_at:.1f} s")

    def share_served(self, since):
        recent = [served for received_at, served in self.responses
                  if received_at > since]
        return sum(recent) / len(recent) if recent else 0.0
