#!/usr/bin/env python3
"""Tabulates lost and late requests by route and cause, from the logs of gateways.

  scripts/losses.py LOG... [--gap-ms 180] [--first-ms 1800] [--by-time SECONDS]
  scripts/losses.py LOG... --by account,kind,hall,speed [--gap-ms 180] [--first-ms 1800] [--answer-ms 100]

Reads files, or standard input for "-". The JSON of a line may follow other text; a decimal number at the start of the line is its time in
seconds. Each row has the route, the cause, the number of requests, and the id of one of them for `cottonspool explain`.

With --by, the table shows who waits, who is rejected and who pays: for each client account, kind (route), hall of the last target, and stated
speed of that target (its time factor, rounded to tenths; 1 is usual), the requests served in time, late, rejected (not executed) and failed. Lost
runs, unanswered requests and disconnected callers count as failed. The wait is the time until the first send, or until the rejection.
"""
import argparse
import collections
import json
import re
import sys


def parse_line(line):
    """Returns the time in seconds (None if the line has none) and the event, or None for a line without an event."""
    start = line.find('{"at_ms"')
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    seconds = re.match(r"\s*(\d+\.\d+)\s", line)
    return (float(seconds.group(1)) if seconds else None), event


def collect(lines):
    """Returns the events by request, and the targets with a drain notice."""
    requests = collections.defaultdict(list)
    draining = set()
    for line in lines:
        parsed = parse_line(line)
        if parsed is None:
            continue
        time, event = parsed
        if event["event"] == "target-leaving":
            draining.add(event["target"])
        if "request" in event:
            requests[event["request"]].append((time, event))
    return requests, draining


def lost_run_cause(events, lost, draining):
    moves = [event for event in events if event["event"] == "move"]
    phase = "after its first event" if int(lost["events"]) > 0 else "before its first event"
    if lost["target"] in draining:
        step = f"{moves[-1]['step']} {moves[-1]['result']}" if moves else "no migration started"
        return f"draining engine lost {phase}: {step}"
    return f"engine lost without notice {phase}"


def late_cause(streamed, gap_ms, first_ms):
    if float(streamed.get("first_ms", 0)) > first_ms:
        return "late: first event"
    gap = float(streamed["longest_gap_ms"])
    if gap <= gap_ms:
        return None
    if gap > 5 * gap_ms:
        return "late: stalled"
    return "late: pause of a migration" if int(streamed["moves"]) > 0 else "late: pause without a migration"


def cause_of(events, draining, gap_ms, first_ms):
    """Returns why a request was lost or late, or None if it was served in time or rejected."""
    by_name = {event["event"]: event for event in events}
    finished = by_name.get("finished")
    if finished is None:
        return None if "refused" in by_name else "its instance ended"
    if "run-lost" in by_name:
        return lost_run_cause(events, by_name["run-lost"], draining)
    if "streamed" in by_name:
        return late_cause(by_name["streamed"], gap_ms, first_ms)
    status = int(finished["status"])
    if finished["outcome"] == "answered":
        return f"the target's own {status}" if status >= 500 else None
    return f"{finished['outcome']} {status}" if status else finished["outcome"]


