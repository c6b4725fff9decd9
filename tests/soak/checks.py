"""The promises, from what callers and backend servers see."""

import collections
import time

from backend import ATTEMPT, body_of

# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
DRAIN_S = 2.0
APPLY_S = 2.0
CONTACT_S = 3.0
STOP_GRACE_S = 6.0
# Beyond a bound: scheduling of the soak itself, which is one process.
SLACK_S = 0.5


class Checks:
    """Collects what was seen and names each broken promise."""

    def __init__(self):
        self.broken = []
        self.runs = collections.Counter()
        self.refused = {}
        self.sent = {}
        self.answers = collections.Counter()
        self.answered_at = []
        # How often a check applied that needs a calm span.
        self.applied = collections.Counter()
        # When a disruption began or ended last, by VM, and the last unplanned
        # one anywhere.
        self.disrupted_at = collections.defaultdict(float)
        self.open = collections.Counter()
        self.unplanned_at = 0.0
        self.unplanned_open = 0

    def break_promise(self, promise, what):
        self.broken.append(f"{promise}: {what}")
        print(f"BROKEN {promise}: {what}", flush=True)

    # Faults ------------------------------------------------------------------

    def begin(self, vm, planned=False):
        """A disruption of `vm` begins; "store" for the store itself."""
        self.open[vm] += 1
        self.note(vm, planned)
        self.unplanned_open += not planned

    def end(self, vm, planned=False):
        self.open[vm] -= 1
        self.note(vm, planned)
        self.unplanned_open -= not planned

    def note(self, vm, planned):
        self.disrupted_at[vm] = time.monotonic()
        if not planned:
            self.unplanned_at = time.monotonic()

    def in_touch(self, vm, since):
        """Whether `vm` and the store ran undisrupted from before `since` on,
        by the time in which contact has to be regained."""
        return all(self.open[one] == 0 and
                   self.disrupted_at[one] < since - CONTACT_S
                   for one in (vm, "store"))

    def calm(self, since):
        """Whether nothing unplanned happened anywhere."""
        return (self.unplanned_open == 0 and
                self.unplanned_at < since - CONTACT_S)

    # Backend servers ---------------------------------------------------------

    def on_run(self, backend, message):
        attempt = message.fields.get(ATTEMPT, "")
        sent = self.sent.get(attempt)
        if sent is None:
            self.break_promise("UNASKED", f"{attempt} was never sent")
            return
        self.runs[attempt] += 1
        if (message.method, message.target, message.body) != (
                sent.method, sent.target, sent.body):
            self.break_promise("UNASKED", f"{attempt} was changed")
        if message.fields.get("pomelohall-caller-service") != sent.service:
            self.break_promise("UNASKED", f"{attempt} has another caller")
        if backend.service != sent.destination:
            self.break_promise("ROUTE", f"{attempt} ran at {backend.service}")
        if sent.kind == "unsafe" and self.runs[attempt] > 1:
            self.break_promise("TWICE", f"{attempt} ran again")
        if attempt in self.refused:
            self.break_promise("REFUSED", f"{attempt} ran after a refusal")
        if backend.drained_at and self.in_touch(sent.vm, backend.drained_at):
            self.applied["DRAIN"] += 1
            late = time.monotonic() - backend.drained_at
            if late > DRAIN_S + SLACK_S:
                self.break_promise(
                    "DRAIN", f"{attempt} came {late:.1f} s after the answer")

    # Callers -----------------------------------------------------------------

    def on_answer(self, sent, answer):
        """Takes an answer; None if the connection ended without a whole
        one."""
        now = time.monotonic()
        status = answer.status if answer else 0
        self.answers[status] += 1
        self.answered_at.append((now, status == 200))
        planned = sent.stopping and self.calm(sent.at)
        self.applied["LOST"] += planned
        if answer is None:
            if planned:
                self.break_promise(
                    "LOST", f"{sent.attempt} at a daemon that was stopped")
            return
        if answer.fields.get(ATTEMPT, sent.attempt) != sent.attempt:
            self.break_promise("MIXED", f"{sent.attempt} got another's answer")
        if status == 200:
            expected = body_of(sent.attempt, sent.target, sent.size)
            if answer.body != expected or answer.fields.get(
                    "pomelohall-response-signature") != "s-" + sent.attempt:
                self.break_promise("MIXED", f"{sent.attempt} got other bytes")
        if status in NOT_RUN and sent.kind == "unsafe":
            self.refused[sent.attempt] = status
            if self.runs[sent.attempt]:
                self.break_promise(
                    "REFUSED", f"{sent.attempt} got {status} and has run")
        took = now - sent.at
        if took > sent.timeout_s + 3 * SLACK_S and self.in_touch(
                sent.vm, sent.at):
            self.break_promise("CONFIG", f"{sent.attempt} took {took:.1f} s")

    def on_probe(self, vm, route_added_at, sent_at, status):
        """Takes the answer to a request on a route that was just added."""
        if not self.in_touch(vm, route_added_at):
            return
        self.applied["CONFIG"] += 1
        if status == 404 and sent_at > route_added_at + APPLY_S + SLACK_S:
            self.break_promise("CONFIG", f"{vm} does not know a route after "
                               f"{sent_at - route_added_at:.1f} s")

    def share_served(self, since):
        recent = [served for at, served in self.answered_at if at > since]
        return sum(recent) / len(recent) if recent else 0.0
