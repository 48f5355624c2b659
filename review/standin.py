#!/usr/bin/env python3
"""Stand-ins of the users' platform for the cases in review/, after PROTOCOL.md.

    standin.py platform PORTFILE           the metadata store and the list of machines
    standin.py advisor PORTFILE GOOD       the service that knows which minions may run a step
    standin.py minion STORE SERVICE ID MACHINE PORT OPTIONS
                                           one life of a minion

The store writes every job start, end and crash that a minion tells it to a list, which a case reads
at the end. Only the standard library is used.
"""
import asyncio
import base64
import bisect
import json
import os
import sys
import time
import urllib.parse

MAX_HOLD_MS = 6000
HEARTBEAT_MS = 1500
STORE_DELAY_S = 0.004


def now_ms():
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1000


# ---- HTTP ----


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def serve(handle, port, host="127.0.0.1"):
    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, answer = await handle(method, url.path, query, headers, body)
                text = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text))
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, backlog=256)


async def call(address, method, path, body=None, timeout=2.0):
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        text = json.dumps(body).encode() if body is not None else b""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(text)}\r\n\r\n"
            .encode() + text
        )
        first, _, answer = await read_message(reader)
        writer.close()
        return int(first.split(" ")[1]), json.loads(answer) if answer else {}

    return await asyncio.wait_for(run(), timeout)


# ---- platform ----


