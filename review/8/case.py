"""A minion fails all that it starts, among it several members of a gang."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from platform2 import TROUBLE, new_id, route, run_case  # noqa: E402

HOST, PREFIX, POOL, ATTEMPTS = "pule25.example", "/puxa400/", "huvo11a", 3
MINIONS = 10
MEMBERS = 4
GREY_S = 6
JOBS = 24  # each prefers one of three zones


async def case(p, record):
    p.configure([route("r-anu6wsj", HOST, PREFIX, POOL, ATTEMPTS)], [(POOL, False)])
    for i in range(MINIONS):
        await p.add_minion(POOL, "gyor-" + "abc"[i % 3], "r1-%d" % (i // 4))
    await p.ready([POOL])
    await asyncio.sleep(3)
    other = [d for d in p.daemons if d is not p.leader(POOL)][0]

    async def submit(ms, step):
        job = new_id()
        if step.get("gang"):
            p.gangs[job + ".0.0"] = step["count"]
        status, _ = await p.call(other, "POST", PREFIX + job, HOST, {
            "spec": '{"ms":%d}' % ms,
            "steps": [dict({"cpu": 500, "mem-mb": 256, "est-runtime-ms": ms}, **step)]})
        if status != 200:
            raise RuntimeError("the job was not accepted: %d" % status)
        return job

    # One minion has proved itself, so that work is packed on it; then it turns grey.
    await submit(300, {"count": 1})
    await asyncio.sleep(1)
    if TROUBLE:
        grey = p.starts[0][0]
        grey.grey = True
        asyncio.get_event_loop().call_later(GREY_S, setattr, grey, "grey", False)
        record("for %d s" % GREY_S, grey.id, "fails all that it starts")
    jobs = [await submit(800, {"count": MEMBERS, "gang": True}) for _ in range(JOBS)]
    state = {}
    for _ in range(80):
        await asyncio.sleep(0.25)
        for job in jobs:
            _, answer = await p.call(other, "GET", PREFIX + job, HOST, quiet=True)
            if answer and answer["state"] != state.get(job):
                state[job] = answer["state"]
                record("the job of gang", job, "is shown as", state[job])
        if all(state.get(job) in ("completed", "failed") for job in jobs):
            break
    broken = []
    for job in jobs:
        failed, failed_runs = {}, set()
        for _, run in p.starts:
            if run.task.startswith(job) and run.ended and run.ended[0] == "failed":
                failed[run.task] = failed.get(run.task, 0) + 1
                failed_runs.add(run.number)
        most = max(list(failed.values()) + [len(failed_runs)])
        record(job, state.get(job), "ends 'failed' of each work unit:", failed,
               "runs of the gang that failed:", sorted(failed_runs), "max-attempts", ATTEMPTS)
        if state.get(job) == "failed" and most < ATTEMPTS:
            broken.append("LOST: accepted job %s is shown as failed without cause: its gang has "
                          "failed %d of %d times, and no work unit of it more often"
                          % (job, most, ATTEMPTS))
    return broken


run_case(HERE, case)
