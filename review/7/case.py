"""A route is added while the channel on which the pool's leader watches the configuration is silent."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from platform2 import TROUBLE, new_id, now_ms, route, run_case  # noqa: E402

HOST, POOL = "pule25.example", "huvo11a"
OLD = route("r-anu6wsj", HOST, "/puxa400/", POOL, 3)
NEW_PREFIX, ATTEMPTS = "/zizi35/", 3


async def case(p, record):
    p.configure([OLD], [(POOL, False)])
    for zone in ("gyor-a", "gyor-b", "gyor-c"):
        await p.add_minion(POOL, zone, "r1-1")
    await p.ready([POOL])
    await asyncio.sleep(3)
    leader = p.leader(POOL)
    other = [d for d in p.daemons if d is not leader][0]
    # The operator's change comes while the leader waits for one, as it nearly always does.
    while now_ms() - p.watching.get((leader.name, "op/config"), 0) > 100:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    if TROUBLE:
        p.silence(leader, "/kv-watch", "op/config")
    p.configure([OLD, route("r-b2ex5wa", HOST, NEW_PREFIX, POOL, ATTEMPTS)], [(POOL, False)])
    # The first run of each work unit fails by its own fault after 0.3 s, the second succeeds.
    body = {"spec": '{"ms":300,"fails":1}',
            "steps": [{"count": 2, "cpu": 500, "mem-mb": 256, "est-runtime-ms": 300}]}
    job = new_id()
    for _ in range(20):
        await asyncio.sleep(0.05)
        status, _ = await p.call(other, "POST", NEW_PREFIX + job, HOST, body)
        if status == 200:
            break
    else:
        raise RuntimeError("the job was not accepted: %d" % status)
    state = None
    for _ in range(40):
        await asyncio.sleep(0.25)
        _, answer = await p.call(other, "GET", NEW_PREFIX + job, HOST, quiet=True)
        if answer and answer["state"] != state:
            state = answer["state"]
            record("the job is shown as", state)
        if state in ("completed", "failed"):
            break
    await asyncio.sleep(2.5)
    shown = [await p.call(d, "GET", NEW_PREFIX + job, HOST) for d in p.daemons]
    failed = {}
    for _, run in p.starts:
        if run.ended and run.ended[0] == "failed":
            failed[run.task] = failed.get(run.task, 0) + 1
    record("ends 'failed' of each work unit:", failed, "of max-attempts", ATTEMPTS)
    most = max(failed.values(), default=0)
    if any(a and a["state"] == "failed" for _, a in shown) and most < ATTEMPTS:
        return ["LOST: an accepted job is shown as failed without cause: no work unit of it has "
                "failed more than %d of %d times" % (most, ATTEMPTS)]
    return []


run_case(HERE, case)
