"""Stand-in for the state service. Each controller has a port of its own, so that faults can apply to one controller alone."""
import asyncio
import time

import wire


class Store:
    def __init__(self):
        self.entries = {}          # key -> (value, stamp, hold)
        self.era = 1
        self.news = []             # (era, change)
        self.holds = {}            # id -> [life in seconds, end]
        self.next_hold = 1
        self.changed = asyncio.Condition()
        self.refused = set()       # controllers that get 503; their open watches wait
        self.outage = False
        self.on_commit = None      # called with (node, body, answer) of each transaction that was executed

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            await self.expire()

    async def expire(self):
        if self.outage:
            return
        now = time.monotonic()
        ended = [hold for hold, (_, end) in self.holds.items() if end <= now]
        for hold in ended:
            await self.end_hold(hold)

    async def end_hold(self, hold):
        self.holds.pop(hold, None)
        keys = [key for key, entry in self.entries.items() if entry[2] == hold]
        if keys:
            self.era += 1
            for key in keys:
                self.drop(key)
            await self.notify()

    def drop(self, key):
        if self.entries.pop(key, None) is not None:
            self.news.append((self.era, {"drop": key, "stamp": self.era}))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def end_outage(self):
        self.outage = False
        for hold in self.holds.values():
            hold[1] = time.monotonic() + hold[0]

    def unavailable(self, node):
        return self.outage or node in self.refused

    def handler(self, node):
        async def handle(method, path, query, body):
            if path == "/follow":
                return await self.follow(node, query)
            if self.unavailable(node):
                return 503, {"error": "trouble"}
            await asyncio.sleep(0.003)
            await self.expire()
            if path == "/commit":
                answer = await self.commit(body)
                if self.on_commit is not None:
                    self.on_commit(node, body, answer)
                return answer
            if path == "/keys":
                return self.list(query)
            if path.startswith("/keys/"):
                key = path[len("/keys/"):]
                entry = self.entries.get(key)
                return (404, {"era": self.era}) if entry is None else (200, {"k": key, "v": entry[0], "stamp": entry[1], "hold": entry[2]})
            return await self.hold_call(method, path, body)
        return handle

    async def hold_call(self, method, path, body):
        if path == "/holds":
            life = body["life_ms"] / 1000
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            self.holds[hold] = [life, time.monotonic() + life]
            return 200, {"hold": hold}
        hold = int(path.split("/")[2])
        if hold not in self.holds:
            return 404, {}
        if method == "DELETE":
            await self.end_hold(hold)
        else:
            self.holds[hold][1] = time.monotonic() + self.holds[hold][0]
        return 200, {}

    async def commit(self, body):
        writes = body.get("writes") or []
        if any(write.get("hold") is not None and write["hold"] not in self.holds for write in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in body.get("when") or [] if (self.entries[c["k"]][1] if c["k"] in self.entries else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "era": self.era}
        if writes:
            self.era += 1
            for write in writes:
                if write.get("put") is None:
                    self.drop(write["drop"])
                else:
                    self.entries[write["put"]] = (write["v"], self.era, write.get("hold"))
                    self.news.append((self.era, {"put": write["put"], "v": write["v"], "stamp": self.era}))
            await self.notify()
        return 200, {"era": self.era}

    def list(self, query):
        prefix, after = query.get("under", ""), query.get("after", "")
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after)
        limit = min(int(query.get("limit", "1000")), 1000)
        pairs = [{"k": key, "v": self.entries[key][0], "stamp": self.entries[key][1]} for key in keys[:limit]]
        return 200, {"pairs": pairs, "truncated": len(keys) > limit, "era": self.era}

    async def follow(self, node, query):
        prefix, after = query.get("under", ""), int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if not self.unavailable(node):
                found = [change for era, change in self.news if era > after and (change.get("put") or change.get("drop")).startswith(prefix)]
                if found or time.monotonic() >= end:
                    return 200, {"era": self.era, "news": found}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.05)
                except asyncio.TimeoutError:
                    pass

    async def serve(self, node, port):
        return await wire.serve(port, self.handler(node))
