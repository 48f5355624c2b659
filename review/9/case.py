"""Two minions crash, one after the other, each shortly after it began the same work unit.

With LASTING=1 the job's work units last until it is cancelled, and three minions crash.
"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib3"))
from case3 import TROUBLE, main, steady  # noqa: E402

MINIONS = 9
CALM_S = 8  # of light load before
LASTING = os.environ.get("LASTING", "0") != "0"
CRASHES, AFTER_S, DOWN_S = 3 if LASTING else 2, 0.2, 1.0
STEPS = [{"count": 6, "cpu": 880, "mem-mb": 1300, "est-runtime-ms": 800}]
JOB = "%016x" % 0xbadc0de
UNIT = JOB + ".0.0.0"
FINISH_S = 14


def run(case):
    case.configure()
    for i in range(MINIONS):
        case.add_machine("m-%d" % i, labels=("a", "r1-%d" % (i // 4)))
    daemons = [case.add_daemon("gyor-a"), case.add_daemon("gyor-b")]
    case.wait_ready()
    began, others = steady(), []
    while steady() - began < CALM_S:
        others.append("%016x" % (0x1000 + len(others)))
        case.submit(daemons[len(others) % 2], others[-1], "ms=800", STEPS)
        time.sleep(0.5)
    crashed = []

    async def crash(machine):
        await asyncio.sleep(AFTER_S)
        await machine.crash(DOWN_S)

    def on_start(minion, started):
        if TROUBLE and started.task == UNIT and len(crashed) < CRASHES:
            crashed.append(minion.id)
            asyncio.ensure_future(crash(minion.machine))

    case.platform.on_start = on_start
    if LASTING:
        case.submit(daemons[0], JOB, "ms=0", [dict(STEPS[0], **{"long-running": True,
                                                                "max-unavailable": 1})])
    else:
        case.submit(daemons[0], JOB, "ms=800", STEPS)
    began, state = steady(), None
    while steady() - began < FINISH_S and state not in ("completed", "failed"):
        state = case.state(daemons[1], JOB)
        time.sleep(0.1)
    case.record("GET", JOB, "->", state)
    for other in others:
        case.record("GET", other, "->", case.state(daemons[1], other))
    failed = sum(" run-end " in line and JOB in line and " failed " in line
                 for line in open(os.path.join(HERE, "record.txt")))
    case.record("runs of the job that ended failed:", failed)
    if state == ("active" if LASTING else "completed"):
        return None
    return "LOST: %s is shown as %s; %d of its runs ended failed" % (JOB, state, failed)


main(HERE, run)
