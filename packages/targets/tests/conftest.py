"""Target client implementations that the contract tests run against."""

from __future__ import annotations

import time
from contextlib import asynccontextmanager
from itertools import count

import pytest
from berylstage_standins.ledger_writer import LedgerWriter
from berylstage_standins.target import Target
from berylstage_standins.target_server import make_server
from berylstage_standins.work import WorkSettings
from berylstage_targets.http import HttpTargetClient
from berylstage_targets.target import GrantRequest, WorkRequest
from tornado.netutil import bind_sockets

FENCE = 7
EPOCH = 3


class Rig:
    """A target client and the target stand-in behind it, whose faults a test sets."""

    def __init__(self, target, client, server, address):
        self.target = target
        self.client = client
        self.server = server
        self.address = address
        self._ids = count(1)

    def faults(self, **switches):
        """Set the target's faults."""
        self.target.faults.set(switches)
        self.target.apply_faults()

    def request(self, **fields):
        """Return a request for work under the grant of :meth:`obtain_grant`."""
        given = {
            "request_id": f"req-{next(self._ids)}",
            "service": "field-log",
            "kind": "lookup",
            "key": "dryer-1",
            "shard": "field-log/5",
            "fence": FENCE,
            "epoch": EPOCH,
            "method": "GET",
            "body": b"",
            "content_type": "application/json",
            "deadline": time.time() + 60.0,
            "timeout": 10.0,
        }
        return WorkRequest(**{**given, **fields})

    def grant_request(self, **fields):
        """Return a grant request for the shard of :meth:`request`."""
        given = {
            "vm": "vm-1",
            "epoch": EPOCH,
            "version": 1,
            "shards": {"field-log/5": FENCE},
            "anchor": self.target.clock_ms(),
            "incarnation": self.target.incarnation,
            "lifetime_ms": 60_000,
        }
        return GrantRequest(**{**given, **fields})

    async def obtain_grant(self):
        """Obtain the grant under which requests run."""
        answer = await self.client.grant(self.grant_request(), 10.0)
        assert answer.accepted

    def completed_request_ids(self):
        """Return the request ids of the work that was completed."""
        lines = self.target.ledger.lines
        return [doc["request_id"] for doc in lines if doc.get("outcome") == "done"]


@asynccontextmanager
async def http_rig(connections=10, **settings):
    """Yield the HTTP client connected to the stand-in."""
    settings.setdefault("work_ms", {"lookup": 1.0, "long": 60_000.0})
    work = WorkSettings(**settings)
    target = Target("target-1", work, LedgerWriter(None), connections)
    server = make_server(target)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = "127.0.0.1:{}".format(sockets[0].getsockname()[1])
    client = HttpTargetClient(address, connections, "vm-1")
    try:
        yield Rig(target, client, server, address)
    finally:
        await client.close()
        server.stop()
        target.work.drop_all()
        await server.close_all_connections()


@pytest.fixture(params=[http_rig], ids=["http"])
def open_target(request):
    """Return a function that opens a target; each implementation is a parameter."""
    return request.param
