"""Stand-in for the platform of PROTOCOL.md: store, minions, machines and advice service.

One thread with an asyncio loop serves everything on loopback addresses. A case sets hooks to make
an answer late or to lose it; without hooks everything behaves like a sound platform.
"""
import asyncio
import base64
import json
import threading
import time
import urllib.parse

VALUE_BYTES = 1048576
STORE_ANSWER_S = 0.004


def steady():
    return time.monotonic()


class Record:
    """Writes one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = steady()
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = "%8.3f %s" % (steady() - self.began, " ".join(str(w) for w in words))
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


class Silent(Exception):
    """Raised by a handler whose answer never arrives."""


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
    return method, path, args, headers, body


class Server:
    """HTTP/1.1 with kept connections; `handle` is a coroutine that returns status and object."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=2 ** 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                try:
                    status, obj = await self.handle(*request)
                except Silent:
                    await asyncio.sleep(60)  # a channel on which a response is lost stays silent
                    break
                data = json.dumps(obj).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store:
    def __init__(self, record):
        self.record = record
        self.rev = 100
        self.items = {}  # key -> dict of value, revision, created, lease
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.silent = False  # calls are carried out and get no answer
        self.slower = 1  # its answers take so many times as long
        self.refuse = None  # function of a path: True if the call is refused with 503
        self.on_txn = None

    async def start(self):
        self.server = await Server(self.handle).start()
        asyncio.ensure_future(self.expire())

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server.port

    def row(self, key):
        item = self.items[key]
        return {"key": key, "value": item["value"], "revision": item["revision"],
                "created-rev": item["created"], "lease": item["lease"]}

    def apply(self, puts, remove):
        self.rev += 1
        for put in puts:
            old = self.items.get(put["key"])
            self.items[put["key"]] = {"value": put["value"], "revision": self.rev,
                                      "created": old["created"] if old else self.rev,
                                      "lease": put.get("lease", 0)}
            self.history.append((self.rev, self.row(put["key"])))
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.history.append((self.rev, {"key": key, "revision": self.rev,
                                                "deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.rev

    def put(self, key, text):
        """For the operator and the minions."""
        self.apply([{"key": key, "value": base64.b64encode(text.encode()).decode()}], [])

    def get(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)
        return True

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, until) in list(self.leases.items()):
                if steady() > until:
                    self.end_lease(lease)

    async def handle(self, method, path, args, headers, body):
        obj = json.loads(body) if body else {}
        await asyncio.sleep(STORE_ANSWER_S * self.slower / 2)
        if self.refuse is not None and self.refuse(path):
            return 503, {}
        answer = self.call(method, path, args, obj)
        if asyncio.iscoroutine(answer):
            answer = await answer
        if self.silent:
            raise Silent
        await asyncio.sleep(STORE_ANSWER_S * self.slower / 2)
        return answer

    def call(self, method, path, args, obj):
        if path == "/kv-key":
            if args["key"] not in self.items:
                return 404, {"at-rev": self.rev}
            return 200, dict(self.row(args["key"]), **{"at-rev": self.rev})
        if path == "/kv-range":
            return self.range(args["prefix"], args.get("after", ""))
        if path == "/kv-watch":
            return self.watch(args["prefix"], int(args["after"]), int(args["wait-ms"]))
        if path == "/kv-txn":
            return self.txn(obj)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = min(max(obj["ttl-ms"], 1000), 600000)
            self.leases[self.next_lease] = (ttl, steady() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, steady() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/kv-lease-end/"):
            return (200 if self.end_lease(int(path.rsplit("/", 1)[1])) else 404), {}
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows, size = [], 0
        for key in keys:
            if len(rows) == 500 or size > 1000000:
                break
            rows.append(self.row(key))
            size += len(self.items[key]["value"])
        return 200, {"items": rows, "has-more": len(rows) < len(keys), "at-rev": self.rev}

    async def watch(self, prefix, after, wait_ms):
        until = steady() + min(wait_ms, 30000) / 1000
        while True:
            events = [row for rev, row in self.history
                      if rev > after and row["key"].startswith(prefix)]
            left = until - steady()
            if events or left <= 0:
                return 200, {"events": events, "at-rev": self.rev}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, obj):
        expected, puts = obj.get("expected", []), obj.get("puts", [])
        remove = obj.get("remove", [])
        if len(expected) + len(puts) + len(remove) > 32:
            return 400, {"reason": "more than 32 entries"}
        for put in puts:
            if len(put["value"]) * 3 // 4 - put["value"].count("=", -2) > VALUE_BYTES:
                return 400, {"reason": "value-bytes"}
        for key in [p["key"] for p in puts] + remove:
            if len(key) > 200:
                return 400, {"reason": "key"}
            if key.startswith(("op/", "servers/")):
                return 403, {}
        for row in expected:
            have = self.items[row["key"]]["revision"] if row["key"] in self.items else 0
            if have != row["revision"]:
                return 412, {"items": [self.row(r["key"]) if r["key"] in self.items else
                                       {"key": r["key"], "revision": 0} for r in expected]}
        for put in puts:
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        revision = self.apply(puts, remove)
        if self.on_txn is not None:
            self.on_txn(puts)
        return 200, {"revision": revision}


class Run:
    def __init__(self, task, number, spec):
        self.task, self.number, self.spec = task, number, spec
        self.began = steady()
        self.working_since = None  # a member of a gang works once all are present


def words_of(spec):
    """`ms=800 gang=4` -> {"ms": 800, "gang": 4}"""
    return {k: int(v) for k, v in (w.split("=") for w in spec.split(";")[0].split())}


class Minion:
    """One life of a machine."""

    def __init__(self, platform, machine, name):
        self.platform, self.machine = platform, machine
        self.id = name
        self.record = platform.record
        self.fence = 0
        self.lease_end = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.floor = {}  # task -> highest run stopped or ended here
        self.started = steady()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.entry = None
        self.state = "ready"
        self.up = True
        self.changed = asyncio.Event()

    async def start(self, port=0):
        self.server = await Server(self.handle).start(port)
        self.register()
        self.task = asyncio.ensure_future(self.live())

    def clock(self):
        return int((steady() - self.started) * 1000) + 5000

    def register(self):
        """Each heartbeat raises `seq-no`; the entry changes when more than that changes."""
        entry = {"service": self.machine.pool, "address": "127.0.0.1:%d" % self.server.port,
                 "zone": self.machine.zone, "version": "v1", "slots": 8, "state": self.state,
                 "cold-remaining-ms": 0, "capacity": self.machine.capacity,
                 "labels": self.machine.labels, "born": self.born}
        self.seq += 1
        if entry != self.entry:
            self.entry = entry
            self.platform.store.put("servers/" + self.id, json.dumps(dict(entry, **{
                "seq-no": self.seq})))

    def crash(self):
        """What runs ends with the minion; its entry stays."""
        if not self.up:
            return
        self.up = False
        self.task.cancel()
        for run in list(self.runs.values()):
            self.record("run-killed", run.task, run.number, "on", self.id)
        self.runs.clear()
        self.server.stop()

    def leave(self):
        """Its entry goes with it."""
        if self.up:
            self.crash()
            self.platform.store.apply([], ["servers/" + self.id])

    async def live(self):
        beat = steady() + 1.5
        while True:
            await asyncio.sleep(0.01)
            now = steady()
            if now > beat:
                beat = now + 1.5
                self.register()
            if self.runs and self.clock() > self.lease_end:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                if run.task in self.runs:
                    self.advance(run, now)

    def advance(self, run, now):
        words = words_of(run.spec)
        if run.working_since is None:
            members = self.platform.members(run)
            if len(members) == words["gang"]:
                for _, member in members:
                    member.working_since = now
            elif now - run.began > 3.0:
                self.end(run, "alone")
        elif words["ms"] and now - run.working_since > words["ms"] / 1000:
            for minion, member in self.platform.members(run):
                minion.end(member, "done")

    def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.last_end += 1
        self.floor[run.task] = max(self.floor.get(run.task, 0), run.number)
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.record("run-end", run.task, run.number, how, "on", self.id)
        self.changed.set()
        self.changed = asyncio.Event()
        if how not in ("done", "broken", "alone") and run.working_since is not None:
            for minion, member in self.platform.members(run):
                minion.end(member, "broken")

    def percent(self, run):
        words = words_of(run.spec)
        if run.working_since is None:
            return 0
        if not words["ms"]:
            return 100
        return min(int(100 * (steady() - run.working_since) * 1000 / words["ms"]), 100)

    async def handle(self, method, path, args, headers, body):
        if headers.get("x-medlartrack-expect-instance", self.id) != self.id:
            return 421, {}
        obj = json.loads(body) if body else {}
        if obj.get("fencing-token", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "born": self.born, "reason": "fence"}
        self.fence = obj.get("fencing-token", 0)
        base = {"clock-ms": self.clock(), "born": self.born}
        if path == "/run-start":
            reason = self.start_run(obj)
            return (409, dict(base, reason=reason)) if reason else (200, base)
        if path == "/run-stop":
            self.floor[obj["task"]] = max(self.floor.get(obj["task"], 0), obj["run-id"])
            run = self.runs.get(obj["task"])
            if run is not None and run.number <= obj["run-id"]:
                self.end(run, "stopped")
            return 200, base
        if path == "/pace":
            return 200, base
        if path == "/hold":
            return await self.hold(obj)
        return 404, {}

    def extend(self, obj):
        if "deadline-ms" in obj:
            self.lease_end = max(self.lease_end,
                                 min(obj["deadline-ms"], self.clock() + self.platform.max_hold_ms))

    def start_run(self, obj):
        task, number = obj["task"], obj["run-id"]
        if obj["deadline-ms"] <= self.clock():
            return "late"
        self.extend(obj)
        if task in self.runs and self.runs[task].number == number:
            return None
        if number <= self.floor.get(task, 0) or task in self.runs:
            return "old"
        run = Run(task, number, obj["spec"])
        if words_of(run.spec).get("gang", 1) == 1:
            run.working_since = steady()
        self.runs[task] = run
        self.platform.note_start(self, run)
        return None

    async def hold(self, obj):
        self.extend(obj)
        self.ends = [e for e in self.ends if e[0] > obj.get("last-seen", 0)]
        until = steady() + min(obj.get("wait-ms", 0), 2000) / 1000
        while not self.ends and steady() < until:
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), until - steady())
            except asyncio.TimeoutError:
                pass
        running = [[r.task, r.number, "", self.percent(r), 0] for r in self.runs.values()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ends[:500]}


