"""Stand-in of the cloud, after PROTOCOL. One listener a controller."""
import asyncio
import random
import time

import http1
from state_service import Bucket
from worker import Worker


class Cloud:
    def __init__(self, world, flavors, rps=3.0, lag=10.0, boot=(1.0, 2.0)):
        self.world, self.flavors, self.lag, self.boot = world, flavors, lag, boot
        self.requests = Bucket(rps, burst_s=2.0)
        self.machines, self.hires, self.count, self.lists = {}, {}, 0, []
        self.down = False
        self.limits = {}       # (breed, loaners) -> how many machines of this type and kind the cloud has in a zone
        self.hook = None       # async hook(controller, method, path, body)

    def handler(self, controller):
        async def handle(method, path, query, body):
            if self.hook:
                early = await self.hook(controller, method, path, body)
                if early is not None:
                    return early
            if self.down:
                return 503, {"error": "trouble"}
            if not self.requests.take():
                return 429, {"error": "rate"}
            await asyncio.sleep(0.05)
            return self.execute(controller, method, path, query, body)
        return handle

    def execute(self, controller, method, path, query, body):
        if path == "/flavors":
            return 200, {"breeds": self.flavors}
        if path == "/machines" and method == "POST":
            return self.rent(controller, body)
        if path == "/machines/release":
            for name in body["hosts"]:
                self.remove(name, "released by %s" % controller)
            return 200, {}
        if path == "/machines":
            after, limit = query.get("after", ""), min(int(query.get("limit", 500)), 500)
            rows = [row for row in self.lagging_list() if row["id"] > after]
            return 200, {"hosts": rows[:limit], "hasNext": len(rows) > limit}
        return 400, {"error": "malformed"}

    def rent(self, controller, body):
        name = body["hire"]
        if name in self.hires:
            return 200, {"hosts": self.hires[name]}
        count = min(body["howMany"], 50)
        limit = self.limits.get((body["breed"], body["loaners"]))
        if limit is not None:
            in_use = [w for w in (m["worker"] for m in self.machines.values())
                      if (w.flavor["sku"], w.spot, w.yard) == (body["breed"], body["loaners"], body["yard"])]
            count = min(count, limit - len(in_use))
        if count <= 0:
            return 503, {"error": "no capacity"}
        flavor = next(f for f in self.flavors if f["sku"] == body["breed"])
        hosts = []
        for _ in range(count):
            host = "n-%06d" % self.count
            self.count += 1
            worker = Worker(self.world, host, flavor, body["yard"], body["loaners"])
            self.machines[host] = {"worker": worker, "at": time.monotonic(), "state": "starting"}
            worker.task = asyncio.ensure_future(self.boot_machine(host, worker))
            hosts.append(host)
        self.hires[name] = hosts
        self.world.log("cloud", "rent", controller, body["breed"], body["yard"], "spot" if body["loaners"] else "ordinary", hosts)
        return 200, {"hosts": hosts}

    async def boot_machine(self, host, worker):
        await asyncio.sleep(random.uniform(*self.boot))
        if host in self.machines:
            self.machines[host]["state"] = "running"
            await worker.run()

    def remove(self, host, why):
        machine = self.machines.pop(host, None)
        if machine:
            self.world.log("cloud", "gone", host, why)
            machine["worker"].end(why)

    def rows(self):
        now = time.monotonic()
        return [{"id": host, "address": m["worker"].address, "breed": m["worker"].flavor["sku"], "yard": m["worker"].yard,
                 "loaners": m["worker"].spot, "standing": m["state"], "ageS": now - m["at"]}
                for host, m in sorted(self.machines.items())]

    def lagging_list(self):
        until = time.monotonic() - self.lag
        older = [rows for at, rows in self.lists if at <= until]
        return older[-1] if older else []

    async def record_lists(self):
        while True:
            now = time.monotonic()
            self.lists.append((now, self.rows()))
            while self.lists and self.lists[0][0] < now - self.lag - 2:
                self.lists.pop(0)
            await asyncio.sleep(0.25)

    async def start(self, ports):
        for controller, port in ports.items():
            await http1.serve(port, self.handler(controller))
        return asyncio.ensure_future(self.record_lists())
