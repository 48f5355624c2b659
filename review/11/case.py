"""A daemon is stopped while the store is slow; callers are told that their jobs never run."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib3"))
from case3 import TROUBLE, CannotRun, exchange, main, steady  # noqa: E402

CLIENTS = 48  # as many as the small deployment has
FIRST_S, LAST_S = 1.6, 5.7  # when they send, after the SIGTERM
SLOW_FROM_S, SLOW_S, SLOWER = 1.4, 4.5, 60
STEPS = [{"count": 2, "cpu": 880, "mem-mb": 256, "est-runtime-ms": 800}]


def run(case):
    case.configure()
    for i in range(4):
        case.add_machine("m-%d" % i, labels=("a", "r1-%d" % i))
    stopped, other = case.add_daemon("gyor-a"), case.add_daemon("gyor-b")
    case.wait_ready()
    case.submit(other, "%016x" % 0xfff, "ms=300", STEPS)
    channels = [stopped.connect() for _ in range(CLIENTS)]
    for channel in channels:
        if exchange(channel, "GET", "/puxa400/")[0] != 200:
            raise CannotRun("a channel was not opened")
    answers = {}

    def send(n):
        job = "%016x" % (0x1000 + n)
        time.sleep(max(0, began + FIRST_S + (LAST_S - FIRST_S) * n / CLIENTS - steady()))
        sent = steady() - began
        status, _ = exchange(channels[n], "POST", "/puxa400/" + job,
                             {"spec": "ms=300", "steps": STEPS})
        answers[job] = status
        case.record("POST %s sent %.2f s after the SIGTERM, answered after %.2f s: %s"
                    % (job, sent, steady() - began - sent, status or "no answer"))

    began = steady()
    case.record("SIGTERM to", stopped.name)
    stopped.signal(signal.SIGTERM)
    threads = [threading.Thread(target=send, args=(n,)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(max(0, began + SLOW_FROM_S - steady()))
    if TROUBLE:
        case.record("the store is slow: x", SLOWER)
        case.store.slower = SLOWER
    time.sleep(max(0, began + SLOW_FROM_S + SLOW_S - steady()))
    case.store.slower = 1
    case.record("the store is as before")
    for thread in threads:
        thread.join()
    stopped.process.wait(10)
    time.sleep(6)  # the accepted jobs run
    ran = {start[2].split(".")[0] for start in case.platform.starts}
    false = [job for job, status in sorted(answers.items()) if status == 503 and job in ran]
    lost = [job for job, status in sorted(answers.items()) if status == 200 and job not in ran]
    for job in false:
        case.record("answered 503, and it ran:", job)
    case.record("answers (0: none):",
                {s: list(answers.values()).count(s) for s in sorted(set(answers.values()))})
    if lost:
        return "LOST: accepted and not run: " + ", ".join(lost)
    if false:
        return "REFUSED: the only attempt to hand these in was rejected, and they ran: " \
               + ", ".join(false)
    return None


main(HERE, run)
