"""Single minions crash, one each second, while jobs of work units that last are accepted. They are
never cancelled, and none of their work units ends `failed`."""
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import case  # noqa: E402

SERVICE = "arajanlat"
PREFIX = "/archive/"
JOBS = [f"{n:016x}" for n in range(1, 5)]
MACHINES = 7
CRASHES = 85
GAP_S = 1.0
DOWN_S = 0.3
STARTUP_MS = 900
MAX_UNAVAILABLE = 1
BODY = {"spec": json.dumps({"work_ms": STARTUP_MS, "lasting": True}), "steps": [
    {"count": 5, "cpu": 1300, "mem-mb": 4300, "est-runtime-ms": STARTUP_MS, "long-running": True,
     "max-per-server": 1, "max-unavailable": MAX_UNAVAILABLE}]}


def find_breaks(c):
    """Stops of a work unit at work while as many others as may be unavailable are away by stops."""
    runs = c.runs()
    stopped = [r for r in runs if r["stop"] is not None]
    out = []
    for run in stopped:
        at = run["stop"]
        if at - run["begin"] < STARTUP_MS or (run["to"] is not None and run["to"] < at):
            continue
        away = []
        for other in stopped:
            again = [r for r in runs if r["task"] == other["task"] and r["begin"] > other["stop"]
                     and r["begin"] + STARTUP_MS <= at]
            same_step = other["task"][:16] == run["task"][:16]
            if same_step and other["task"] != run["task"] and other["stop"] <= at and not again:
                away.append(other["task"])
        if len(set(away)) >= MAX_UNAVAILABLE:
            out.append((run, sorted(set(away))))
    return out


def play(c):
    seed = int(os.environ.get("SEED", "1"))
    dice = random.Random(seed)
    lives = 0
    c.start_platform()
    for i in range(MACHINES):
        c.start_minion(f"m{i}", SERVICE, f"i-{i:04x}0000", labels=["a", f"r1-{i // 4}"],
                       stop_ms=100)
    c.configure(3, [c.route("quote-archive", PREFIX, SERVICE, attempts=2)], [SERVICE])
    for zone in ("gyor-a", "gyor-b", "gyor-c"):
        c.start_daemon(f"edge-{zone}-1", zone)
    c.wait_until_serving(PREFIX)
    time.sleep(2)
    for job in JOBS:
        c.submit(PREFIX, job, BODY)
    time.sleep(4)
    c.runs()
    for i in range(CRASHES):
        machine = f"m{dice.randrange(MACHINES)}"
        m = c.minions[machine]
        began = time.monotonic()
        if c.trouble:
            c.kill_minion(machine)
        time.sleep(DOWN_S)
        if c.trouble:
            lives += 1
            c.start_minion(machine, SERVICE, f"{m['name'][:6]}{lives:04x}", m["port"],
                           **m["options"])
        lost = [job for job in JOBS if "failed" in c.state(PREFIX, job).values()]
        if lost:
            c.note(f"shown as failed after {i + 1} crashes: {', '.join(lost)}")
            break
        time.sleep(max(0, began + GAP_S - time.monotonic()))
    time.sleep(6)
    found = find_breaks(c)
    runs = c.runs()
    for run in runs:
        c.note("ran: " + c.describe(run))
    for run, away in found:
        c.note(f"AVAIL: a stop at {c.time(run['stop'])} ends {c.describe(run)}")
        c.note(f"    while away by stops: {', '.join(away)}; {MAX_UNAVAILABLE} may be")
    for job in JOBS:
        ends = {}
        for run in runs:
            if run["task"].startswith(job):
                ends[run["how"]] = ends.get(run["how"], 0) + 1
        state = c.state(PREFIX, job)
        c.note(f"{job}: shown as {state}; how its runs ended: {ends}")
        if "failed" in state.values() and "failed" not in ends:
            c.note("LOST: shown as failed without cause, and no work unit of it runs any more")
    return bool(found)


case.run(os.path.dirname(os.path.abspath(__file__)), play)
