"""Tests of the soak's own checks.

They guard against a soak that passes because its check excuses too much.
"""

import asyncio
import signal
import time
import unittest
from unittest import mock

from callers import SentRequest
from checks import (APPLY_S, CONTACT_S, MAX_REFUSED_PROBES, SLACK_S,
                    STOP_GRACE_S, Checks)
from messages import Message, encode_response, read_message

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
            "a1", "vm-0", "shop", "shop", **{
                "kind": "unsafe", "method": "POST", "target": "/order-long/1",
                "body": b"", "response_size": 100,
                "timeout_s": 9.0, "deadline_s": 9.0,
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

    def test_reports_404_for_a_proper_request(self):
        self.assertEqual(self.end(-9.0, -8.9, self.own_answer(404),
                                  "complete"), ["DENIED"])


class AnswerDuringStopTest(EndOfRequestTest):
    """With the stricter checks, of which all others hold as well."""

    def setUp(self):
        super().setUp()
        self.checks.checks_answers = True

    def answer(self, status, sent_at=1.0, executed_until=1.5, **fields):
        return self.end(sent_at, 5.45, self.own_answer(status), "complete",
                        executed_until=executed_until, kind="download",
                        method="GET", **fields)

    def test_excuses_a_server_that_works_in_the_last_sixth_of_the_grace(self):
        """A request that came in time then needs a complete answer."""
        for sent_at, expected in ((2.9, []), (1.9, ["LOST"])):
            self.checks.violations = []
            self.assertEqual(self.end(sent_at, 5.6, executed_until=5.1),
                             expected)

    def test_excuses_only_the_margin_before_the_deadline(self):
        for deadline_s, expected in ((4.61, []), (4.63, ["LOST"])):
            self.setUp()
            self.assertEqual(self.end(1.0, 5.6, executed_until=1.1,
                                      deadline_s=deadline_s), expected)

    def test_reports_answers_that_hide_that_a_request_ran(self):
        for status, sent_at, executed_until, expected in (
                (502, 1.0, 1.5, ["ANSWER"]), (503, 1.0, 1.5, ["ANSWER"]),
                (502, 1.0, 5.1, []), (503, 1.0, 5.1, ["ANSWER"]),
                (502, 2.1, 2.5, []), (503, 1.0, None, []), (504, 1.0, 1.5, []),
                (200, 1.0, 1.5, ["MIXED"])):
            self.setUp()
            self.assertEqual(
                self.answer(status, sent_at, executed_until), expected,
                (status, sent_at, executed_until))

    def test_counts_504_in_place_of_an_answer_that_was_ready(self):
        for strict, executed_until, count, expected in (
                (False, 4.5, 1, []), (True, 4.5, 1, ["ANSWER"]),
                (True, 4.7, 0, [])):
            self.setUp()
            self.checks.strict_answers = strict
            self.assertEqual(self.answer(504, 1.0, executed_until), expected)
            self.assertEqual(self.checks.lost_late, count)

    def test_tells_apart_callers_that_read_too_slowly(self):
        """4.1 s remain after the run, in which 410 kB can be taken."""
        def ahead(taken, answered_at=0.0):
            return SentRequest(
                "a0", "vm-0", "shop", "files", "download", "GET", "/file/0",
                b"", 900_000, 9.0, 9.0, STOPPED_AT, bytes_per_s=100_000,
                taken_bytes=taken, answered_at=answered_at)
        self.assertEqual(self.end(
            1.0, 5.6, executed_until=1.5), ["LOST"])  # Not a slow one.
        for size, taken, after, until, expected in (
                (900_000, 400_000, None, 1.5, []),
                (900_000, 300_000, None, 1.5, ["LOST"]),
                (300_000, 290_000, None, 1.5, ["LOST"]),
                (900_000, 0, None, 5.59, ["LOST"]),  # Nothing was sent.
                (100, 0, ahead(400_000), 1.5, []),
                (100, 0, ahead(100_000), 1.5, ["LOST"]),
                (100, 0, ahead(900_000, STOPPED_AT + 5.0), 1.5, ["LOST"])):
            self.setUp()
            self.checks.execution_ends["a0"] = STOPPED_AT + 1.5
            self.assertEqual(self.end(
                1.0, 5.6, executed_until=until, response_size=size,
                taken_bytes=taken, bytes_per_s=100_000, after=after,
                behind=after is not None), expected, (size, taken, after))


class CutMessageTest(unittest.TestCase):

    def test_tells_a_cut_chunked_body_from_a_malformed_one(self):
        """A cut one is a lost answer; what was taken before counts."""
        whole = encode_response(200, b"x" * 40_000, framing="chunked")

        async def read(data, on_piece):
            reader = asyncio.StreamReader()
            reader.feed_data(data)
            reader.feed_eof()
            return await read_message(reader, on_piece=on_piece)
        response = asyncio.run(read(whole, lambda size: None))
        self.assertEqual(response.body, b"x" * 40_000)
        for end in range(len(whole) - 30_000, len(whole), 499):
            pieces = []
            with self.assertRaises(asyncio.IncompleteReadError):
                asyncio.run(read(whole[:end], pieces.append))
            self.assertAlmostEqual(sum(pieces), end, delta=100)


class FleetTest(unittest.TestCase):

    ACKNOWLEDGED_AT = 1000.0
    DUE_S = APPLY_S + SLACK_S

    def setUp(self):
        self.checks = Checks()
        self.checks.report_violation = (
            lambda check, detail: self.checks.violations.append(check))
        self.at(0, self.checks.on_config_acknowledged, ["/a/"])

    def at(self, after_s, function, *args):
        """Calls a function at a time relative to the first ack."""
        with mock.patch.object(time, "monotonic",
                               return_value=self.ACKNOWLEDGED_AT + after_s):
            function(*args)
        return self.checks.violations

    def probe(self, after_s, status, first_status=200, lifetime=1,
              started_after_s=-500.0):
        return self.at(after_s, self.checks.on_probe, "vm-0", lifetime,
                       self.ACKNOWLEDGED_AT + started_after_s, "/a/",
                       self.ACKNOWLEDGED_AT + after_s, status, first_status)

    def test_reports_a_route_that_is_unknown_after_the_bound(self):
        self.assertEqual(self.probe(self.DUE_S + 0.1, 404), ["CONFIG"])

    def test_excuses_a_route_that_is_unknown_before_the_bound(self):
        self.assertEqual(self.probe(self.DUE_S - 0.1, 404), [])

    def test_excuses_a_daemon_that_is_out_of_touch(self):
        self.at(self.DUE_S, self.checks.record_disruption_time, "vm-0", False)
        self.assertEqual(self.probe(self.DUE_S + CONTACT_S - 0.1, 404), [])
        self.assertEqual(self.probe(self.DUE_S + CONTACT_S + 0.1, 404),
                         ["CONFIG"])

    def test_reports_a_late_starter_even_out_of_touch(self):
        self.at(10, self.checks.begin_disruption, "vm-0")
        self.assertEqual(self.probe(11, 404, started_after_s=10), ["CONFIG"])

    def test_excuses_a_late_starter_that_refuses(self):
        self.at(10, self.checks.begin_disruption, "vm-0")
        for second in range(2 * MAX_REFUSED_PROBES):
            self.probe(11 + second, 503, started_after_s=10)
        self.assertEqual(self.checks.violations, [])

    def test_reports_an_added_route_that_alone_is_refused(self):
        for second in range(MAX_REFUSED_PROBES):
            self.probe(10 + second, 503)
        self.assertEqual(self.checks.violations, ["CONFIG"])

    def test_excuses_a_daemon_that_refuses_all_routes(self):
        for second in range(2 * MAX_REFUSED_PROBES):
            self.probe(10 + second, 503, first_status=503)
        self.assertEqual(self.checks.violations, [])

    def test_excuses_a_version_that_the_store_lost_until_written_again(self):
        self.at(10, self.checks.on_config_restored, set())
        self.assertEqual(self.probe(11, 404), [])
        self.at(12, self.checks.on_config_acknowledged, ["/a/"])
        self.assertEqual(self.probe(12 + self.DUE_S - 0.1, 404), [])
        self.assertEqual(self.probe(12 + self.DUE_S + 0.1, 404), ["CONFIG"])

    def test_keeps_the_bound_of_a_version_that_the_copy_has(self):
        self.at(10, self.checks.on_config_restored, {"/a/"})
        self.assertEqual(self.probe(11, 404), ["CONFIG"])

    def test_reports_a_process_that_goes_back_to_an_older_version(self):
        self.probe(1, 200)
        self.at(2, self.checks.on_config_restored, set())
        self.assertEqual(self.probe(2.1, 404), ["BACK"])

    def test_excuses_a_process_that_starts_anew(self):
        self.probe(1, 200)
        self.assertEqual(self.probe(2, 404, lifetime=2, started_after_s=1.5),
                         [])

    def test_excuses_a_route_that_was_removed(self):
        self.probe(1, 200)
        self.at(10, self.checks.on_config_acknowledged, ["/b/"])
        self.assertEqual(self.probe(20, 404), [])

    def test_reports_404_for_a_route_of_all_versions(self):
        self.assertEqual(self.probe(1, 200, first_status=404), ["DENIED"])

    def test_reports_an_exit_that_the_soak_did_not_cause(self):
        for code, sent in ((0, None), (-signal.SIGSEGV, None),
                           (-signal.SIGSEGV, signal.SIGTERM),
                           (1, signal.SIGTERM), (0, signal.SIGKILL)):
            self.checks.on_exit("vm-0", code, sent)
        self.assertEqual(self.checks.violations, 5 * ["END"])

    def test_excuses_an_exit_that_the_soak_caused(self):
        self.checks.on_exit("vm-0", 0, signal.SIGTERM)
        self.checks.on_exit("vm-0", -signal.SIGKILL, signal.SIGKILL)
        self.assertEqual(self.checks.violations, [])

    def check_server(self, after_s, is_ready=True, has_record=True):
        return self.at(after_s, self.checks.check_server, "vm-0", 8.0,
                       is_ready, has_record)

    def test_reports_a_correct_request_that_stays_refused_after_crashes(self):
        self.checks.on_series_end("vm-0", "/safe/a", time.monotonic(),
                                  served=False, control_served=True)
        self.assertEqual(len(self.checks.violations), 1)

    def test_excuses_a_request_that_is_refused_like_all_others(self):
        self.checks.on_series_end("vm-0", "/safe/a", time.monotonic(),
                                  served=False, control_served=False)
        self.checks.begin_disruption("vm-0")
        self.checks.on_series_end("vm-0", "/safe/a", time.monotonic(),
                                  served=False, control_served=True)
        self.assertEqual(self.checks.violations, [])

    def test_known_checks_do_not_hide_other_violations(self):
        self.checks.report_violation("IDLE", "vm-0")
        self.assertTrue(self.checks.has_unknown([]))
        self.assertFalse(self.checks.has_unknown(["IDLE"]))
        self.checks.report_violation("LOST", "a request")
        self.assertTrue(self.checks.has_unknown(["IDLE"]))

    def test_reports_a_server_without_requests(self):
        self.check_server(0)
        self.assertEqual(self.check_server(8.1), ["IDLE"])

    def test_excuses_a_server_that_is_not_ready(self):
        self.check_server(0)
        self.check_server(8, is_ready=False, has_record=False)
        self.assertEqual(self.check_server(8.1), [])

    def test_reports_a_record_that_is_missing_beyond_the_bound(self):
        self.check_server(0)
        self.assertEqual(self.check_server(self.DUE_S + 0.1, has_record=False),
                         ["MEMBER"])

    def test_excuses_a_record_that_is_written_again_in_time(self):
        self.check_server(0)
        self.check_server(self.DUE_S - 0.1, has_record=False)
        self.check_server(self.DUE_S)
        self.assertEqual(
            self.check_server(2 * self.DUE_S - 0.1, has_record=False), [])


if __name__ == "__main__":
    unittest.main()
