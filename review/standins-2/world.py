"""Three controllers as processes among stand-ins on loopback, the record of a case, and the rules of PROTOCOL as checks."""
import asyncio
import ctypes
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from cloud import Cloud
from http1 import Client
from state_service import StateService

RULE = "accepted_job_runs"
BROKEN = 10
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def end_with_parent():
    """Has the kernel end a controller when this script ends, however it ends (Linux, PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class World:
    def __init__(self, folder, report_s=1.5, lease_s=12.0, cancel_s=42.0, rps=200.0, write_rps=40.0, value_kb=32.0, txn_ops=16,
                 cloud_rps=3.0, list_lag=10.0, boot=(1.0, 2.0), flavors=None, yards=("liguanea",), teams=None, team_max=40.0):
        self.folder, self.began = folder, time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.names = ["drover-0", "drover-1", "drover-2"]
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.yards = list(yards)
        self.teams = teams or [("hydro-ops-%02d" % n, 24.0, team_max) for n in range(10)]
        self.limits = dict(rps=rps, write_rps=write_rps, value_kb=value_kb, txn_ops=txn_ops)
        self.cloud_rps, self.list_lag = cloud_rps, list_lag
        self.used_ports = set()
        self.api, self.internal = {}, {}
        self.processes, self.logs = {}, {}
        self.jobs, self.runs, self.results = {}, {}, set()
        self.mistaken = set()     # jobs that were submitted with a mistake
        self.on_machine = {}      # task -> {(host, attempt)}
        self.starts = []          # (time, task, attempt, host)
        self.start_commands = []
        self.violations = []
        self.told_cancelled = {}  # job -> time
        self.flavors = flavors or [
            flavor("bankside", 8, 32, 0.28, 0.08, 40, self.yards),
            flavor("culvert", 16, 64, 0.59, 0.18, 40, self.yards),
            flavor("floodplain", 32, 64, 1.08, 0.29, 35, self.yards)]
        self.state = StateService(rps, write_rps, value_kb, txn_ops, self.log)
        self.cloud = Cloud(self, self.flavors, cloud_rps, list_lag, boot)

    # ------------------------------------------------------------------ record
    def now(self):
        return time.monotonic() - self.began

    def log(self, *parts):
        self.record.write("%8.3f %s\n" % (self.now(), " ".join(str(p) for p in parts)))
        self.record.flush()

    def violation(self, rule, *parts):
        self.violations.append((self.now(), rule, " ".join(str(p) for p in parts)))
        self.log("BROKEN", rule, *parts)

    def record_start_command(self, name, attempt, worker):
        self.start_commands.append((self.now(), name, attempt, worker.host))

    def record_on_machine(self, chore, worker):
        now, places = self.now(), self.on_machine.setdefault(chore.name, set())
        self.log("task", chore.name, chore.attempt, "on", worker.host)
        self.starts.append((now, chore.name, chore.attempt, worker.host))
        if places:
            self.violation("ran_twice", chore.name, "starts on", worker.host, "while it is on", sorted(places))
        job = chore.name.split("/")[0]
        told = self.told_cancelled.get(job)
        if told is not None and now > told + self.cancel_s:
            self.violation("ran_cancelled", chore.name, "starts", round(now - told, 2), "s after the user was told")
        places.add((worker.host, chore.attempt))

    def record_off_machine(self, chore, worker, cause):
        self.log("task", chore.name, chore.attempt, "off", worker.host, cause)
        self.on_machine.get(chore.name, set()).discard((worker.host, chore.attempt))

    def run_s(self, name):
        return self.runs.get(name, self.runs.get(name.split("/")[0], 5.0))

    # ------------------------------------------------------------------ processes
    def free_port(self):
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            if port not in self.used_ports:
                self.used_ports.add(port)
                return port

    def settings(self, name):
        lines = ['node = "%s"' % name, 'zone = "%s"' % self.yards[0], 'api_addr = "%s"' % self.api[name],
                 'internal_addr = "%s"' % self.internal[name]]
        for peer in self.names:
            if peer != name:
                lines += ["[[peers]]", 'node = "%s"' % peer, 'zone = "%s"' % self.yards[0],
                          'peer_addr = "%s"' % self.peer_address(name, peer)]
        lines += ["[external]", 'cloud = "127.0.0.1:%d"' % self.cloud_ports[name],
                  'state = "127.0.0.1:%d"' % self.state_ports[name],
                  "[deployment]", "initial_size = 3", "zones = [%s]" % ", ".join('"%s"' % y for y in self.yards),
                  "clock_error_ms = 5.0"]
        for team, cpus, cpus_max in self.teams:
            lines += ["[[deployment.teams]]", 'name = "%s"' % team, "cpus = %s" % float(cpus),
                      "cpus_max = %s" % float(cpus_max), "gpus = 0.0", "gpus_max = 0.0"]
        lines += ["[deployment.workers]", "report_s = %s" % self.report_s, "lease_s = %s" % self.lease_s,
                  "gang_wait_s = 40.0", "gang_peer_s = 4.0", "cancel_s = %s" % self.cancel_s,
                  "[deployment.state]", "rps = %(rps)s\nwrite_rps = %(write_rps)s\nvalue_kb = %(value_kb)s\ntxn_ops = %(txn_ops)s" % self.limits,
                  "[deployment.cloud]", "rps = %s" % self.cloud_rps, "list_lag_s = %s" % self.list_lag,
                  "[deployment.machine_limits]", "core_share = 0.12", "ram_mb = 72.0", "max_connections = 1000"]
        return "\n".join(lines) + "\n"

    def peer_address(self, name, peer):
        return self.internal[peer]

    async def prepare(self):
        for name in self.names:
            self.api[name] = "127.0.0.1:%d" % self.free_port()
            self.internal[name] = "127.0.0.1:%d" % self.free_port()
        self.state_ports = {name: self.free_port() for name in self.names}
        self.cloud_ports = {name: self.free_port() for name in self.names}
        self.background = [await self.state.start(self.state_ports), await self.cloud.start(self.cloud_ports)]
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            run = re.search(r'^run *= *"(.*)"', file.read(), re.M).group(1).split()
        run[0] = os.path.join(ROOT, run[0])
        if not os.access(run[0], os.X_OK):
            raise CannotRun("the program is not built: " + run[0])
        self.command = run

    def start(self, name):
        path = os.path.join(self.temp, name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(name))
        log = open(os.path.join(self.temp, name + ".log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[name] = subprocess.Popen(self.command + [path], stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent,
                                                env=environment, cwd=self.temp)
        log.close()
        self.log("controller", name, "started")

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()
        self.log("controller", name, "killed")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.log("controller", name, signal.Signals(number).name)

    async def wait_up(self, names=None, timeout=20.0):
        until = time.monotonic() + timeout
        for name in names or self.names:
            while True:
                try:
                    status, _, _ = await Client(self.api[name]).request("GET", "/up", timeout=1.0)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > until:
                    raise CannotRun(name + " does not answer /up with 200")
                await asyncio.sleep(0.1)
            self.log("controller", name, "serves users")

    def leader(self):
        row = self.state.keys.get("hollowswitch/leader")
        return row[0].get("node") if row else None

    async def watch_leader(self):
        known = None
        self.leader_changes = []
        while True:
            leader = self.leader()
            if leader != known:
                known = leader
                self.leader_changes.append((self.now(), leader))
                self.log("leader", leader)
            await asyncio.sleep(0.02)

    async def wait_leader(self, timeout=15.0):
        until = time.monotonic() + timeout
        while self.leader() is None:
            if time.monotonic() > until:
                raise CannotRun("no leader")
            await asyncio.sleep(0.02)
        return self.leader()

    # ------------------------------------------------------------------ users
    def job(self, number, chores=1, shape="array", run_s=5.0, cores=2.0, mem=2.9, crew="hydro-ops-00", rank="standard",
            lane="rating-curve", loaners=False, **more):
        spec = {"id": "wk-%06d" % number, "lane": lane, "crew": crew, "shape": shape, "rank": rank, "chores": chores,
                "cores": cores, "cards": 0.0, "memGb": mem, "bundle": "img-01", "pullGb": 0.1, "breeds": None, "yard": None,
                "together": False, "scatter": False, "loaners": loaners, "reckonS": run_s if shape == "array" else 0.0,
                "markEveryS": 0.0, "stowS": 0.0, "dueS": None}
        spec.update(more)
        self.jobs[spec["id"]] = spec
        self.runs[spec["id"]] = run_s if shape == "array" else 1e9
        return spec

    async def call(self, name, method, path, value=None, timeout=5.0):
        """One request of a user to a node. Returns status and body, or (None, None) without an answer."""
        self.retry_after = 1.0
        self.log("user ->", name, method, path, value["id"] if value else "")
        client = Client(self.api[name])
        try:
            status, fields, body = await client.request(method, path, value, timeout=timeout)
        except (OSError, asyncio.TimeoutError) as error:
            self.log("user <-", name, method, path, "no answer", type(error).__name__)
            return None, None
        finally:
            client.close()
        self.retry_after = max(1.0, min(30.0, float(fields.get("retry-after", 1))))
        self.log("user <-", name, method, path, status, body, ("retry-after " + fields["retry-after"]) if "retry-after" in fields else "")
        return status, body

    async def submit(self, spec, name=None, for_s=60.0):
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            status, body = await self.call(name or random.choice(self.names), "POST", "/v1/jobs", spec)
            if status in (200, 201, 400, 422):
                return status, body
            await asyncio.sleep(self.retry_after)
        return None, None

    async def cancel(self, job, name=None, for_s=60.0):
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            status, body = await self.call(name or random.choice(self.names), "POST", "/v1/jobs/%s/abort" % job)
            if status == 200:
                if body["standing"] == "cancelled":
                    self.told_cancelled.setdefault(job, self.now())
                return status, body
            await asyncio.sleep(self.retry_after)
        return None, None

    async def poll(self, job, name=None):
        return await self.call(name or random.choice(self.names), "GET", "/v1/jobs/%s" % job, timeout=2.0)

    async def wait_for(self, what, condition, timeout):
        until = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.05)
        self.log("seen:", what)
        return True

    # ------------------------------------------------------------------ end
    def check_processes(self):
        for name, process in self.processes.items():
            if process.poll() is not None and process.returncode != -9:
                self.violation("crash", name, "ended by itself with", process.returncode)

    def finish(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def flavor(sku, cores, mem, price, low, startup, yards, cards=0):
    return {"sku": sku, "cores": cores, "cards": cards, "memGb": mem, "cacheGb": 50, "fetchGbPerS": 0.15, "price": price,
            "lowPrice": low, "startupS": startup, "yards": list(yards)}


def main(case, folder, limit_s=116.0, **options):
    """Runs `case(world, trouble)` and exits with `BROKEN` if the claimed rule was broken, 0 if not, 2 if the case could not run
    or another rule was broken. `run.sh` maps `BROKEN` to 1, so that no error of the script itself can be taken for it."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        world = World(folder, **options)
        world.log("trouble:", trouble)
        code = 0
        # Ends the controllers also if the script is told to end.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: (world.finish(), os._exit(2)))
        try:
            await world.prepare()
            world.background.append(asyncio.ensure_future(world.watch_leader()))
            try:
                await asyncio.wait_for(case(world, trouble), limit_s)
            except asyncio.TimeoutError:
                world.log("time is over")
                raise CannotRun("the case took too long")
            world.check_processes()
            claimed = [v for v in world.violations if v[1] == RULE]
            code = BROKEN if claimed else 2 if world.violations else 0
        except CannotRun as error:
            world.log("cannot run:", error)
            print("cannot run:", error)
            code = 2
        except Exception as error:
            import traceback
            world.log("cannot run:", traceback.format_exc())
            traceback.print_exc()
            code = 2
        finally:
            world.finish()
        for at, rule, text in world.violations:
            print("%8.3f broken: %s: %s" % (at, rule, text))
        print("exit code", code)
        world.log("exit code", code)
        world.record.close()
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(play())
