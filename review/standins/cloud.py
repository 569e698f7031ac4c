"""Stand-in for the cloud, after PROTOCOL "Controller nodes -> cloud"."""
import asyncio
import time
from urllib.parse import parse_qs, urlsplit

from net import serve
from store import Bucket


class Cloud:
    def __init__(self, flavors, rps, list_lag_s, capacity, boot_s, make_worker, record):
        """`capacity` maps (breed, loaners), or that with a yard, to the number of machines that can still be rented."""
        self.flavors, self.list_lag_s, self.capacity, self.boot_s = flavors, list_lag_s, capacity, boot_s
        self.make_worker, self.record = make_worker, record
        self.hires, self.machines, self.last = {}, {}, 230
        self.requests = Bucket(rps, 2.0)

    async def start(self):
        self.server, self.address = await serve(self.handle)

    async def handle(self, method, path, message):
        url = urlsplit(path)
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        if method == "GET" and url.path == "/flavors":
            return 200, {"breeds": self.flavors}
        if method == "POST" and url.path == "/machines":
            return self.rent(message)
        if method == "POST" and url.path == "/machines/release":
            for name in message["hosts"]:
                machine = self.machines.get(name)
                if machine and machine["gone_at"] is None:
                    machine["gone_at"] = time.monotonic()
                    machine["worker"].end()
                    self.record("cloud", "released " + name)
            return 200, {}
        if method == "GET" and url.path == "/machines":
            return self.list(parse_qs(url.query, keep_blank_values=True))
        return 400, {"error": "malformed"}

    def rent(self, message):
        if message["hire"] in self.hires:
            return 200, {"hosts": self.hires[message["hire"]]}
        kind = (message["breed"], message["loaners"], message["yard"])
        if kind not in self.capacity:
            kind = kind[:2]
        left = self.capacity.get(kind, 0)
        count = min(message["howMany"], 50, left)
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[kind] = left - count
        names = []
        for _ in range(count):
            self.last += 1
            name = "n-%06d" % self.last
            flavor = next(flavor for flavor in self.flavors if flavor["sku"] == message["breed"])
            worker = self.make_worker(name, flavor, message["yard"], message["loaners"])
            self.machines[name] = {"worker": worker, "rented_at": time.monotonic(), "up_at": None, "gone_at": None, "died_at": None,
                                   "breed": message["breed"], "yard": message["yard"], "loaners": message["loaners"]}
            asyncio.create_task(self.boot(name))
            names.append(name)
        self.hires[message["hire"]] = names
        self.record("cloud", "rented %s: %s" % (kind, names))
        return 200, {"hosts": names}

    def lose_power(self, name):
        self.machines[name]["died_at"] = time.monotonic()
        self.machines[name]["worker"].lose_power()

    async def boot(self, name):
        machine = self.machines[name]
        await asyncio.sleep(self.boot_s)
        if machine["gone_at"] is None:
            await machine["worker"].start()
            machine["up_at"] = time.monotonic()

    def list(self, query):
        after, limit = query.get("after", [""])[0], min(int(query.get("limit", ["500"])[0]), 500)
        at = time.monotonic() - self.list_lag_s
        rows = []
        for name in sorted(self.machines):
            machine = self.machines[name]
            gone = machine["gone_at"] is not None and machine["gone_at"] <= at
            if name > after and machine["rented_at"] <= at and not gone:
                # A machine that dies still shows as running for about 30 s.
                failed = machine["died_at"] is not None and machine["died_at"] + 30.0 <= at
                up = machine["up_at"] is not None and machine["up_at"] <= at
                rows.append({"id": name, "address": machine["worker"].address if up else "", "breed": machine["breed"],
                             "yard": machine["yard"], "loaners": machine["loaners"],
                             "standing": "failed" if failed else "running" if up else "starting", "ageS": at - machine["rented_at"]})
        return 200, {"hosts": rows[:limit], "hasNext": len(rows) > limit}
