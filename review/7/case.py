"""The leader of maintenance is killed while an order of its is under way, which is carried out late."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from platform2 import TROUBLE, new_id, route, run_case  # noqa: E402

HOST, PREFIX, POOL = "pule25.example", "/puxa400/", "huvo11a"
BACK_S = 3.5
LATE_S = 3.2
MACHINES = 6


async def case(p, record):
    p.configure([route("r-anu6wsj", HOST, PREFIX, POOL)], [(POOL, False)])
    for i in range(MACHINES):
        await p.add_minion(POOL, "gyor-" + "abc"[i % 3], "r1-%d" % i)
    await p.ready([POOL, "fleet"])
    await asyncio.sleep(4)
    held = asyncio.get_event_loop().create_future()

    def late(daemon, r):
        if not TROUBLE or r.path != "/machine-upkeep" or held.done():
            return False
        held.set_result((daemon, r))
        return True

    p.late = late
    p.request_wave(1, list(p.machines)[:3], 28, 1)
    if TROUBLE:
        daemon, order = await asyncio.wait_for(held, 20)
        machine = order.json()["machine"]
        record("order held up:", machine, "of", daemon.name, "token",
               order.headers["x-medlartrack-fencing-token"])
        await daemon.kill(BACK_S)
        record("SIGKILL of", daemon.name)
        asyncio.get_event_loop().call_later(
            LATE_S, lambda: record("late order:", p.order_machine(order)))
    else:
        machine = list(p.machines)[0]
    other = [d for d in p.daemons if d.process.returncode is None][0]
    # Ordinary work that only one machine can do.
    label = p.machines[machine]["labels"][1]
    await p.call(other, "POST", PREFIX + new_id(), HOST, {
        "spec": '{"ms":9000}', "steps": [{"count": 1, "cpu": 12000, "mem-mb": 256,
                                         "est-runtime-ms": 9000, "required-label": label}]})
    for _ in range(400):
        await asyncio.sleep(0.1)
        status = p.store.value("status/wave/1")
        if status and b"completed" in status:
            break
    record("status/wave/1:", status)
    return ["LIMIT: the upkeep of %s began while %s of its wave was down, cap %d" % (m, down, cap)
            for m, down, cap in p.upkeeps if len(down) >= cap]


run_case(HERE, case)
