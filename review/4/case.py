"""A leader is killed while a minion has more than 500 ends to list."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import platform2  # noqa: E402
from platform2 import TROUBLE, new_id, route, run_case  # noqa: E402

HOST, PREFIX, POOL = "pule25.example", "/puxa400/", "huvo11a"
BACK_S = 3.5
UNITS = 900
UNIT_MS = 1000


async def case(p, record):
    p.configure([route("r-anu6wsj", HOST, PREFIX, POOL)], [(POOL, False)])
    for zone in ("gyor-a", "gyor-b", "gyor-c"):
        await p.add_minion(POOL, zone, "r1-1")
    await p.ready([POOL])
    await asyncio.sleep(3)
    leader = p.leader(POOL)
    others = [d for d in p.daemons if d is not leader]
    job = new_id()
    body = {"spec": '{"ms":%d}' % UNIT_MS,
            "steps": [{"count": UNITS, "cpu": 15, "mem-mb": 1, "est-runtime-ms": UNIT_MS}]}
    status, _ = await p.call(others[0], "POST", PREFIX + job, HOST, body)
    if status != 200:
        raise RuntimeError("the job was not accepted: %d" % status)
    while len(p.starts) < UNITS:
        await asyncio.sleep(0.02)
    record("all work units have begun:", [(m.id, len(m.runs)) for m in p.minions])
    if TROUBLE:
        record("SIGKILL of", leader.name, "which leads", POOL)
        await leader.kill(BACK_S)
    state = None
    for _ in range(40):
        await asyncio.sleep(0.5)
        _, answer = await p.call(others[1], "GET", PREFIX + job, HOST, quiet=True)
        if answer and answer["state"] != state:
            state = answer["state"]
            record("the job is shown as", state)
        if state == "completed":
            break
    lapses = {}
    for _ in range(20):  # until the last ends are taken note of, which takes a write to the store
        await asyncio.sleep(0.1)
        lapses = {m: m.lapses for m in p.minions}
        if all(m.last_seen >= m.last_end for m in p.minions):
            break
    done, again = {}, []
    for minion, run in p.starts:
        if run.task in done and run.began > done[run.task]:
            again.append((run.task, run.number, minion.id))
        # An end counts once last-seen has reached it, unless the minion's lease has lapsed.
        if (run.ended and run.ended[0] == "done" and run.end_number <= minion.last_seen
                and lapses[minion] == 0):
            done[run.task] = min(done.get(run.task, 1 << 62), run.ended[1])
    record("last-seen:", [(m.id, m.last_seen, "of", m.last_end) for m in p.minions], "lapses:",
           list(lapses.values()))
    record("ends of other kinds than done:",
           sum(1 for _, run in p.starts if run.ended and run.ended[0] != "done"))
    record("starts:", len(p.starts), "work units done:", len(done), "started again after done:",
           len(again), again[:3])
    return ["TWICE: %d of %d work units were started again after a run of theirs had ended done, "
            "on minions that are up, without a lapsed lease" % (len(again), UNITS)] if again else []


run_case(HERE, case)
