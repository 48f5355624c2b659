"""A minion crashes while it is idle and starts again under the id that it had. A job comes as the
minion is back. Seven times, another minion each time."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import case  # noqa: E402

SERVICE = "arajanlat"
PREFIX = "/quote/"
MACHINES = 7
DOWN_S = 0.5
# Six work units, each on a minion of its own: the spare minion is where a seventh could run.
JOB = {"spec": '{"work_ms":800}', "steps": [
    {"count": 6, "cpu": 880, "mem-mb": 1300, "est-runtime-ms": 800, "max-per-server": 1}]}


def find_twice(c):
    """Pairs of runs of one work unit: two at a time, or one that began after another was done."""
    by_task = {}
    for run in c.runs():
        by_task.setdefault(run["task"], []).append(run)
    out = []
    for runs in by_task.values():
        for i, a in enumerate(runs):
            for b in runs[i + 1:]:
                if a["to"] is None or b["begin"] < a["to"]:
                    out.append(("two runs at the same time", a, b))
                elif a["how"] == "done":
                    out.append(("a start after a run was done", a, b))
    return out


def wait_until_up(port):
    end = time.monotonic() + 5
    while case.Case.call(f"127.0.0.1:{port}", "GET", "/health", timeout=0.2)[0] != 200:
        if time.monotonic() > end:
            raise case.CannotRun("a minion did not start again")
        time.sleep(0.002)


def play(c):
    c.start_platform()
    for i in range(MACHINES):
        c.start_minion(f"m{i}", SERVICE, f"i-{i:08x}", labels=["a", f"r1-{i // 4}"], stop_ms=150)
    c.configure(3, [c.route("quote-check", PREFIX, SERVICE)], [SERVICE])
    for i, zone in enumerate(("gyor-a", "gyor-b", "gyor-c")):
        c.start_daemon(f"edge-{zone}-1", zone)
    c.wait_until_serving(PREFIX)
    time.sleep(2)
    c.submit(PREFIX, f"{99:016x}", JOB)
    time.sleep(3)
    c.runs()  # learns the minions' ports
    for i in range(MACHINES):
        m = c.minions[f"m{i}"]
        if c.trouble:
            c.kill_minion(f"m{i}")
        time.sleep(DOWN_S)
        if c.trouble:
            c.start_minion(f"m{i}", SERVICE, m["name"], m["port"], **m["options"])
            wait_until_up(m["port"])
            c.note(f"minion {m['name']} is up again, at the same address")
        c.submit(PREFIX, f"{i:016x}", JOB)
        time.sleep(4)
    found = find_twice(c)
    for run in c.runs():
        c.note("ran: " + c.describe(run))
    for what, a, b in found:
        c.note(f"TWICE, {what}: " + c.describe(a))
        c.note("    and " + c.describe(b))
    for i in range(MACHINES):
        c.note(f"{i:016x}: {c.state(PREFIX, f'{i:016x}')}")
    return bool(found)


case.run(os.path.dirname(os.path.abspath(__file__)), play)