class Machine:
    def __init__(self, platform, name, pool, zone, labels, capacity):
        self.platform, self.name, self.pool, self.zone = platform, name, pool, zone
        self.labels, self.capacity = labels, capacity
        self.state = "up"
        self.fence = 0
        self.lives = 0
        self.minion = None
        self.upkept = set()  # numbers of the waves whose upkeep it has begun
        self.down_for = None  # the last of them

    async def boot(self):
        self.lives += 1
        self.state = "up"
        self.minion = None
        if self.pool not in self.platform.standby:
            self.minion = Minion(self.platform, self, "i-%s-%d" % (self.name, self.lives))
            await self.minion.start()

    async def crash(self, seconds):
        """The minion crashes and starts again under its id and address."""
        old = self.minion
        self.platform.record("crash of", old.id)
        old.crash()
        await asyncio.sleep(seconds)
        self.minion = Minion(self.platform, self, old.id)
        await self.minion.start(old.server.port)
        self.platform.record(old.id, "has started again")

    def row(self):
        return {"machine": self.name, "pool": self.pool, "state": self.state, "zone": self.zone,
                "labels": self.labels, "capacity": self.capacity,
                "id": self.minion.id if self.minion is not None and self.state == "up" else ""}

    async def away(self, state, seconds):
        self.state = state
        if self.minion is not None:
            self.minion.leave()
        await asyncio.sleep(seconds)
        await self.boot()


