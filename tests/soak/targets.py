"""Targets that write down everything they were made to do."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING

from platform_standin import Grant, Health, Release, Server, ServerHandler
from soak.ledger import answer_body
from tornado.httpserver import HTTPServer
from tornado.web import Application, Finish, HTTPError

if TYPE_CHECKING:
    from soak.ledger import Ledger

PORT = 8391
# Requests at work at once, and waiting beyond them.
SLOTS = 2
QUEUE = 8
# Mean seconds of work.
WORK = 0.05


class SoakTarget(Server):
    """A target that can crash, fall silent, lose answers and leave.

    Parameters
    ----------
    name, service, ip : str
    ledger : Ledger
    rng : Random
    """

    def __init__(self, name: str, service: str, ip: str, ledger: Ledger, rng: Random):
        super().__init__(name)
        self.service = service
        self.ip = ip
        self.ledger = ledger
        self.rng = rng
        self.life = 1
        self.silent = False
        self.lost_share = 0.0
        self.leaving = False
        self.busy = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self._http: HTTPServer | None = None

    @property
    def runs(self) -> bool:
        """Whether it listens."""
        return self._http is not None

    def start(self) -> None:
        """Begin a life that holds and knows nothing."""
        self.holds, self.seen, self.busy = [], [], 0
        self.slots = asyncio.Semaphore(SLOTS)
        self._http = HTTPServer(_application(self))
        self._http.listen(PORT, self.ip)

    async def crash(self) -> None:
        """End without a word."""
        http, self._http = self._http, None
        if http is not None:
            http.stop()
            self.ledger.ended(self)
            self.life += 1
            await http.close_all_connections()

    def record(self) -> bytes:
        """Return what it writes into the store."""
        state = "draining" if self.leaving else "ready"
        doc = {
            "address": f"{self.ip}:{PORT}",
            "born": self.life,
            "info": {
                "service": self.service,
                "version": "v",
                "zone": "a",
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": 1, "warmup_left_ms": 0},
        }
        return json.dumps(doc).encode()


class LifeHandler(ServerHandler):
    """What one life of a target is asked for; nothing comes of it when that is over.

    The connections of a target that crashes close one after the other. What comes on
    one of them meanwhile, or waits for a slot, must not count as done.
    """

    def initialize(self, server, life):
        super().initialize(server)
        self.life = life

    def prepare(self):
        super().prepare()
        self.end_with_life()

    def end_with_life(self):
        """Break off if the life is over."""
        if self.life != self.server.life:
            self.request.connection.stream.close()
            raise Finish


class SoakGrant(LifeHandler, Grant):
    """A grant that is written down."""

    async def prepare(self):
        super().prepare()
        if self.server.silent:
            await _hang()

    def post(self):
        super().post()
        if self.get_status() == 200:
            self.server.ledger.held(self.server)


class SoakRelease(LifeHandler, Release):
    """A release that is written down."""

    def post(self):
        super().post()
        self.server.ledger.held(self.server)


class SoakWork(LifeHandler):
    """A request, with a key or without."""

    async def get(self):
        await self._serve()

    async def post(self):
        await self._serve()

    async def _serve(self):
        server, head = self.server, self.request.headers
        if server.silent:
            await _hang()
        key = head.get("Berylstage-Shard-Key")
        if key is not None and not server.holds_key(int(key)):
            self._refuse(421)
            return
        if server.busy >= SLOTS + QUEUE:
            self._refuse(503)
            return
        server.busy += 1
        try:
            async with server.slots:
                self.end_with_life()
                await self._run(head["Berylstage-Attempt-Id"], key)
        finally:
            # A new life has begun to count anew.
            server.busy -= self.life == server.life

    def _refuse(self, status):
        self.set_status(status)
        self.set_header("Berylstage-Not-Executed", "1")

    async def _run(self, request_id, key):
        server = self.server
        if key is not None and not server.holds_key(int(key)):
            self._refuse(421)
            return
        server.ledger.ran(server, request_id, key)
        await asyncio.sleep(server.rng.expovariate(1 / WORK))
        if server.rng.random() < server.lost_share:
            self.request.connection.stream.close()
            return
        self.set_header("Berylstage-Backend-Signature", f"{server.name}.{request_id}")
        size = int(self.request.path.rpartition("/")[2])
        self.write(answer_body(request_id, size))


async def _hang() -> None:
    # Nothing comes of what reaches a silent target. An order that was carried out a
    # minute later, with its whole time before it, would be a trouble that no target
    # makes: its time counts from its arrival.
    await asyncio.sleep(60)
    raise HTTPError(503)


def _application(server: SoakTarget) -> Application:
    own = {"server": server}
    own_life = {"server": server, "life": server.life}
    return Application(
        [
            (r"/v1/grant", SoakGrant, own_life),
            (r"/v1/release", SoakRelease, own_life),
            (r"/healthz", Health, own),
            (r"/.*", SoakWork, own_life),
        ],
        log_function=lambda handler: None,
    )
