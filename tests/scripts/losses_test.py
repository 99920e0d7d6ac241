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


if __name__ == "__main__":
    unittest.main()
