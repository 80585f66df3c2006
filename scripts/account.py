#!/usr/bin/env python3
"""Shows where requests are lost: reads the logs of gateways and rank agents and counts request events per second.

usage: account.py [--from SECOND] [--to SECOND] [LOG...]      (standard input without LOG)

Reads all lines that contain an event ("E503 id=...") after a timestamp. Text before the timestamp, such as the prefix of a
log collector, is ignored. Seconds count from the first line. Each column counts requests by the second of the event:

  new, back   sent to a server for the first time: new callers, and callers that return after a refusal
  answered    completed with an answer, or with all events of a stream
  again       sent to another server
  proven      attempts that the server proved not to have run; broke: other failed attempts
  down, stand, full, none   refused: group broken, group stalled, no slot in time, no server accepted it; returning callers
              in parentheses
  5xx         answered with 502 or 504, which do not guarantee that the request has not run
  cut, left   interrupted streams; requests that callers abandoned

The lines below the table show changes of the group states that gateways assume, and changes of maps.
"""
import collections
import datetime
import re
import sys

LINE = re.compile(r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+) [IWE] E(\d+) (.*)")
REFUSALS = {"group_down": "down", "group_standing": "stand", "overloaded": "full"}
COLUMNS = ["new", "back", "again", "answered", "proven", "broke", "down", "stand", "full", "none", "5xx", "cut", "left"]
REFUSED_COLUMNS = {"down", "stand", "full", "none"}


def field(details, name):
    found = re.search(rf'\b{name}=("[^"]*"|\S+)', details)
    return found.group(1).strip('"') if found else ""


def column_of(event, details):
    if event == 503:
        return "back" if field(details, "returning") == "yes" else "new"
    if event == 506:
        return "again"
    if event == 507:
        return "left"
    if event == 504:
        return "answered"
    if event == 505:
        if field(details, "outcome") == "cut":
            return "cut"
        return "proven" if field(details, "not_run") == "yes" else "broke"
    if event == 502 and field(details, "status") in ("502", "504"):
        return "5xx"
    if event == 502 and field(details, "status") == "503":
        why = field(details, "why").removeprefix("not run: ")
        return REFUSALS.get(why, "none")
    return None


def read(streams):
    start = None
    for stream in streams:
        for line in stream:
            found = LINE.search(line)
            if not found:
                continue
            at = datetime.datetime.fromisoformat(found.group(1))
            start = start or at
            yield (at - start).total_seconds(), int(found.group(2)), found.group(3), line.split()


def main():
    args = sys.argv[1:]
    limits = {"--from": 0.0, "--to": float("inf")}
    while args and args[0] in limits:
        if len(args) < 2:
            sys.exit(__doc__)
        limits[args[0]] = float(args[1])
        args = args[2:]
    if args and args[0].startswith("-"):
        sys.exit(__doc__)
    table = collections.defaultdict(collections.Counter)
    returning = collections.defaultdict(collections.Counter)
    changes = []
    for second, event, details, _ in read([open(name, encoding="utf-8", errors="replace") for name in args] or [sys.stdin]):
        if not limits["--from"] <= second < limits["--to"]:
            continue
        column = column_of(event, details)
        if column:
            table[int(second)][column] += 1
            if column in REFUSED_COLUMNS and field(details, "returning") == "yes":
                returning[int(second)][column] += 1
        elif event in (304, 700, 701, 702, 703, 704, 705):
            changes.append((second, event, details))
    print("second " + " ".join(f"{name:>9}" for name in COLUMNS))
    for second in sorted(table):
        cells = []
        for name in COLUMNS:
            count, back = table[second][name], returning[second][name]
            cells.append(f"{count} ({back})" if back else str(count))
        print(f"{second:6} " + " ".join(f"{cell:>9}" for cell in cells))
    for second, event, details in sorted(changes):
        print(f"{second:8.2f} E{event} {details[:150]}")


main()
