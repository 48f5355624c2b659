"""What the cases share: starts the daemons and the stand-ins, calls them, keeps the record.

The daemons are started by the deploy file's command in the repository's root, with settings that
the deploy file's template gives for kovacs-rendeles, except for names, addresses and free ports.
"""
import http.client
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
STANDIN = os.path.join(HERE, "standin.py")
HOST = "orders.example"
BOUNDS = {"max_hold_ms": 6000, "status_s": 120, "grace_s": 6, "move_s": 1.5, "stop_grace_ms": 200,
          "apply_ms": 2000, "upkeep_s": 2, "remote_factor": 2}


class CannotRun(Exception):
    pass


def now_ms():
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1000


class Case:
    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = now_ms()
        self.work = tempfile.mkdtemp(prefix="review-")
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.processes = []
        self.daemons = {}  # name -> (process, front port)
        self.minions = {}  # machine -> dict
        self.store = None
        self.advisor = None
        self.news = []

    # -- record --

    def note(self, text):
        line = f"{(now_ms() - self.began) / 1000:8.3f} {text}"
        self.out.write(line + "\n")
        self.out.flush()
        print(line)

    # -- processes --

    def spawn(self, name, args, log=None):
        with open(os.path.join(self.work, log or name + ".log"), "ab") as out:
            process = subprocess.Popen(args, cwd=ROOT, stdout=out, stderr=out,
                                       stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)
        self.out.close()

    def start_standin(self, mode, *args):
        """Returns its address."""
        port_file = os.path.join(self.work, mode + ".port")
        self.spawn(mode, [sys.executable, STANDIN, mode, port_file, *args])
        for _ in range(100):
            if os.path.exists(port_file):
                with open(port_file, encoding="ascii") as text:
                    return "127.0.0.1:" + text.read()
            time.sleep(0.05)
        raise CannotRun(f"the stand-in {mode} did not start")

    def start_platform(self):
        self.store = self.start_standin("platform")

    def start_advisor(self, good):
        self.advisor = self.start_standin("advisor", json.dumps(good))

    def start_minion(self, machine, service, name, port=0, **options):
        process = self.spawn(name, [sys.executable, STANDIN, "minion", self.store, service, name,
                                    machine, str(port), json.dumps(options)])
        self.minions[machine] = {"process": process, "name": name, "service": service,
                                 "port": port, "options": options}

    def start_daemon(self, name, zone):
        path = os.path.join(self.work, name + ".json")
        settings = {"name": name, "zone": zone, "listen": "127.0.0.1:0",
                    "ready_listen": "127.0.0.1:0", "ip": "127.0.0.1", "peer_port": 0,
                    "metrics_port": 0, "cores": 0.25, "link_mbps": 1000.0, "machines": self.store,
                    "store": self.store, "store_wait": True, "second_tries": True,
                    "bounds": BOUNDS}
        if self.advisor is not None:
            settings["advisor"] = self.advisor
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        log = os.path.join(self.work, name + ".log")
        before = os.path.getsize(log) if os.path.exists(log) else 0
        process = self.spawn(name, ["target/daemon/medlartrackd", "--settings", path])
        for _ in range(100):
            with open(log, encoding="utf-8", errors="replace") as text:
                text.seek(before)
                found = re.search(r'"name":"FLEET_STARTED".*?"port":(\d+)', text.read())
            if found:
                self.daemons[name] = (process, int(found.group(1)))
                return
            if process.poll() is not None:
                break
            time.sleep(0.05)
        raise CannotRun(f"{name} did not start")

    # -- calls --

    @staticmethod
    def call(address, method, path, body=None, headers=None, timeout=3.0):
        """Returns status and body; status 0 without an answer."""
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def ask(self, daemon, method, path, body=None):
        return self.call(f"127.0.0.1:{self.daemons[daemon][1]}", method, path, body,
                         {"Host": HOST, "Content-Type": "application/json",
                          "X-Medlartrack-Deadline-Ms": "3000"})

    def submit(self, prefix, job, body, tries=5, quiet=False):
        """Hands a job in as a requester does: with retries at the other daemons. Returns the last
        status."""
        text = json.dumps(body)
        names = list(self.daemons)
        status = 0
        for i in range(tries):
            status, _ = self.ask(names[i % len(names)], "POST", prefix + job, text)
            if not quiet or status != 200:
                self.note(f"POST {prefix}{job} at {names[i % len(names)]}: {status}")
            if status == 200 or status == 409:
                break
            time.sleep(0.3)
        return status

    def state(self, prefix, job):
        """The state that each daemon gives."""
        out = {}
        for name in self.daemons:
            status, text = self.ask(name, "GET", prefix + job)
            out[name] = json.loads(text).get("state") if status == 200 else status
        return out

    def put(self, key, value):
        status, _ = self.call(self.store, "POST", f"/test/put?key={key}", json.dumps(value))
        if status != 200:
            raise CannotRun(f"the store's stand-in answers {status}")

    def configure(self, version, routes, services):
        """Writes op/config as the operator does."""
        self.put("op/config", {"version": version, "routes": routes, "limits": {},
                               "services": [{"name": s, "standby": False} for s in services]})
        self.note(f"op/config: version {version}, routes " + ", ".join(
            f"{r['prefix']} -> {r['service']} (max-attempts {r['max-attempts']})" for r in routes))

    @staticmethod
    def route(name, prefix, service, attempts=4):
        return {"name": name, "host": HOST, "prefix": prefix, "service": service, "priority": 0,
                "max-attempts": attempts, "stretch": 1.6, "target-duration-ms": 600}

    def set_machine(self, machine, **fields):
        m = self.minions[machine]
        row = {"machine": machine, "pool": m["service"], "state": "up", "zone": "gyor-a",
               "labels": m["options"]["labels"], "id": m["name"],
               "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0}}
        self.call(self.store, "POST", f"/test/machine?machine={machine}",
                  json.dumps(dict(row, **fields)))

    def kill_minion(self, machine):
        m = self.minions[machine]
        m["process"].kill()
        m["process"].wait()
        at = now_ms()
        self.news.append(dict(at=at, what="killed", minion=m["name"], machine=machine))
        self.set_machine(machine, state="down", id="")
        self.note(f"SIGKILL: minion {m['name']} on {machine}")
        return at

    # -- what ran --

    def history(self):
        """All that the minions have told, and the kills, by time."""
        status, text = self.call(self.store, "GET", "/test/dump")
        if status != 200:
            raise CannotRun("the platform's stand-in is gone")
        return sorted(json.loads(text)["record"] + self.news, key=lambda row: row["at"])

    def runs(self):
        """Each run of a work unit: task, run, minion, machine, born, from, to, how. A kill ends
        all runs of the life that was killed; 'to' is None for a run that goes on."""
        out, open_runs = [], {}
        for row in self.history():
            if row["what"] == "up":
                m = self.minions.get(row["machine"])
                if m is not None and m["name"] == row["minion"]:
                    m["port"] = row["port"]
            elif row["what"] == "start":
                run = dict(task=row["task"], run=row["run"], minion=row["minion"],
                           machine=row["machine"], born=row["born"], labels=row["labels"],
                           begin=row["at"], to=None, how="at work", stop=None)
                out.append(run)
                open_runs[(row["machine"], row["task"])] = run
            elif row["what"] == "stop":
                run = open_runs.get((row["machine"], row["task"]))
                if run is not None:
                    run["stop"] = row["at"]
            elif row["what"] == "end":
                run = open_runs.pop((row["machine"], row["task"]), None)
                if run is not None:
                    run["to"], run["how"] = row["at"], row["how"]
            elif row["what"] == "killed":
                for key in [k for k in open_runs if k[0] == row["machine"]]:
                    run = open_runs.pop(key)
                    run["to"], run["how"] = row["at"], "lost with its minion"
        return out

    def time(self, at):
        return f"{(at - self.began) / 1000:.3f}" if at is not None else "..."

    def describe(self, run):
        return (f"{run['task']} run {run['run']} on {run['minion']} ({run['machine']}, born "
                f"{run['born']}): {self.time(run['begin'])} to {self.time(run['to'])}, {run['how']}")

    def wait_until_serving(self, prefix, seconds=15):
        """Returns once every daemon serves the queue."""
        end = now_ms() + 1000 * seconds
        while now_ms() < end:
            if all(self.ask(d, "GET", prefix)[0] == 200 for d in self.daemons):
                return
            time.sleep(0.1)
        raise CannotRun(f"the daemons do not serve {prefix}")

    def leader(self, pool):
        """The name of the daemon that leads the pool, by the daemons' logs."""
        found = {}
        for name in self.daemons:
            with open(os.path.join(self.work, name + ".log"), encoding="utf-8",
                      errors="replace") as text:
                for line in text:
                    row = re.search(rf'"at":([\d.]+).*"LEADERSHIP_GAINED","leadership":"{pool}"', line)
                    if row:
                        found[float(row.group(1))] = name
        return found[max(found)] if found else None


def run(folder, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    case = Case(folder)
    result = 2
    try:
        if not os.path.exists(os.path.join(ROOT, "target/daemon/medlartrackd")):
            raise CannotRun("target/daemon/medlartrackd is missing: run the deploy file's build")
        result = 1 if play(case) else 0
        case.note("the rule was broken" if result else "the rule held")
    except CannotRun as error:
        case.note(f"cannot run: {error}")
    finally:
        case.close()
    sys.exit(result)