class Platform:
    def __init__(self, record, max_hold_ms=6000, migrate_s=1.5, maintenance_s=2.0):
        self.record = record
        self.max_hold_ms, self.migrate_s, self.maintenance_s = max_hold_ms, migrate_s, maintenance_s
        self.machines = {}
        self.standby = set()
        self.starts = []  # (time, minion, task, run)
        self.upkeeps = []  # (time, machine, wave, machines of the wave that were down)
        self.on_start = None
        self.on_order = None  # function of path and object: seconds of delay of an unanswered call

    async def start(self):
        self.store = Store(self.record)
        await self.store.start()
        self.cloud = await Server(self.handle_cloud).start()

    @property
    def cloud_address(self):
        return "127.0.0.1:%d" % self.cloud.port

    async def add_machine(self, name, pool, zone, labels, capacity):
        machine = Machine(self, name, pool, zone, labels, capacity)
        self.machines[name] = machine
        await machine.boot()

    def members(self, run):
        """The runs of the same number of a run's gang, with their minions; else the run alone."""
        step = run.task.rsplit(".", 1)[0]
        out = []
        for machine in self.machines.values():
            if machine.minion is None:
                continue
            for other in machine.minion.runs.values():
                same = (other.task.rsplit(".", 1)[0] == step and other.number == run.number
                        if words_of(run.spec).get("gang", 1) > 1 else other is run)
                if same:
                    out.append((machine.minion, other))
        return out

    def note_start(self, minion, run):
        self.starts.append((steady(), minion.id, run.task, run.number))
        self.record("run-start", run.task, run.number, "on", minion.id)
        if self.on_start is not None:
            self.on_start(minion, run)

    async def handle_cloud(self, method, path, args, headers, body):
        if path == "/machines":
            return 200, {"machines": [m.row() for m in self.machines.values()], "next-token": None}
        obj = json.loads(body)
        token = int(headers.get("x-medlartrack-fencing-token", "0"))
        holder = headers.get("x-medlartrack-duty-holder", "")
        self.record("order", path, body.decode(), "by", holder, "fence", token)
        delay = self.on_order(path, obj) if self.on_order is not None else None
        if delay is not None:
            asyncio.ensure_future(self.order_late(delay, path, obj, token))
            raise Silent
        return self.order(path, obj, token)

    async def order_late(self, delay, path, obj, token):
        await asyncio.sleep(delay)
        self.record("order carried out late", path, json.dumps(obj), "fence", token,
                    "->", self.order(path, obj, token))

    def order(self, path, obj, token):
        machine = self.machines.get(obj.get("machine"))
        if machine is None:
            return 400, {}
        if token < machine.fence:
            return 409, {"reason": "fence"}
        machine.fence = token
        if path == "/machine-move":
            if machine.pool == obj["pool"]:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.pool = obj["pool"]
            asyncio.ensure_future(machine.away("moving", self.migrate_s))
            return 200, {}
        return self.upkeep(machine, obj["wave"])

    def upkeep(self, machine, number):
        text = self.store.get("op/wave/%d" % number)
        if text is None or machine.name not in json.loads(text)["machines"]:
            return 409, {"reason": "wave"}
        if number in machine.upkept:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        down = [n for n in json.loads(text)["machines"]
                if self.machines[n].state == "upkeep" and self.machines[n].down_for == number]
        machine.upkept.add(number)
        machine.down_for = number
        self.upkeeps.append((steady(), machine.name, number, down))
        self.record("upkeep begins", machine.name, "down already:", down)
        asyncio.ensure_future(machine.away("upkeep", self.maintenance_s))
        return 200, {}


class Thread:
    """Runs a platform's loop; call() runs a coroutine or a function in it."""

    def __init__(self, platform):
        self.platform = platform
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.call(platform.start())

    def call(self, what, *args):
        async def invoke():
            return what(*args)
        coroutine = what if asyncio.iscoroutine(what) else invoke()
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(60)
