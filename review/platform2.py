"""Stand-ins for the cases of the second review: the platform's store, machines and minions, a
client, and the daemons' processes. All in one process and on loopback; only the standard library.

The store, the machines and the minions do what PROTOCOL.md says. Where the page is silent they
behave like a sound server. Each daemon reaches the store and the machines on ports of its own, so
that a case can disturb the calls of one daemon."""

import asyncio
import base64
import json
import os
import random
import signal
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of kovacs-rendeles, a small deployment.
BOUNDS = {"max_hold_ms": 6000, "status_s": 120, "grace_s": 6, "move_s": 1.5, "stop_grace_ms": 200,
          "apply_ms": 2000, "upkeep_s": 2, "remote_factor": 2}
HEARTBEAT_S = 1.5
STOP_MS = 20
BOUNDS_GANG_WAIT_MS = 3000
ENDS_AT_A_TIME = 500  # PROTOCOL.md, 'Running work units'


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, *words):
        line = "%8.3f " % (time.monotonic() - self.began) + " ".join(str(w) for w in words)
        self.file.write(line + "\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        url = urllib.parse.urlsplit(target)
        self.path = urllib.parse.unquote(url.path)
        self.query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def serve(ip, port, handle):
    """handle(request) returns (status, object); None as status resets the channel."""

    writers = set()

    async def on_channel(reader, writer):
        writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target = line.split(" ")[:2]
                status, answer = await handle(Request(method, target, headers, body))
                if status is None:
                    writer.transport.abort()
                    return
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(on_channel, ip, port)
    server.writers = writers
    return server


async def never():
    await asyncio.sleep(3600)
    return None, {}


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.items = {}  # key -> dict
        self.events = []  # (revision, key, item or None)
        self.leases = {}  # id -> [ttl_ms, end]
        self.next_lease = 1
        self.changed = asyncio.Event()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        before = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created-rev": before["created-rev"] if before else self.revision, "lease": lease}
        self.items[key] = item
        self.events.append((self.revision, key, item))
        self.wake()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append((self.revision, key, None))
            self.wake()

    def value(self, key):
        return base64.b64decode(self.items[key]["value"]) if key in self.items else None

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [i for i, l in self.leases.items() if l[1] < now_ms()]:
                self.end_lease(lease)

    def txn(self, t):
        expected = t.get("expected", [])
        if any(self.items.get(e["key"], {"revision": 0})["revision"] != e["revision"]
               for e in expected):
            return 412, {"items": [self.items.get(e["key"], {"key": e["key"], "revision": 0})
                                   for e in expected]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in t.get("puts", [])):
            return 404, {}
        for p in t.get("puts", []):
            self.put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
        for key in t.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, wait_ms):
        end = now_ms() + wait_ms
        while True:
            found = [dict(i) if i else {"key": k, "revision": r, "deleted": True}
                     for r, k, i in self.events if r > after and k.startswith(prefix)]
            if found or now_ms() >= end:
                return 200, {"events": found, "at-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max((end - now_ms()) / 1000, 0.001))
            except asyncio.TimeoutError:
                pass

    async def handle(self, r):
        await asyncio.sleep(0.004)
        if r.path == "/kv-key":
            item = self.items.get(r.query["key"])
            return (200, dict(item, **{"at-rev": self.revision})) if item else (404, {})
        if r.path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(r.query["prefix"]) and k > r.query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500,
                         "at-rev": self.revision}
        if r.path == "/kv-watch":
            return await self.watch(r.query["prefix"], int(r.query["after"]),
                                    int(r.query.get("wait-ms", 0)))
        if r.path == "/kv-txn":
            return self.txn(r.json())
        if r.path == "/kv-lease":
            ttl = r.json()["ttl-ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, now_ms() + ttl]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if r.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(r.path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = now_ms() + lease[0]
            return 200, {"ttl-ms": lease[0]}
        if r.path.startswith("/kv-lease-end/"):
            self.end_lease(int(r.path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


class Run:
    def __init__(self, task, number, spec):
        self.task = task
        self.number = number
        self.began = now_ms()
        self.spec = spec
        self.ended = None  # (how, time)
        self.end_number = 0
        self.present = False
        self.works_since = self.began  # of a gang: when all members of the run are present


class Minion:
    """One life of a minion. A work unit's spec is JSON: "ms" its duration, "fails" the number of its
    first runs that end failed (by its own fault)."""

    def __init__(self, platform, service, zone, rack, machine, capacity=None):
        self.platform = platform
        self.id = "i-%08x" % random.getrandbits(32)
        self.service = service
        self.zone = zone
        self.labels = ["a", rack]
        self.machine = machine
        self.capacity = capacity or {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
        self.started = now_ms()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end = 0
        self.lapses = 0  # times that a lease has run out, whether anything ran or not
        self.has_lease = False
        self.runs = {}  # (task, number) -> Run
        self.highest = {}  # task -> highest run stopped or ended here
        self.ends = []
        self.last_end = 0
        self.last_seen = 0  # ends up to this are taken note of
        self.seq = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.up = True
        self.grey = False  # fails all that it starts, its health is good
        self.server = None
        self.tasks = []

    def clock(self):
        return now_ms() - self.started

    async def start(self, port=0):
        self.server = await serve(self.platform.ip(200), port, self.handle)
        ip, port = self.server.sockets[0].getsockname()
        self.address = "%s:%d" % (ip, port)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    def publish(self):
        self.seq += 1
        self.platform.store.put("servers/" + self.id, json.dumps(
            {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
             "slots": 8, "state": self.state, "cold-remaining-ms": 0, "capacity": self.capacity,
             "labels": self.labels, "clock-ms": self.clock(), "seq-no": self.seq,
             "born": self.born}).encode())

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, run, how):
        del self.runs[(run.task, run.number)]
        run.ended = (how, now_ms())
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        run.end_number = self.last_end
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.platform.record("ended", how, run.task, "run", run.number, "on", self.id, "as",
                             self.last_end)
        self.changed.set()
        self.changed = asyncio.Event()
        self.platform.gang_member_ended(run)

    def work(self, run):
        """Ends the run if its time has come."""
        gang = self.platform.gang_of(run)
        if self.clock() > self.lease_end:
            self.end(run, "lapsed")
        elif self.grey and now_ms() - run.works_since >= 50:
            if gang is None or self.platform.gang_is_present(run):
                self.end(run, "failed")  # by the minion's fault
        elif gang is not None and not self.platform.gang_is_present(run):
            if now_ms() - run.began > BOUNDS_GANG_WAIT_MS:
                self.end(run, "alone")
        elif now_ms() - run.works_since >= run.spec.get("ms", 300) > 0:
            self.end(run, "failed" if run.number <= run.spec.get("fails", 0) else "done")

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            if self.has_lease and self.clock() > self.lease_end:
                self.has_lease = False
                self.lapses += 1
            for run in list(self.runs.values()):
                if run.ended is None:
                    self.work(run)

    def terminate(self):
        """Everything that runs here terminates; the minion is gone."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        self.changed.set()
        for run in self.runs.values():
            run.ended = ("gone", now_ms())
        self.runs.clear()
        self.platform.store.remove("servers/" + self.id)

    def crash(self):
        """As terminate, but unannounced: the entry stays until it is known to be silent."""
        item = self.platform.store.items.get("servers/" + self.id)
        self.terminate()
        if item is not None:
            self.platform.store.put("servers/" + self.id, base64.b64decode(item["value"]))
            asyncio.get_event_loop().call_later(
                3 * HEARTBEAT_S, lambda: self.platform.store.remove("servers/" + self.id))

    def extend(self, body):
        if "deadline-ms" in body:
            end = min(body["deadline-ms"], self.clock() + BOUNDS["max_hold_ms"])
            self.lease_end = max(self.lease_end, end)
            self.has_lease |= self.lease_end > self.clock()

    def answer(self, status, **fields):
        return status, dict({"clock-ms": self.clock()}, **fields)

    async def stop(self, task, number):
        await asyncio.sleep(STOP_MS / 1000)
        if (task, number) in self.runs:
            self.end(self.runs[(task, number)], "stopped")

    async def handle(self, r):
        if not self.up:
            return None, {}
        if r.headers.get("x-medlartrack-expect-instance", self.id) != self.id:
            return 421, {}
        body = r.json()
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return self.answer(409, reason="fence")
        self.fence = token
        if r.path == "/run-start":
            return self.handle_start(body, r)
        if r.path == "/run-stop":
            key = (body["task"], body["run-id"])
            if key not in self.runs:
                self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            else:
                asyncio.ensure_future(self.stop(*key))
            return self.answer(200)
        if r.path == "/hold":
            answer = await self.handle_hold(body)
            return answer if self.up else (None, {})
        return self.answer(200)

    def handle_start(self, body, r):
        key = (body["task"], body["run-id"])
        if body.get("deadline-ms", 0) <= self.clock():
            return self.answer(409, reason="late")
        self.extend(body)
        if key in self.runs:
            return self.answer(200)
        if key[1] <= self.highest.get(key[0], 0):
            return self.answer(409, reason="old")
        try:
            spec = json.loads(body["spec"])
        except ValueError:
            return self.answer(400)
        run = Run(key[0], key[1], spec)
        self.runs[key] = run
        self.platform.starts.append((self, run))
        self.platform.record("started", key[0], "run", key[1], "on", self.id, self.service, "token",
                             body.get("fencing-token"))
        return self.answer(200)

    async def handle_hold(self, body):
        self.extend(body)
        self.last_seen = max(self.last_seen, body.get("last-seen", 0))
        self.ends = [e for e in self.ends if e[0] > body.get("last-seen", 0)]
        until = now_ms() + body.get("wait-ms", 0)
        while not self.ends and now_ms() < until and self.up:
            try:
                await asyncio.wait_for(self.changed.wait(), max((until - now_ms()) / 1000, 0.001))
            except asyncio.TimeoutError:
                pass
        return self.answer(200, born=self.born,
                           running=[[u.task, u.number, "",
                                     min(100 * (now_ms() - u.began) // max(u.spec.get("ms", 300), 1),
                                         100) if u.spec.get("ms", 300) else 100, 0]
                                    for u in self.runs.values()],
                           ended=self.ends[:ENDS_AT_A_TIME])


class Daemon:
    def __init__(self, platform, index, zone):
        self.platform = platform
        self.index = index
        self.name = "edge-%s-%d" % (zone, index)
        self.zone = zone
        self.ip = platform.ip(index + 2)
        self.process = None
        self.log = None

    async def prepare(self):
        p = self.platform
        self.store_server = await serve(p.ip(100), 0, lambda r: p.on_store(self, r))
        self.cloud_server = await serve(p.ip(100), 0, lambda r: p.on_cloud(self, r))
        store = "%s:%d" % self.store_server.sockets[0].getsockname()
        cloud = "%s:%d" % self.cloud_server.sockets[0].getsockname()
        self.front = (self.ip, p.port)
        # As deploy/settings.json gives them on a small deployment.
        settings = {"name": self.name, "zone": self.zone, "listen": "%s:%d" % self.front,
                    "ready_listen": "%s:%d" % (self.ip, p.port + 1), "ip": self.ip,
                    "peer_port": p.port + 2, "metrics_port": p.port + 3, "cores": 0.25,
                    "link_mbps": 1000.0, "machines": cloud, "store": store, "store_wait": True,
                    "second_tries": True, "bounds": BOUNDS}
        self.settings = os.path.join(p.folder, self.name + ".json")
        with open(self.settings, "w") as f:
            json.dump(settings, f)

    async def start(self):
        if self.platform.closing:
            return
        self.log = open(os.path.join(self.platform.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "daemon", "medlartrackd"), "--settings", self.settings,
            stdout=self.log, stderr=self.log, cwd=ROOT)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self, back_s):
        """SIGKILL; the process starts again after back_s."""
        self.signal(signal.SIGKILL)
        await self.process.wait()
        asyncio.get_event_loop().call_later(back_s, lambda: asyncio.ensure_future(self.start()))


class Platform:
    def __init__(self, record, n_daemons=3):
        self.record = record
        self.folder = tempfile.mkdtemp()
        self.net = "127.%d.%d." % (random.randrange(16, 250), random.randrange(1, 250))
        self.port = random.randrange(20000, 29000)
        self.store = Store()
        self.starts = []
        self.minions = []
        zones = ["gyor-a", "gyor-b", "gyor-c"]
        self.daemons = [Daemon(self, i, zones[i % 3]) for i in range(n_daemons)]
        self.closing = False
        self.version = 0
        self.machines = {}
        self.machine_fence = {}
        self.waves = {}
        self.upkept = {}  # wave -> machines whose upkeep has begun
        self.upkeeps = []  # (machine, others down then, cap)
        self.standby = {}
        self.gangs = {}  # ID.K.STEP -> members
        self.silent = {}
        self.watching = {}  # (daemon, prefix) -> when its last watch began
        self.late = None  # late(daemon, request): keeps an order back, which gets no answer

    def ip(self, host):
        return self.net + str(host)

    async def on_store(self, daemon, r):
        began = now_ms()
        if r.path == "/kv-watch":
            self.watching[(daemon.name, r.query["prefix"])] = began
        answer = await self.store.handle(r)
        silent = self.silent.get((daemon.name, r.path, r.query.get("prefix")))
        if silent is not None and began <= silent:
            self.record("silent: the channel of", daemon.name, "on which", r.path,
                        r.query.get("prefix"), "waited")
            return await never()
        return answer

    def silence(self, daemon, path, prefix):
        """The channels on which such a call waits now go silent for good; new ones work."""
        self.silent[(daemon.name, path, prefix)] = now_ms()

    async def on_cloud(self, daemon, r):
        if r.path == "/machines":
            return 200, {"machines": [dict(m) for m in self.machines.values()], "next-token": None}
        if self.late is not None and self.late(daemon, r):
            return await never()
        return self.order_machine(r)

    # A gang: its members work from the moment when all of one run are present, and end together.

    def gang_of(self, run):
        """The number of members of the run's gang; None if its step is none."""
        return self.gangs.get(run.task.rsplit(".", 1)[0])

    def members(self, run):
        step = run.task.rsplit(".", 1)[0]
        return [(m, r) for m in self.minions if m.up for r in m.runs.values()
                if r.number == run.number and r.task.rsplit(".", 1)[0] == step]

    def gang_is_present(self, run):
        if run.present:
            return True
        members = self.members(run)
        if len(members) < self.gang_of(run):
            return False
        for _, r in members:
            r.present = True
            r.works_since = now_ms()
        return True

    def gang_member_ended(self, run):
        if self.gang_of(run) is None:
            return
        how = run.ended[0]
        for m, r in self.members(run):
            # A grey minion fails each of its own members; the others end with it.
            if r.ended is None and (how == "done" or not m.grey):
                m.end(r, "done" if how == "done" else "broken")

    def minion_of(self, machine):
        return next((m for m in self.minions if m.up and m.machine == machine), None)

    def order_machine(self, r):
        """Carries out a move or an upkeep."""
        body = r.json()
        m = self.machines.get(body["machine"])
        token = int(r.headers.get("x-medlartrack-fencing-token", 0))
        what = r.path[len("/machine-"):]
        if m is None:
            return 400, {}
        if token < self.machine_fence.get(body["machine"], 0):
            return 409, {"reason": "fence"}
        self.machine_fence[body["machine"]] = token
        if what == "move":
            if m["pool"] == body["pool"]:
                return 200, {}
        elif body["machine"] in self.upkept.get(body["wave"], ()):
            return 200, {}
        elif body["machine"] not in self.waves.get(body["wave"], {"machines": ()})["machines"]:
            return 409, {"reason": "wave"}
        if m["state"] != "up":
            return 409, {"reason": "busy"}
        if what == "upkeep":
            wave = self.waves[body["wave"]]
            down = [n for n in wave["machines"] if self.machines[n]["state"] == "upkeep"]
            self.record("upkeep of", body["machine"], "begins, ordered by",
                        r.headers.get("x-medlartrack-duty-holder"), "token", token,
                        "down for theirs:", down, "cap", wave["cap"])
            self.upkeeps.append((body["machine"], down, wave["cap"]))
            self.upkept.setdefault(body["wave"], set()).add(body["machine"])
        asyncio.ensure_future(self.take_down(m, what, body.get("pool", m["pool"])))
        return 200, {}

    async def take_down(self, m, what, pool):
        m["state"] = "upkeep" if what == "upkeep" else "moving"
        m["pool"] = pool
        old = self.minion_of(m["machine"])
        m["id"] = None
        if old is not None:
            old.terminate()
        await asyncio.sleep(BOUNDS["upkeep_s"] if what == "upkeep" else BOUNDS["move_s"])
        m["state"] = "up"
        if not self.standby.get(pool):
            await self.add_minion(pool, m["zone"], m["labels"][1], machine=m["machine"])

    def request_wave(self, number, machines, deadline_s, cap):
        self.waves[number] = {"wave": number, "machines": machines, "deadline-s": deadline_s,
                              "cap": cap}
        self.store.put("op/wave/%d" % number, json.dumps(self.waves[number]).encode())
        self.record("operator: wave", number, machines, "deadline-s", deadline_s, "cap", cap)

    async def add_minion(self, service, zone, rack, machine=None, port=0, **kw):
        m = Minion(self, service, zone, rack, machine or "m-%05x" % random.getrandbits(20), **kw)
        await m.start(port)
        self.machines[m.machine] = {"machine": m.machine, "pool": service, "state": "up",
                                    "zone": zone, "labels": m.labels, "capacity": m.capacity,
                                    "id": m.id}
        self.minions.append(m)
        return m

    def configure(self, routes, services):
        self.standby = dict(services)
        self.version += random.randrange(1, 4)
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": s, "health-path": "/health", "max-conns": 64,
                                "protocol": "h1", "tls": False, "admission-check": False,
                                "standby": standby} for s, standby in services],
                  "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                             "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        self.store.put("op/config", json.dumps(config).encode())
        self.record("operator: configuration", self.version, "acknowledged:",
                    ", ".join("%s -> %s" % (r["name"], r["service"]) for r in routes))

    def leader(self, pool):
        """The daemon that holds the pool's leadership, by the key that it wrote."""
        holder = self.store.value("medlartrack/cluster/leadership/" + pool)
        for d in self.daemons:
            if holder and holder.decode().startswith(d.ip + ":"):
                return d
        return None

    async def call(self, daemon, method, path, host, body=None, timeout=3.0, quiet=False):
        """One request; returns (status, object), or (0, None) for no answer in time."""
        text = json.dumps(body).encode() if body is not None else b""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*daemon.front), timeout)
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "X-Medlartrack-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, host, int(timeout * 1000), len(text))).encode() + text)
            line, _, answer = await asyncio.wait_for(read_message(reader), timeout)
            status = int(line.split(" ")[1])
            out = status, json.loads(answer) if answer[:1] == b"{" else None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            out = 0, None
        finally:
            if writer is not None:
                writer.close()
        if not quiet:
            self.record("client:", method, path, "at", daemon.name, "->", out[0],
                        out[1] if out[1] else "")
        return out

    async def ready(self, pools, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all(self.leader(p) for p in pools):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no leaders within %d s" % timeout)

    async def start(self):
        self.tasks = [asyncio.ensure_future(self.store.expire())]
        for d in self.daemons:
            await d.prepare()
        for d in self.daemons:
            await d.start()

    async def close(self):
        self.closing = True
        for d in self.daemons:
            if d.process is not None and d.process.returncode is None:
                d.signal(signal.SIGCONT)
                d.process.kill()
                await d.process.wait()


def route(name, host, prefix, service, attempts=3, **more):
    return dict({"name": name, "host": host, "prefix": prefix, "kind": "non_idempotent",
                 "timeout-ms": 3000, "target-duration-ms": 600, "priority": 0, "service": service,
                 "max-attempts": attempts, "stretch": 1.6}, **more)


def new_id():
    return "%016x" % random.getrandbits(64)


def run_case(folder, case, n_daemons=3, limit_s=110):
    """Runs case(platform, record), which returns a list of broken rules; exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    record("TROUBLE=%d" % TROUBLE)

    async def main():
        platform = Platform(record, n_daemons)
        try:
            await platform.start()
            return await asyncio.wait_for(case(platform, record), limit_s)
        finally:
            await platform.close()

    try:
        broken = asyncio.new_event_loop().run_until_complete(main())
    except Exception as e:  # the case couldn't run
        record("could not run:", repr(e))
        print("could not run:", repr(e), flush=True)
        os._exit(2)
    for line in broken:
        record("BROKEN", line)
        print(line, flush=True)
    record("result:", "broken" if broken else "held")
    os._exit(1 if broken else 0)  # all processes have ended; channels need no farewell
