"""Stand-ins for the platform's store and targets, following its documentation."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode

from tornado.web import Application, RequestHandler


class StoreState:
    """Keys, revisions and leases of the store."""

    def __init__(self):
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Condition()
        # Whether calls are left without an answer.
        self.is_silent = False

    def put(self, key, value: bytes, lease=0, revision=None):
        self.revision = revision or self.revision + 1
        create_revision = self.items.get(key, {}).get("create_revision", self.revision)
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "rev": self.revision,
            "create_revision": create_revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key, revision=None):
        if self.items.pop(key, None) is not None:
            self.revision = revision or self.revision + 1
            self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    def revoke_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if time.monotonic() > until:
                self.revoke_lease(lease)


class StoreHandler(RequestHandler):
    """Base class of the handlers for store calls."""

    def initialize(self, state):
        self.state = state
        state.expire()

    async def prepare(self):
        while self.state.is_silent:
            await asyncio.sleep(0.05)

    def respond(self, status, doc=None):
        self.set_status(status)
        self.write(json.dumps(doc or {}))


class Range(StoreHandler):
    def get(self):
        prefix = self.get_argument("prefix", "")
        items = [i for k, i in sorted(self.state.items.items()) if k.startswith(prefix)]
        doc = {"items": items, "has_more": False, "current_rev": self.state.revision}
        self.respond(200, doc)


class Watch(StoreHandler):
    async def get(self):
        prefix, after = self.get_argument("prefix", ""), int(self.get_argument("after"))
        until = time.monotonic() + int(self.get_argument("wait_ms")) / 1000
        while True:
            self.state.expire()
            events = [
                e
                for e in self.state.events
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            if events or time.monotonic() > until:
                break
            await asyncio.sleep(0.01)
        self.respond(200, {"events": events, "current_rev": self.state.revision})


class Txn(StoreHandler):
    def post(self):
        doc, state = json.loads(self.request.body), self.state
        current = [state.items.get(row["key"], {"rev": 0}) for row in doc["expect"]]
        if any(
            i["rev"] != row["rev"]
            for i, row in zip(current, doc["expect"], strict=True)
        ):
            self.respond(412, {"items": current})
            return
        if any(row.get("lease", 0) not in {0, *state.leases} for row in doc["puts"]):
            self.respond(404)
            return
        revision = state.revision + 1
        for row in doc["puts"]:
            state.put(
                row["key"], b64decode(row["value"]), row.get("lease", 0), revision
            )
        for key in doc["remove"]:
            state.remove(key, revision)
        self.respond(200, {"rev": revision})


class CreateLease(StoreHandler):
    def post(self):
        seconds = json.loads(self.request.body)["ttl_ms"] / 1000
        lease = 77000 + self.state.revision * 100 + len(self.state.leases)
        self.state.leases[lease] = (time.monotonic() + seconds, seconds)
        self.respond(200, {"lease": lease, "ttl_ms": int(seconds * 1000)})


class RenewLease(StoreHandler):
    def post(self, lease):
        lease_times = self.state.leases.get(int(lease))
        if lease_times is None:
            self.respond(404)
            return
        self.state.leases[int(lease)] = (
            time.monotonic() + lease_times[1],
            lease_times[1],
        )
        self.respond(200, {"ttl_ms": int(lease_times[1] * 1000)})


class RevokeLease(StoreHandler):
    def delete(self, lease):
        self.state.revoke_lease(int(lease))
        self.respond(200)


def store_application(state):
    return Application(
        [
            (r"/v1/kv-range", Range, {"state": state}),
            (r"/v1/kv-watch", Watch, {"state": state}),
            (r"/v1/kv-txn", Txn, {"state": state}),
            (r"/v1/kv-lease", CreateLease, {"state": state}),
            (r"/v1/kv-keep/(\d+)", RenewLease, {"state": state}),
            (r"/v1/kv-lease-end/(\d+)", RevokeLease, {"state": state}),
        ],
        log_function=lambda handler: None,
    )


class Server:
    """State of a target that checks fence tokens."""

    def __init__(self, name, slots=1000):
        self.name = name
        self.holds: list[tuple[int, int, int, float]] = []
        # Accepted fence tokens with the first and last key of their ranges.
        self.seen: list[tuple[int, int, int]] = []
        self.ran: list[str] = []
        # Requests that it runs at once, as answers without keys report them.
        self.slots = slots

    def holds_key(self, key):
        now = time.monotonic()
        return any(a <= key <= b and now < end for a, b, _, end in self.holds)


class ServerHandler(RequestHandler):
    """Base class of the handlers for requests, grants and releases."""

    def initialize(self, server):
        self.server = server

    def prepare(self):
        req_headers = self.request.headers
        self.set_header(
            "Berylstage-Attempt-Id", req_headers.get("Berylstage-Attempt-Id", "")
        )
        self.set_header("Berylstage-Backend-Id", self.server.name)
        self.set_header("Berylstage-Backend-Load", "1,0,2,100")


class Grant(ServerHandler):
    def post(self):
        doc, server = json.loads(self.request.body), self.server
        first, last, fence = doc["from"], doc["target"], doc["fence"]
        if any(a <= last and b >= first and f > fence for a, b, f in server.seen):
            self.set_status(409)
            return
        server.seen.append((first, last, fence))
        end = time.monotonic() + doc["hold_ms"] / 1000
        server.holds = [h for h in server.holds if h[1] < first or h[0] > last]
        server.holds.append((first, last, fence, end))


class Release(ServerHandler):
    def post(self):
        doc, server = json.loads(self.request.body), self.server
        remaining = []
        for a, b, fence, end in server.holds:
            if a < doc["from"]:
                remaining.append((a, min(b, doc["from"] - 1), fence, end))
            if b > doc["target"]:
                remaining.append((max(a, doc["target"] + 1), b, fence, end))
        server.holds = remaining
        self.set_header("Berylstage-Handover", "5c0e")


class Work(ServerHandler):
    async def get(self):
        key = int(self.request.headers["Berylstage-Shard-Key"])
        if not self.server.holds_key(key):
            self.set_status(421)
            self.set_header("Berylstage-Not-Executed", "1")
            return
        self.server.ran.append(self.request.headers["Berylstage-Attempt-Id"])
        await asyncio.sleep(0.02)
        self.set_header("Berylstage-Backend-Signature", self.server.name)
        self.write("whole")


class Health(ServerHandler):
    def get(self):
        self.write("")


def server_application(server):
    handler_args = {"server": server}
    return Application(
        [
            (r"/v1/grant", Grant, handler_args),
            (r"/v1/release", Release, handler_args),
            (r"/healthz", Health, handler_args),
            (r"/.*", Work, handler_args),
        ],
        log_function=lambda handler: None,
    )
