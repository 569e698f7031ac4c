"""Stand-in of a worker, after PROTOCOL."""
import asyncio
import random
import time

import http1
from http1 import Client, Drop


class Chore:
    def __init__(self, name, attempt, state, cause=None):
        self.name, self.attempt, self.state, self.cause, self.saved = name, attempt, state, cause, False
        self.timer = None
        self.on_machine = False

    def row(self):
        row = {"chore": self.name, "try": self.attempt, "standing": self.state}
        if self.cause:
            row["cause"] = self.cause
        if self.saved:
            row["saved"] = True
        return row


class Worker:
    def __init__(self, world, host, flavor, yard, spot):
        self.world, self.host, self.flavor, self.yard, self.spot = world, host, flavor, yard, spot
        self.port = world.free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.shift, self.tally, self.baton, self.recall = 1, 0, 0, None
        self.chores, self.images, self.results = {}, set(), set()
        self.fetches = {}         # image -> when its fetch began
        self.lease_from = None
        self.changed = asyncio.Event()
        self.ended, self.hung, self.deaf, self.mute = False, False, False, False
        self.server, self.task, self.loops = None, None, []
        self.node = random.choice(world.names)
        self.baton_change_at = 0.0
        self.orders_hook = None

    # ------------------------------------------------------------------ life
    async def run(self):
        self.lease_from = time.monotonic()
        self.server = await http1.serve(self.port, self.handle)
        self.world.log("worker", self.host, "up", self.yard)
        self.loops = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]
        await asyncio.gather(*self.loops, return_exceptions=True)

    def end(self, why):
        """The machine is gone with everything on it."""
        self.ended = True
        for chore in list(self.chores.values()):
            self.leave(chore, why)
        self.chores.clear()
        if self.server:
            self.server.close()
        for loop in self.loops:
            loop.cancel()
        if self.task:
            self.task.cancel()

    async def lease_loop(self):
        while not self.ended:
            await asyncio.sleep(0.05)
            # Also of a machine that hangs: it may resume within its lease only.
            if time.monotonic() > self.lease_from + self.world.lease_s:
                self.world.log("worker", self.host, "lease expired, shift", self.shift + 1)
                for chore in list(self.chores.values()):
                    self.leave(chore, "lease expired")
                self.chores.clear()
                self.shift += 1
                self.lease_from = time.monotonic()
                self.changed.set()

    # ------------------------------------------------------------------ reports
    def report(self):
        self.tally += 1
        return {"host": self.host, "address": self.address, "breed": self.flavor["sku"], "yard": self.yard,
                "loaners": self.spot, "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "recallS": self.recall, "chores": [c.row() for c in self.chores.values()]}

    async def report_loop(self):
        client, wait = None, 0.0
        while not self.ended:
            period = self.world.report_s * random.uniform(0.75, 1.25)
            if wait:
                await asyncio.sleep(wait)
            else:
                started = time.monotonic()
                try:
                    await asyncio.wait_for(self.changed.wait(), period)
                    await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - started)))
                except asyncio.TimeoutError:
                    pass
            self.changed.clear()
            while self.hung:
                await asyncio.sleep(0.05)
            wait = 0.0
            if client is None:
                client = Client(self.world.api[self.node])
            sent, shift = time.monotonic(), self.shift
            try:
                if self.mute:
                    raise OSError("mute")
                report = self.report()
                self.world.log("worker", self.host, "report ->", self.node, "shift", report["shift"], "tally", report["tally"], "baton",
                               report["baton"], [(c["chore"], c["try"], c.get("cause") or c["standing"]) for c in report["chores"]])
                status, _, body = await client.request("POST", "/hello", report, timeout=4.0)
                self.world.log("worker", self.host, "report <-", self.node, "tally", report["tally"], status,
                               (body or {}).get("baton") or (body or {}).get("foreman") or "")
                if self.deaf:
                    raise OSError("deaf")
                while self.hung:
                    await asyncio.sleep(0.05)
                if time.monotonic() - sent > 4.0:
                    raise OSError("late")
            except (OSError, asyncio.TimeoutError):
                self.world.log("worker", self.host, "report <-", self.node, "no answer")
                client.close()
                client, wait = None, 1.0
                self.next_node()
                continue
            if status == 200:
                if shift == self.shift and isinstance(body, dict) and body.get("baton", -1) >= self.baton:
                    self.see(body["baton"])
                    self.lease_from = max(self.lease_from, sent)
                    self.execute(body.get("orders") or [], "reply of %s" % self.node)
            else:
                client.close()
                client = None
                foreman = (body or {}).get("foreman") if status == 421 else None
                if foreman in self.world.names and foreman != self.node:
                    self.node = foreman
                    wait = random.uniform(0.01, 0.5)
                else:
                    self.next_node()
                    wait = 1.0

    def next_node(self):
        names = self.world.names
        self.node = names[(names.index(self.node) + 1) % len(names)]

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now > self.baton_change_at + self.world.lease_s / 2:
                self.baton_change_at = now
                self.changed.set()

    # ------------------------------------------------------------------ commands
    async def handle(self, method, path, query, body):
        if self.orders_hook and path == "/orders":
            await self.orders_hook(self, body)
        while self.hung:
            await asyncio.sleep(0.05)
        if self.ended or self.deaf:
            raise Drop()
        if path == "/inspect":
            return 200, self.report()
        if path == "/orders":
            if not isinstance(body, dict) or "baton" not in body or "shift" not in body:
                return 400, {"error": "malformed"}
            if body["baton"] < self.baton or body["shift"] != self.shift:
                self.world.log("worker", self.host, "orders refused", body["baton"], body["shift"])
                return 409, self.report()
            self.see(body["baton"])
            self.execute(body.get("orders") or [], "direct")
            return 200, self.report()
        return 404, {}

    def execute(self, orders, source):
        for order in orders:
            name, attempt = order["chore"], order["try"]
            self.world.log("worker", self.host, order["verb"], name, attempt, source)
            if order["verb"] == "start":
                self.start(name, attempt)
            elif order["verb"] == "halt":
                self.halt(name, attempt, order.get("windDownS", 0))
            elif order["verb"] == "clear":
                chore = self.chores.get((name, attempt))
                if chore and chore.state == "exited":
                    del self.chores[name, attempt]
        if orders:
            self.changed.set()

    def start(self, name, attempt):
        if (name, attempt) in self.chores:
            return
        job = self.world.jobs.get(name.split("/")[0])
        self.world.record_start_command(name, attempt, self)
        if job is None or int(name.split("/")[1]) >= job["chores"]:
            self.chores[name, attempt] = Chore(name, attempt, "exited", "unknown")
            return
        live = [c for c in self.chores.values() if c.state != "exited"]
        if any(c.name == name for c in live):
            self.chores[name, attempt] = Chore(name, attempt, "exited", "in_use")
            return
        specs = [self.world.jobs[c.name.split("/")[0]] for c in live] + [job]
        if sum(s["cores"] for s in specs) > self.flavor["cores"] or sum(s["memGb"] for s in specs) > self.flavor["memGb"]:
            self.chores[name, attempt] = Chore(name, attempt, "exited", "full")
            return
        chore = Chore(name, attempt, "pulling")
        self.chores[name, attempt] = chore
        chore.timer = asyncio.ensure_future(self.play(chore, job))

    async def fetch(self, job):
        """Waits for the image, which the machine fetches once for all tasks that need it."""
        image = job["bundle"]
        if image in self.images:
            return
        waiting = self.fetches.setdefault(image, [time.monotonic(), 0])
        waiting[1] += 1
        try:
            await asyncio.sleep(max(0.0, waiting[0] + job["pullGb"] / self.flavor["fetchGbPerS"] - time.monotonic()))
            self.images.add(image)
        finally:
            waiting[1] -= 1
            if waiting[1] == 0:
                self.fetches.pop(image, None)

    async def play(self, chore, job):
        await self.fetch(job)
        while self.hung:
            await asyncio.sleep(0.05)
        chore.state, chore.on_machine = "running", True
        self.world.record_on_machine(chore, self)
        self.changed.set()
        if chore.name in self.results:
            return self.exit(chore, "done")
        if job["id"] in self.world.mistaken:
            # Submitted with a mistake: fails on every machine.
            await asyncio.sleep(1.0)
            return self.exit(chore, "error")
        run_s = self.world.run_s(chore.name)
        left = run_s
        while left > 0:
            before = time.monotonic()
            await asyncio.sleep(min(left, 0.1))
            if not self.hung:
                left -= time.monotonic() - before
        if job["shape"] == "array":
            self.results.add(chore.name)
            self.world.results.add(chore.name)
            self.exit(chore, "done")

    def exit(self, chore, cause, saved=False):
        if chore.on_machine:
            chore.on_machine = False
            self.world.record_off_machine(chore, self, cause)
        chore.state, chore.cause, chore.saved = "exited", cause, saved
        self.changed.set()

    def halt(self, name, attempt, wind_down):
        chore = self.chores.get((name, attempt))
        if chore is None or chore.state == "exited" or (chore.state == "flushing" and wind_down > 0):
            return
        if chore.timer:
            chore.timer.cancel()
        job = self.world.jobs[name.split("/")[0]]
        if chore.state == "running" and job["markEveryS"] > 0 and wind_down >= job["stowS"] and wind_down > 0:
            chore.state = "flushing"
            chore.timer = asyncio.ensure_future(self.save(chore, job))
        else:
            self.exit(chore, "halted")

    async def save(self, chore, job):
        await asyncio.sleep(job["stowS"])
        self.exit(chore, "halted", saved=True)

    def leave(self, chore, why):
        if chore.timer:
            chore.timer.cancel()
        if chore.on_machine:
            chore.on_machine = False
            self.world.record_off_machine(chore, self, why)
