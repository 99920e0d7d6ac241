"""Tests the table of scripts/losses.py on log lines as gateways write them."""
import importlib.util
import json
import unittest
from pathlib import Path

PATH = Path(__file__).resolve().parent.parent.parent / "scripts/losses.py"
SPEC = importlib.util.spec_from_file_location("losses", PATH)
losses = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(losses)


def line(seconds, event, request=None, **fields):
    content = {"at_ms": 1, "event": event, **fields}
    if request:
        content["request"] = request
    return f"  {seconds:.4f} some-host {json.dumps(content, separators=(',', ':'))}\n"


def table(lines, by_time=0):
    requests, draining = losses.collect(lines)
    return losses.tabulate(requests, draining, 180, 1800, by_time)


class Losses(unittest.TestCase):
    def test_served_in_time_is_not_listed(self):
        self.assertEqual(table([
            line(1, "received", "a", route="r"),
            line(2, "streamed", "a", first_ms="400", longest_gap_ms="60", moves="1"),
            line(2, "finished", "a", outcome="answered", status="200"),
        ]), [])

    def test_late_streams_are_distinguished(self):
        def stream(name, first, gap, moves):
            return [line(1, "received", name, route="r"),
                    line(2, "streamed", name, first_ms=first, longest_gap_ms=gap, moves=moves),
                    line(2, "finished", name, outcome="answered", status="200")]
        rows = table(stream("a", "2000", "60", "0") + stream("b", "300", "200", "1") + stream("c", "300", "200", "0")
                     + stream("d", "300", "6000", "0"))
        self.assertEqual({row[2]: row[4] for row in rows}, {
            "late: first event": "a", "late: pause of a migration": "b", "late: pause without a migration": "c", "late: stalled": "d"})

    def test_lost_runs_show_drain_notice_and_last_migration(self):
        lost = [line(1, "received", "a", route="r"), line(2, "run-lost", "a", target="e1", events="5", cause="closed"),
                line(2, "finished", "a", outcome="run-lost", status="0")]
        self.assertEqual(table(lost)[0][2], "engine lost without notice after its first event")
        notice = [line(1.5, "target-leaving", target="e1"),
                  line(1.6, "move", "a", step="failed", result="no-answer")]
        self.assertEqual(table(lost[:1] + notice + lost[1:])[0][2], "draining engine lost after its first event: failed no-answer")

    def test_requests_without_finished_line_are_attributed_to_their_instance(self):
        rows = table([line(12, "received", "a", route="r"), line(13, "received", "b", route="r")], by_time=5)
        self.assertEqual(rows, [("r", 10, "its instance ended", 2, "a")])

    def test_refusals_and_failures_of_targets(self):
        rows = table([line(1, "received", "a", route="r"), line(2, "finished", "a", outcome="no-target", status="503"),
                      line(1, "received", "b", route="r"), line(2, "finished", "b", outcome="answered", status="500")])
        self.assertEqual([row[2] for row in rows], ["no-target 503", "the target's own 500"])

    def test_lines_without_request_are_ignored(self):
        self.assertEqual(table(["plain text\n", '{"at_ms" broken\n', line(1, "store-lost", table="targets")]), [])


class LossesBy(unittest.TestCase):
    """Guards against a table that hides who waits, who is rejected and who pays."""

    ALL = ["account", "kind", "hall", "speed"]

    @staticmethod
    def table(lines, keys, answer_ms=0):
        requests, draining = losses.collect(lines)
        return losses.tabulate_by(requests, draining, keys, 180, 1800, answer_ms)

    @staticmethod
    def stream(name, account, factor, gap="60", waited="10"):
        sent = {"target": "e1", "hall": "h1", "waited_ms": waited}
        if factor:
            sent["factor"] = factor
        return [line(1, "received", name, route="long", account=account), line(1, "sent", name, **sent),
                line(2, "streamed", name, first_ms="400", longest_gap_ms=gap, moves="0"),
                line(2, "finished", name, outcome="answered", status="200", ran="maybe", ms="900")]

    def test_requests_are_divided_by_all_keys(self):
        lines = (self.stream("a", "acme", "0.55", waited="10") + self.stream("b", "acme", "0.551", gap="200", waited="30")
                 + self.stream("c", "acme", "1.20") + self.stream("d", "other", None))
        self.assertEqual(self.table(lines, self.ALL), [
            ("acme", "long", "h1", "0.6", 1, 1, 0, 0, 20),
            ("acme", "long", "h1", "1.2", 1, 0, 0, 0, 10),
            ("other", "long", "h1", "unknown", 1, 0, 0, 0, 10)])
        self.assertEqual(self.table(lines, ["speed", "account"])[0][:2], ("0.6", "acme"))

    def test_rejected_and_failed_are_distinguished(self):
        def ended(name, outcome, status, ran, *more):
            return [line(1, "received", name, route="once", account="acme"), *more,
                    line(2, "finished", name, outcome=outcome, status=status, ran=ran, ms="50")]
        sent = line(1, "sent", "c", hall="h2", waited_ms="4", factor="")
        lines = (ended("a", "wait-too-long", "503", "no") + ended("b", "account-share", "503", "no")
                 + ended("c", "answer-lost", "502", "maybe", sent)
                 + [line(1, "received", "d", route="once", account="acme")])
        self.assertEqual(self.table(lines, self.ALL), [
            ("acme", "once", "h2", "unknown", 0, 0, 0, 1, 4),
            ("acme", "once", "not sent", "not sent", 0, 0, 2, 1, 50)])

    def test_a_target_that_says_503_after_it_may_have_run_is_a_failure(self):
        lines = [line(1, "received", "a", route="once", account="acme"), line(1, "sent", "a", hall="h1", waited_ms="0"),
                 line(2, "finished", "a", outcome="answered", status="503", ran="maybe", ms="50")]
        self.assertEqual(self.table(lines, ["account"]), [("acme", 0, 0, 0, 1, 0)])

    def test_the_last_target_counts_and_the_first_wait(self):
        lines = [line(1, "received", "a", route="r", account="acme"), line(1, "sent", "a", hall="h1", waited_ms="5", factor="1.2"),
                 line(1, "sent", "a", hall="h2", waited_ms="90", factor="0.5"),
                 line(2, "finished", "a", outcome="answered", status="200", ran="maybe", ms="120")]
        self.assertEqual(self.table(lines, self.ALL), [("acme", "r", "h2", "0.5", 1, 0, 0, 0, 5)])
        self.assertEqual(self.table(lines, ["kind"], answer_ms=100), [("r", 0, 1, 0, 0, 5)])

    def test_requests_refused_before_they_were_read_are_not_dropped(self):
        self.assertEqual(self.table([line(1, "refused", "a", status="503", reason="held-memory")], ["account", "kind"]),
                         [("unknown", "unknown", 0, 0, 1, 0, None)])

    def test_unknown_keys_are_an_error(self):
        with self.assertRaises(losses.argparse.ArgumentTypeError):
            losses.parse_keys("account,colour")


if __name__ == "__main__":
    unittest.main()
