"""Tests of asking VMs over HTTP."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_cli.http import HttpVmClient
from berylstage_cli.vms import UnknownKey, VmFault
from berylstage_platform.store import VmRecord
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

STATUS = {
    "vm": "north-1",
    "data_centre": "north",
    "configuration_revision": 7,
    "assignment_revision": 9,
    "ready": True,
    "lease_until_ms": None,
    "targets": [{}, {}],
    "peers": [],
}
OWNER = {"shard": "3", "target": "orders-1", "vm": "north-1", "fence": 4}


def ask(call, code: int, body: str):
    """Return the outcome of a call against a VM that answers so, and its path."""
    paths = []

    class Handler(RequestHandler):
        def get(self):
            paths.append(self.request.path)
            self.set_status(code)
            self.write(body)

    async def scenario():
        (sock,) = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application([(r".*", Handler)]))
        server.add_sockets([sock])
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        client = HttpVmClient(timeout=5.0)
        try:
            return await call(client, VmRecord("north-1", "north", address, "", False))
        finally:
            await client.close()
            server.stop()

    return asyncio.run(scenario()), paths


class TestHttpVmClient:
    def test_status(self):
        status, _ = ask(lambda c, r: c.status(r), 200, json.dumps(STATUS))
        assert (status.configuration_revision, status.targets) == (7, 2)
        assert status.lease_until_ms is None

    def test_owner_escapes_the_key(self):
        owner, paths = ask(
            lambda c, r: c.owner(r, "orders", "a/b c"), 200, json.dumps(OWNER)
        )
        assert (owner.target, owner.fence, owner.told_by) == ("orders-1", 4, "north-1")
        assert paths == ["/-/owner/orders/a%2Fb%20c"]

    @pytest.mark.parametrize(
        ("code", "body"),
        [
            (500, ""),
            (200, "busy"),
            (200, "[]"),
            (200, "{}"),
            (200, json.dumps({**STATUS, "configuration_revision": "new"})),
        ],
    )
    def test_unusable_answer(self, code, body):
        # A VM that is half started, or something else at its address, answers with
        # what is no status. It must count as a VM that lacks the revision.
        with pytest.raises(VmFault):
            ask(lambda c, r: c.status(r), code, body)

    def test_unknown_service(self):
        # The operator misspells the service.
        with pytest.raises(UnknownKey, match="no such service"):
            body = '{"error": "no such service"}'
            ask(lambda c, r: c.owner(r, "ordres", "k"), 404, body)

    def test_nobody_listens(self):
        # The VM is gone and the platform's list lags.
        async def call():
            client = HttpVmClient(timeout=1.0)
            record = VmRecord("north-1", "north", "127.0.0.1:1", "", False)
            try:
                await client.status(record)
            finally:
                await client.close()

        with pytest.raises(VmFault, match="no answer"):
            asyncio.run(call())
