"""Tests of the soak's own check of requests around a planned stop.

They guard against a soak that passes because its check excuses too much.
"""

import time
import unittest
from unittest import mock

from callers import SentRequest
from checks import STOP_GRACE_S, Checks
from messages import Message

STOPPED_AT = 1000.0


class EndOfRequestTest(unittest.TestCase):

    def setUp(self):
        self.checks = Checks()
        self.checks.stops["vm-0"].append(STOPPED_AT)
        self.checks.report_violation = (
            lambda check, detail: self.checks.violations.append(check))

    def end(self, sent_at, ended_at, response=None, ending="closed",
            executed_until=None, **fields):
        """Ends a request; both times are relative to the SIGTERM.

        `executed_until`: 0 if the server still runs the request. Returns the
        names of the violated checks.
        """
        sent = SentRequest(
            "a1", "vm-0", "shop", "shop", "unsafe", "POST", "/order-long/1",
            b"", 100, **{"timeout_s": 9.0, "deadline_s": 9.0,
                         "sent_at": STOPPED_AT + sent_at,
                         "whole_at": STOPPED_AT + sent_at, **fields})
        if executed_until is not None:
            self.checks.executions["a1"] = 1
            if executed_until:
                self.checks.execution_ends["a1"] = STOPPED_AT + executed_until
            else:
                self.checks.running["a1"] = 1
        with mock.patch.object(time, "monotonic",
                               return_value=STOPPED_AT + ended_at):
            self.checks.on_response(sent, response, ending)
        return self.checks.violations

    def own_answer(self, status):
        return Message(f"HTTP/1.1 {status} -", {})

    def test_reports_a_request_that_ran_and_got_no_answer(self):
        self.assertEqual(self.end(1.0, 5.6, executed_until=1.1), ["LOST"])

    def test_reports_a_request_that_was_sent_before_the_stop(self):
        self.assertEqual(self.end(-1.0, 5.6, executed_until=0.1), ["LOST"])

    def test_reports_a_request_that_was_read_and_never_passed_on(self):
        self.assertEqual(self.end(1.0, 5.6), ["LOST"])

    def test_reports_an_own_answer_while_the_server_works(self):
        self.assertEqual(self.end(1.0, 3.0, self.own_answer(502), "complete",
                                  executed_until=0), ["LOST"])

    def test_reports_a_late_request_whose_server_works_beyond_the_grace(self):
        self.assertEqual(self.end(3.1, 5.6, executed_until=0), ["LOST"])

    def test_reports_a_connection_that_stays_open_without_an_answer(self):
        self.assertIn("LOST", self.end(1.0, 14.0, ending="gave up"))

    def test_reports_a_refusal_of_an_unsafe_request_that_ran(self):
        self.assertEqual(self.end(1.0, 2.0, self.own_answer(503), "complete",
                                  executed_until=1.5), ["REFUSED"])

    def test_excuses_a_server_that_works_in_the_last_sixth_of_the_grace(self):
        self.assertEqual(
            self.end(2.9, 5.6, executed_until=STOP_GRACE_S * 5 / 6 + 0.1), [])

    def test_excuses_a_request_whose_deadline_was_reached(self):
        self.assertEqual(self.end(1.0, 3.6, executed_until=1.1,
                                  deadline_s=2.5), [])

    def test_excuses_a_request_that_crosses_the_close(self):
        self.assertEqual(self.end(1.0, 1.1), [])

    def test_excuses_a_request_behind_another_that_was_not_passed_on(self):
        self.assertEqual(self.end(1.0, 5.6, behind=True), [])

    def test_reports_a_request_behind_another_that_was_passed_on(self):
        self.assertEqual(
            self.end(1.0, 5.6, executed_until=1.1, behind=True), ["LOST"])

    def test_excuses_unplanned_disruptions(self):
        self.checks.last_unplanned_at = STOPPED_AT - 1
        self.assertEqual(self.end(1.0, 5.6, executed_until=1.1), [])


if __name__ == "__main__":
    unittest.main()
