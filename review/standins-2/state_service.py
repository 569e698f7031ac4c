"""Stand-in of the state service, after PROTOCOL. One listener a controller, so that a single one can be refused or delayed."""
import asyncio
import json
import time

import http1


def json_size(value):
    return len(json.dumps(value, separators=(",", ":")).encode())


class Bucket:
    """A rate limit that allows bursts worth a number of seconds."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.most, self.level, self.at = rate, rate * burst_s, rate * burst_s, time.monotonic()

    def take(self, amount=1):
        now = time.monotonic()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    def __init__(self, rps=200.0, write_rps=40.0, value_kb=32.0, txn_ops=16, log=None):
        self.keys, self.ledger, self.history, self.holds = {}, 1, [], {}
        self.next_hold = 1
        self.forgotten = 0     # revision up to which changes are no longer kept
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.changed = asyncio.Condition()
        self.log = log or (lambda *a: None)
        self.refused = set()   # names of controllers that get 503
        self.down = False
        self.hook = None       # async hook(controller, method, path, body) before a request is executed
        self.after = None      # async hook(controller, method, path, body, status, value) before the answer

    def handler(self, controller):
        async def handle(method, path, query, body):
            if self.hook:
                early = await self.hook(controller, method, path, body)
                if early is not None:
                    return early
            if self.down or controller in self.refused:
                return 503, {"error": "trouble"}
            if not self.requests.take():
                return 429, {"error": "rate"}
            status, value = await self.execute(controller, method, path, query, body)
            if self.after:
                await self.after(controller, method, path, body, status, value)
            return status, value
        return handle

    async def execute(self, controller, method, path, query, body):
        if path == "/multi":
            return await self.multi(body)
        if path.startswith("/keys/"):
            key = path[len("/keys/"):]
            if key in self.keys:
                value, stamp, hold = self.keys[key]
                return 200, {"path": key, "v": value, "stamp": stamp, "tenure": hold}
            return 404, {"ledger": self.ledger}
        if path == "/keys":
            return self.list(query)
        if path == "/watch":
            return await self.watch(controller, query)
        if path == "/holds":
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            life = body["lifeMs"] / 1000.0
            self.holds[hold] = [life, time.monotonic() + life]
            return 200, {"tenure": hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_hold(hold)
            else:
                self.holds[hold][1] = time.monotonic() + self.holds[hold][0]
            return 200, {}
        return 400, {"error": "malformed"}

    async def multi(self, body):
        guards, apply = body.get("guards") or [], body.get("apply") or []
        if len(apply) > self.txn_ops or len(guards) > 4 * self.txn_ops or json_size(body) > 65536:
            return 400, {"error": "too large"}
        for change in apply:
            if "put" in change and json_size(change["v"]) > self.value_bytes:
                return 400, {"error": "value too large"}
        if apply and not self.writes.take(len(apply)):
            return 429, {"error": "rate"}
        for change in apply:
            if change.get("tenure") is not None and change["tenure"] not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.stamp(g["path"]) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if apply:
            await self.commit(apply)
        return 200, {"ledger": self.ledger}

    def stamp(self, key):
        return self.keys[key][1] if key in self.keys else 0

    async def commit(self, apply):
        self.ledger += 1
        for change in apply:
            if "put" in change:
                self.keys[change["put"]] = (change["v"], self.ledger, change.get("tenure"))
                self.history.append((self.ledger, {"put": change["put"], "v": change["v"], "stamp": self.ledger}))
            elif change["drop"] in self.keys:
                del self.keys[change["drop"]]
                self.history.append((self.ledger, {"drop": change["drop"], "stamp": self.ledger}))
        async with self.changed:
            self.changed.notify_all()

    async def end_hold(self, hold):
        self.holds.pop(hold, None)
        drops = [{"drop": k} for k, v in self.keys.items() if v[2] == hold]
        if drops:
            await self.commit(drops)

    def list(self, query):
        prefix, after = query.get("starts", ""), query.get("after", "")
        limit = min(int(query.get("limit", 1000)), 1000)
        keys = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        rows, size = [], 0
        for key in keys[:limit]:
            value, stamp, _ = self.keys[key]
            row = {"path": key, "v": value, "stamp": stamp}
            size += json_size(row) + 1
            if rows and size > 500 * 1024:
                break
            rows.append(row)
        return 200, {"rows": rows, "hasNext": len(rows) < len(keys), "ledger": self.ledger}

    async def watch(self, controller, query):
        prefix, after = query.get("starts", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("holdMs", 0)), 60000) / 1000.0
        if len(self.history) > 10000:
            self.forgotten = self.history[-10001][0]
            del self.history[:-10000]
        if after < self.forgotten:
            return 410, {"error": "too old"}
        while True:
            silent = self.down or controller in self.refused
            events = [] if silent else [e for at, e in self.history if at > after and e.get("put", e.get("drop")).startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger": after if silent else self.ledger, "events": events}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
                except asyncio.TimeoutError:
                    pass

    async def expire(self):
        """Ends leases that were not renewed. After an outage every lease has its full time again."""
        was_down = False
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down:
                was_down = True
                continue
            if was_down:
                was_down = False
                for hold in self.holds.values():
                    hold[1] = now + hold[0]
            for hold in [h for h, (_, ends) in self.holds.items() if now > ends + 0.03]:
                await self.end_hold(hold)

    async def start(self, ports):
        for controller, port in ports.items():
            await http1.serve(port, self.handler(controller))
        return asyncio.ensure_future(self.expire())
