"""Starts a small deployment on loopback addresses: the platform's stand-in and the daemons."""
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

from platform3 import Platform, Record, Thread, steady

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "daemon", "medlartrackd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = {"name": "r-quotes", "host": "pule25.example", "prefix": "/puxa400/",
         "kind": "non_idempotent", "timeout-ms": 3000, "target-duration-ms": 600, "priority": 0,
         "service": "quotes", "max-attempts": 4, "stretch": 1.6}
CAPACITY = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}


class CannotRun(Exception):
    pass


def settings(name, zone, ip, platform, **more):
    """As deploy/settings.json, with free ports."""
    out = {"name": name, "zone": zone, "listen": ip + ":0", "ready_listen": ip + ":0", "ip": ip,
           "peer_port": 0, "cores": 0.25, "link_mbps": 1000.0,
           "machines": platform.cloud_address, "store": platform.store.address,
           "store_wait": True, "second_tries": True,
           "bounds": {"max_hold_ms": 6000, "status_s": 120, "grace_s": 6, "move_s": 1.5,
                      "stop_grace_ms": 200, "apply_ms": 2000, "rollback_ms": 250, "upkeep_s": 2,
                      "remote_factor": 2}}
    out.update(more)
    return out


class Daemon:
    """One process of the deploy file's role."""

    def __init__(self, folder, config):
        self.name, self.ip = config["name"], config["ip"]
        self.path = os.path.join(folder, self.name + ".json")
        self.log_path = os.path.join(folder, self.name + ".log")
        with open(self.path, "w") as f:
            json.dump(config, f)
        self.process = None
        self.start()

    def start(self):
        self.log = open(self.log_path, "ab")
        offset = os.path.getsize(self.log_path)
        self.process = subprocess.Popen([DAEMON, "--settings", self.path], stdout=self.log,
                                        stderr=subprocess.STDOUT, cwd=ROOT)
        until = steady() + 10
        while steady() < until:
            with open(self.log_path, "rb") as f:
                f.seek(offset)
                found = re.search(rb'"FLEET_STARTED".*?"port":(\d+),"ready_port":(\d+)', f.read())
            if found:
                self.port, self.ready_port = int(found.group(1)), int(found.group(2))
                return
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise CannotRun("the daemon did not start: " + self.name)

    def events(self, name):
        with open(self.log_path, "rb") as f:
            return [line.decode(errors="replace") for line in f
                    if b'"name":"' + name.encode() + b'"' in line]

    def connect(self, timeout=8):
        return http.client.HTTPConnection(self.ip, self.port, timeout=timeout)

    def call(self, method, path, body=None, timeout=8, headers=None):
        """Returns status and object; status 0 for no answer."""
        connection = self.connect(timeout)
        try:
            return exchange(connection, method, path, body, headers)
        finally:
            connection.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def exchange(connection, method, path, body=None, headers=None):
    """Returns status and object; status 0 for no answer."""
    all_headers = {"Host": ROUTE["host"], "Content-Type": "application/json",
                   "X-Medlartrack-Deadline-Ms": "3000"}
    all_headers.update(headers or {})
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None,
                           all_headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, (json.loads(text) if text[:1] == b"{" else {})
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, {"error": repr(error)}


class Case:
    """A deployment of one pool, `quotes`."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="medlartrack-case-")
        self.daemons = []
        self.platform = Platform(self.record)
        self.thread = Thread(self.platform)
        self.store = self.platform.store

    def configure(self, routes=(ROUTE,), services=("quotes",), standby=()):
        self.platform.standby = set(standby)
        config = {"version": 7, "routes": list(routes),
                  "services": [{"name": s, "health-path": "/health", "max-conns": 64,
                                "protocol": "h1", "tls": False, "admission-check": False,
                                "standby": s in standby} for s in services],
                  "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                             "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        self.thread.call(self.store.put, "op/config", json.dumps(config))

    def add_machine(self, name, pool="quotes", zone="gyor-a", labels=("a", "r1-1"),
                    capacity=CAPACITY):
        self.thread.call(self.platform.add_machine(name, pool, zone, list(labels), dict(capacity)))

    def add_daemon(self, zone="gyor-a", **more):
        n = len(self.daemons) + 1
        daemon = Daemon(self.temporary.name,
                        settings("edge-%s-%d" % (zone, n), zone, "127.0.0.%d" % (10 + n),
                                 self.platform, **more))
        self.daemons.append(daemon)
        self.record("started", daemon.name, "port", daemon.port)
        return daemon

    def wait_for(self, what, seconds, why):
        until = steady() + seconds
        while steady() < until:
            result = what()
            if result:
                return result
            time.sleep(0.01)
        raise CannotRun("not reached in time: " + why)

    def wait_ready(self):
        """Until a leader has loaded the pool and serves a job."""
        self.wait_for(lambda: any(d.events("POOL_LOADED") for d in self.daemons), 15, "a leader")
        self.wait_for(lambda: self.daemons[0].call("GET", "/puxa400/")[0] == 200, 10, "ready")

    def leader(self, leadership):
        """Returns the daemon whose address the key of the leadership names."""
        address = self.thread.call(self.store.get, "medlartrack/cluster/leadership/" + leadership)
        for daemon in self.daemons:
            if address and address.split(":")[0] == daemon.ip:
                return daemon
        return None

    def submit(self, daemon, job_id, spec, steps, **more):
        answer = daemon.call("POST", "/puxa400/" + job_id, {"spec": spec, "steps": steps, **more})
        self.record("POST", job_id, "to", daemon.name, "->", answer[0])
        return answer

    def state(self, daemon, job_id):
        status, obj = daemon.call("GET", "/puxa400/" + job_id)
        return obj.get("state") if status == 200 else status

    def end(self):
        for daemon in self.daemons:
            daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                with open(daemon.log_path, "rb") as f, \
                     open(os.path.join(os.environ["KEEP_LOGS"], daemon.name + ".log"), "wb") as o:
                    o.write(f.read())
        self.temporary.cleanup()


def main(folder, run):
    """Runs the case; `run` returns a text that says how the rule was broken, or None."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    code, case = 2, None
    try:
        case = Case(folder)
        broken = run(case)
        code = 1 if broken else 0
        case.record("result:", "broken: " + broken if broken else "held")
        print("broken: " + broken if broken else "held")
    except CannotRun as error:
        case.record("could not run:", error)
        print("could not run:", error)
    except BaseException:  # also a fault of the script: it says nothing about the rule
        traceback.print_exc()
    finally:
        if case is not None:
            case.end()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
