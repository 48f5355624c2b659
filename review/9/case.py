"""Large jobs come, then small ones."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib3"))
from case3 import TROUBLE, main, steady  # noqa: E402

CAPACITY = {"cpu": 64000, "mem-mb": 262144, "gpu": 0}  # as in the skovlund deployment
UNITS = 9000 if TROUBLE else 90
LARGE = ["%016x" % (0x1a290 + n) for n in range(4)]
SMALL = ["%016x" % (0x1000 + n) for n in range(12)]
STEP = {"count": 2, "cpu": 880, "mem-mb": 256, "est-runtime-ms": 800}
FINISH_S = 14


def run(case):
    case.configure()
    for i in range(9):
        case.add_machine("m-%d" % i, labels=("a", "r1-%d" % (i // 4)), capacity=CAPACITY)
    daemons = [case.add_daemon("gyor-a"), case.add_daemon("gyor-b")]
    case.wait_ready()
    answers = {}
    for job in LARGE:
        answers[job] = case.submit(daemons[0], job, "ms=800", [
            dict(STEP, cpu=1, **{"count": UNITS, "mem-mb": 1})] * 3)[0]
        time.sleep(1)
    for job in SMALL:
        answers[job] = case.submit(daemons[1], job, "ms=800", [STEP])[0]
        time.sleep(0.2)
    began, open_jobs = steady(), list(SMALL)
    while steady() - began < FINISH_S and open_jobs:
        time.sleep(1)
        open_jobs = [job for job in open_jobs if case.state(daemons[1], job) != "completed"]
    ran = {start[2].split(".")[0] for start in case.platform.starts}
    for job in SMALL + LARGE:
        case.record("POST %s -> %s; GET -> %s; %s" % (
            job, answers[job], case.state(daemons[1], job),
            "work units began" if job in ran else "no work unit has begun"))
    lost = [job for job in SMALL if answers[job] == 200 and job not in ran]
    if lost:
        return "LOST: no work unit of %d accepted jobs has begun in %d s" % (len(lost), FINISH_S)
    return None if not open_jobs else "LOST: not completed: " + ", ".join(open_jobs)


main(HERE, run)