class Store:
    def __init__(self):
        self.items = {}
        self.changes = []  # (revision, event)
        self.revisions = []
        self.revision = 100
        self.leases = {}  # id -> [ttl_ms, until_ms]
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.record = []  # what minions report to the case
        self.machines = {}

    def event(self, key, item):
        self.changes.append(item)
        self.revisions.append(self.revision)

    def put(self, key, value, lease):
        before = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created-rev": before["created-rev"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.event(key, item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.event(key, {"key": key, "revision": self.revision, "deleted": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [i for i, (_, until) in self.leases.items() if until < now_ms()]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            await self.notify()

    async def txn(self, body):
        bad = []
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                bad.append(row["key"])
        if bad:
            rows = [self.items.get(r["key"], {"key": r["key"], "revision": 0})
                    for r in body["expected"]]
            return 412, {"items": rows, "at-rev": self.revision}
        for row in body.get("puts", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("puts", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        await self.notify()
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = now_ms() + int(query.get("wait-ms", "0"))
        while True:
            first = bisect.bisect_right(self.revisions, after)
            events = [e for e in self.changes[first:] if e["key"].startswith(prefix)]
            left = (until - now_ms()) / 1000
            if events or left <= 0:
                return 200, {"events": events, "at-rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def operator(self, path, query, body):
        """Calls of the case and of the minions, which write to the store by ways of their own."""
        key = query.get("key", "")
        if path == "/test/put":
            self.revision += 1
            self.put(key, base64.b64encode(body).decode(), 0)
            await self.notify()
        elif path == "/test/remove":
            self.revision += 1
            self.remove(key)
            await self.notify()
        elif path == "/test/record":
            self.record.extend(json.loads(body))
        elif path == "/test/machine":
            self.machines[query["machine"]] = json.loads(body)
        elif path == "/test/dump":
            return 200, {"record": self.record}
        return 200, {}

    async def handle(self, method, path, query, headers, body):
        if path.startswith("/test/"):
            return await self.operator(path, query, body)
        await asyncio.sleep(STORE_DELAY_S)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            at = {"at-rev": self.revision}
            return (200, dict(item, **at)) if item else (404, at)
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has-more": len(keys) > 500, "at-rev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.txn(json.loads(body))
        if path == "/kv-lease":
            ttl = max(json.loads(body)["ttl-ms"], 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, now_ms() + ttl]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = now_ms() + self.leases[lease][0]
            return 200, {"lease": lease, "ttl-ms": self.leases[lease][0]}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        if path == "/machines":
            return 200, {"machines": list(self.machines.values()), "next-token": None}
        if path in ("/machine-move", "/machine-upkeep"):
            # No pool of these cases has machines to give, and no wave is asked for.
            return 409, {"reason": "busy"}
        return 404, {}


def write_port(port_file, server):
    with open(port_file + ".new", "w", encoding="ascii") as out:
        out.write(str(server.sockets[0].getsockname()[1]))
    os.rename(port_file + ".new", port_file)


async def platform(port_file):
    store = Store()
    server = await serve(store.handle, 0)
    asyncio.ensure_future(store.expire_leases())
    write_port(port_file, server)
    await server.serve_forever()


# ---- advice ----


class Advisor:
    """Answers one call at a time. GOOD: JSON object of job id -> minions that may run its steps."""

    DECISION_MS, WORKER_MS, VALIDITY_MS = 5, 0.5, 8000

    def __init__(self, good):
        self.good = json.loads(good)
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.asked = {}  # step -> [number of calls, minions named so far]

    async def handle(self, method, path, query, headers, body):
        if path == "/test/asked":
            return 200, {step: [n, sorted(named)] for step, (n, named) in self.asked.items()}
        body = json.loads(body)
        if self.waiting >= 32:
            return 429, {}
        self.waiting += 1
        async with self.turn:
            await asyncio.sleep((self.DECISION_MS + self.WORKER_MS * len(body["workers"])) / 1000)
        self.waiting -= 1
        calls, named = self.asked.get(body["step"], (0, set()))
        self.asked[body["step"]] = (calls + 1, named | set(body["workers"]))
        good = self.good.get(body["step"].split(".")[0], [])
        return 200, {"good": [[w, f"ticket-{body['step']}-{w}"] for w in body["workers"]
                              if w in good], "validity-ms": self.VALIDITY_MS}


async def advisor(port_file, good):
    server = await serve(Advisor(good).handle, 0)
    write_port(port_file, server)
    await server.serve_forever()


# ---- minion ----


class Minion:
    def __init__(self, store, service, name, machine, port, options):
        self.store, self.service, self.name, self.machine = store, service, name, machine
        self.port = port
        self.labels = options["labels"]
        self.zone = options.get("zone", "gyor-a")
        self.capacity = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
        self.stop_ms = options.get("stop_ms", 100)
        self.fail = options.get("fail", 0)  # runs up to this number fail by the minion's fault
        self.born = int(time.time() * 1000)
        self.began = now_ms()
        self.runs = {}  # task -> [run, started_ms, work_ms, stop_at or None, lasting]
        self.ends = []
        self.highest = {}  # task -> highest run that was stopped or has ended here
        self.n_ended = 0
        self.token = 0
        self.lease_end = 0
        self.seq = 0
        self.ended = asyncio.Event()
        self.news = []

    def clock(self):
        return int(now_ms() - self.began)

    def tell(self, what, task, run, **more):
        self.news.append(dict(at=now_ms(), what=what, task=task, run=run, minion=self.name,
                              machine=self.machine, born=self.born, labels=self.labels, **more))

    async def send_news(self):
        """Each start and end reaches the case within a few ms, so that a kill loses none."""
        while True:
            await asyncio.sleep(0.005)
            if self.news:
                rows, self.news = self.news, []
                await call(self.store, "POST", "/test/record", rows)

    async def publish(self):
        self.seq += 1
        entry = {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
            "capacity": self.capacity, "labels": self.labels, "clock-ms": self.clock(),
            "seq-no": self.seq, "born": self.born,
        }
        await call(self.store, "POST", f"/test/put?key=servers/{self.name}", entry)

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        self.n_ended += 1
        self.ends.append([self.n_ended, task, run, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.tell("end", task, run, how=how)
        self.ended.set()

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = now_ms()
            lapsed = self.lease_end and self.clock() > self.lease_end
            for task, (_, started, work_ms, stop_at, lasting) in list(self.runs.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif stop_at is not None and now >= stop_at:
                    self.end(task, "stopped")
                elif not lasting and now - started >= work_ms:
                    self.end(task, "failed" if self.runs[task][0] <= self.fail else "done")

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            await self.publish()

    def extend(self, body):
        if body.get("deadline-ms", 0) > 0:
            self.lease_end = max(self.lease_end,
                                 min(body["deadline-ms"], self.clock() + MAX_HOLD_MS))

    def answer(self, **more):
        return dict({"clock-ms": self.clock(), "born": self.born}, **more)

    def start(self, body):
        task, run = body["task"], body["run-id"]
        at_work = self.runs.get(task)
        self.extend(body)
        if at_work and at_work[0] == run:
            return 200, self.answer()
        if run <= self.highest.get(task, 0) or (at_work and run < at_work[0]):
            return 409, self.answer(reason="old")
        if body["deadline-ms"] < self.clock():
            return 409, self.answer(reason="late")
        spec = json.loads(body["spec"])
        self.runs[task] = [run, now_ms(), spec["work_ms"], None, spec.get("lasting", False)]
        self.tell("start", task, run)
        return 200, self.answer()

    def stop(self, body):
        task, run = body["task"], body["run-id"]
        at_work = self.runs.get(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        if at_work and at_work[0] <= run and at_work[3] is None:
            at_work[3] = now_ms() + self.stop_ms
            self.tell("stop", task, run)
        return 200, self.answer()

    async def hold(self, body):
        self.extend(body)
        self.ends = [e for e in self.ends if e[0] > body["last-seen"]]
        until = now_ms() + body.get("wait-ms", 0)
        while not self.ends and now_ms() < until:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), (until - now_ms()) / 1000)
            except asyncio.TimeoutError:
                break
        rows = []
        for task, (run, started, work_ms, _, lasting) in self.runs.items():
            percent = min(int(100 * (now_ms() - started) / work_ms), 100 if lasting else 99)
            rows.append([task, run, "", percent, 0])
        return 200, self.answer(running=rows, ended=self.ends[:500])

    async def handle(self, method, path, query, headers, body):
        body = json.loads(body) if body else {}
        if headers.get("x-medlartrack-expect-instance", self.name) != self.name:
            return 421, {}
        if path in ("/run-start", "/run-stop", "/hold", "/pace"):
            token = body.get("fencing-token", 0)
            if token < self.token:
                return 409, self.answer(reason="fence")
            self.token = token
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            return 200, self.answer()
        return 200, {}


async def minion(store, service, name, machine, port, options):
    life = Minion(store, service, name, machine, int(port), json.loads(options))
    server = await serve(life.handle, life.port)
    life.port = server.sockets[0].getsockname()[1]
    await life.publish()
    await call(store, "POST", f"/test/machine?machine={machine}", {
        "machine": machine, "pool": service, "state": "up", "zone": life.zone,
        "labels": life.labels, "capacity": life.capacity, "id": name})
    await call(store, "POST", "/test/record", [
        dict(at=now_ms(), what="up", minion=name, machine=machine, born=life.born,
             port=life.port, pid=os.getpid(), labels=life.labels)])
    for job in (life.heartbeat(), life.tick(), life.send_news()):
        asyncio.ensure_future(job)
    await server.serve_forever()


if __name__ == "__main__":
    if sys.argv[1] == "platform":
        asyncio.run(platform(*sys.argv[2:]))
    elif sys.argv[1] == "advisor":
        asyncio.run(advisor(*sys.argv[2:]))
    else:
        asyncio.run(minion(*sys.argv[2:]))
