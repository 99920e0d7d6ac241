#!/usr/bin/env python3
"""Tabulates lost and late requests by route and cause, from the logs of gateways.

  scripts/losses.py LOG... [--gap-ms 180] [--first-ms 1800] [--by-time SECONDS]

Reads files, or standard input for "-". The JSON of a line may follow other text; a decimal number at the start of the line is its time in
seconds. Each row has the route, the cause, the number of requests, and the id of one of them for `cottonspool explain`.
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


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--gap-ms", type=float, default=180, help="longest gap between events that counts as in time")
    parser.add_argument("--first-ms", type=float, default=1800, help="longest time to the first event that counts as in time")
    parser.add_argument("--by-time", type=int, default=0, help="length in seconds of the time spans to tabulate by")
    args = parser.parse_args()
    lines = []
    for name in args.logs:
        with sys.stdin if name == "-" else open(name, errors="replace") as log:
            lines += log.readlines()
    requests, draining = collect(lines)
    print("| route | from second | cause | requests | one of them |\n| --- | --- | --- | --- | --- |")
    for row in tabulate(requests, draining, args.gap_ms, args.first_ms, args.by_time):
        print("| " + " | ".join(str(cell) for cell in row) + " |")


if __name__ == "__main__":
    main()