def tabulate(requests, draining, gap_ms, first_ms, by_time):
    """Returns rows of route, start of the time span, cause, count and one request."""
    rows = collections.OrderedDict()
    for request, timed in requests.items():
        events = [event for _, event in timed]
        received = next(((time, event) for time, event in timed if event["event"] == "received"), None)
        cause = cause_of(events, draining, gap_ms, first_ms) if received else None
        if cause is None:
            continue
        time, event = received
        span_start = int(time // by_time) * by_time if by_time and time is not None else ""
        row = rows.setdefault((event["route"], span_start, cause), [0, request])
        row[0] += 1
    return sorted(((*key, *row) for key, row in rows.items()), key=lambda row: (row[0], str(row[1]).zfill(6), -row[3]))


KEYS = ("account", "kind", "hall", "speed")
OUTCOMES = ("in time", "late", "rejected", "failed")


def first_event(events, name):
    return next((event for event in events if event["event"] == name), None)


def outcome_of(events, draining, gap_ms, first_ms, answer_ms):
    """Returns the outcome of a request. answer_ms: time within which an answer that is not a stream is in time; 0 for any time."""
    finished = first_event(events, "finished")
    if finished is None:
        return "rejected" if first_event(events, "refused") else "failed"
    if finished.get("ran") == "no" and finished["status"] in ("429", "503"):
        return "rejected"
    cause = cause_of(events, draining, gap_ms, first_ms)
    if cause is not None:
        return "late" if cause.startswith("late") else "failed"
    plain = first_event(events, "streamed") is None
    return "late" if plain and answer_ms and float(finished["ms"]) > answer_ms else "in time"


def speed_of(sent):
    """Returns the time factor in tenths, or "unknown" if the target states none."""
    try:
        return f"{float(sent['factor']):.1f}"
    except (KeyError, ValueError):
        return "unknown"


def properties_of(events):
    """Returns the values of KEYS of a request. Those of its target are those of the last send, as it is the one that answered or failed."""
    received = first_event(events, "received") or {}
    sent = next((event for event in reversed(events) if event["event"] == "sent"), None)
    return {
        "account": received.get("account") or "unknown",
        "kind": received.get("route", "unknown"),
        "hall": sent["hall"] if sent else "not sent",
        "speed": speed_of(sent) if sent else "not sent",
    }


def wait_ms_of(events):
    """Returns how long a request waited before its first send, or until its rejection; None if the logs do not tell."""
    sent = first_event(events, "sent")
    if sent is not None:
        return float(sent["waited_ms"])
    finished = first_event(events, "finished")
    return float(finished["ms"]) if finished else None


def tabulate_by(requests, draining, keys, gap_ms, first_ms, answer_ms=0):
    """Returns rows of the values of keys, the number of requests with each of OUTCOMES, and the mean wait in milliseconds (None if unknown)."""
    groups = {}
    for timed in requests.values():
        events = [event for _, event in timed]
        if first_event(events, "received") is None and first_event(events, "refused") is None:
            continue
        properties = properties_of(events)
        counts, waits = groups.setdefault(tuple(properties[key] for key in keys), (collections.Counter(), []))
        counts[outcome_of(events, draining, gap_ms, first_ms, answer_ms)] += 1
        wait = wait_ms_of(events)
        if wait is not None:
            waits.append(wait)
    return [(*group, *(counts[outcome] for outcome in OUTCOMES), sum(waits) / len(waits) if waits else None)
            for group, (counts, waits) in sorted(groups.items())]


def parse_keys(text):
    keys = text.split(",")
    for key in keys:
        if key not in KEYS:
            raise argparse.ArgumentTypeError(f"'{key}' is none of {', '.join(KEYS)}")
    return keys


def print_table(head, rows):
    print("| " + " | ".join(head) + " |\n|" + " --- |" * len(head))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--gap-ms", type=float, default=180, help="longest gap between events that counts as in time")
    parser.add_argument("--first-ms", type=float, default=1800, help="longest time to the first event that counts as in time")
    parser.add_argument("--by-time", type=int, default=0, help="length in seconds of the time spans to tabulate by")
    parser.add_argument("--by", type=parse_keys, metavar="KEY,...", help="tabulate all requests by " + ", ".join(KEYS))
    parser.add_argument("--answer-ms", type=float, default=0,
                        help="with --by: longest time to an answer that is no stream that counts as in time; 0 for any time")
    args = parser.parse_args()
    lines = []
    for name in args.logs:
        with sys.stdin if name == "-" else open(name, errors="replace") as log:
            lines += log.readlines()
    requests, draining = collect(lines)
    if args.by:
        rows = tabulate_by(requests, draining, args.by, args.gap_ms, args.first_ms, args.answer_ms)
        shown = [(*row[:-1], "" if row[-1] is None else f"{row[-1]:.1f}") for row in rows]
        return print_table([*args.by, *OUTCOMES, "mean wait, ms"], shown)
    print_table(["route", "from second", "cause", "requests", "one of them"],
                tabulate(requests, draining, args.gap_ms, args.first_ms, args.by_time))


if __name__ == "__main__":
    main()
