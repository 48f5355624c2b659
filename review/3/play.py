"""Minions are added to a service whose queue has `advice`. Jobs whose steps only one of the minions
may run are handed in."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import case  # noqa: E402

SERVICE = "arajanlat"
PREFIX = "/quote/"
MINIONS = 28
ADDED = 8
FINISH_S = 14
JOB = {"spec": '{"work_ms":800}', "steps": [
    {"count": 2, "cpu": 880, "mem-mb": 1300, "est-runtime-ms": 800}]}


def minion_id(i):
    return f"i-{i:08x}"


def play(c):
    jobs = {f"{i + 1:016x}": minion_id(i) for i in range(MINIONS)}
    c.start_platform()
    c.start_advisor({job: [minion] for job, minion in jobs.items()})
    for i in range(MINIONS):
        c.start_minion(f"m{i}", SERVICE, minion_id(i), labels=["a", f"r1-{i // 4}"])
    route = c.route("quote-check", PREFIX, SERVICE)
    route["advice"] = {"decision-ms": 5, "per-worker-ms": 0.5, "validity-ms": 8000}
    c.configure(3, [route], [SERVICE])
    for zone in ("gyor-a", "gyor-b", "gyor-c"):
        c.start_daemon(f"edge-{zone}-1", zone)
    c.wait_until_serving(PREFIX)
    time.sleep(4)
    if c.trouble:
        for i in range(MINIONS, MINIONS + ADDED):
            c.start_minion(f"m{i}", SERVICE, minion_id(i), labels=["a", f"r1-{i // 4}"])
            time.sleep(0.25)
        c.note(f"{ADDED} minions added to {MINIONS}")
    time.sleep(5)  # more than three status reports
    for job in jobs:
        c.submit(PREFIX, job, JOB)
        time.sleep(0.1)
    c.note(f"traffic ends; jobs are asked for from {FINISH_S} s after it")
    time.sleep(FINISH_S)
    began = len(c.runs())
    time.sleep(4)
    runs = c.runs()
    idle = len(runs) == began and all(r["to"] is not None for r in runs)
    for run in runs:
        c.note("ran: " + c.describe(run))
    asked = json.loads(c.call(c.advisor, "GET", "/test/asked")[1])
    lost = []
    for job, minion in jobs.items():
        state = c.state(PREFIX, job)
        calls, named = asked.get(f"{job}.0.0", [0, []])
        if set(state.values()) != {"completed"}:
            lost.append(job)
            c.note(f"{job}: {state}; runs: {sum(r['task'].startswith(job) for r in runs)}; only "
                   f"{minion} may run it; {calls} calls for advice named {len(named)} minions, "
                   f"{minion} {'among them' if minion in named else 'never'}")
    c.note(f"{len(jobs) - len(lost)} of {len(jobs)} jobs completed")
    if lost and idle:
        c.note(f"LOST: for 4 s nothing of {len(lost)} jobs ran, nor anything else; each has a "
               "minion of 16 idle cores that may run it")
    return bool(lost and idle)


case.run(os.path.dirname(os.path.abspath(__file__)), play)
