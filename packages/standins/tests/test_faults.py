"""Tests of the fault switches and of HTTP calls that no adapter makes."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from berylstage_standins import platform_server, target_server
from berylstage_standins.faults import PlatformFaults, TargetFaults
from berylstage_standins.ledger_writer import LedgerWriter
from berylstage_standins.platform import Platform
from berylstage_standins.target import Target
from berylstage_standins.work import WorkSettings
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from tornado.netutil import bind_sockets

# Documents that every set of switches rejects.
INVALID_DOCUMENTS = [
    {"no such switch": True},
    {"slow_ms": "1"},
    {"slow_ms": True},
    {"slow_factor": True},
    {"freeze": 1},
    {"slow_ms": 5, "down": 1},
]


class TestFaults:
    @pytest.mark.parametrize("doc", INVALID_DOCUMENTS)
    @pytest.mark.parametrize("kind", [PlatformFaults, TargetFaults])
    def test_an_invalid_document_changes_no_switch(self, kind, doc):
        # A mistake in a test's document must raise an error: otherwise the test
        # would pass without the fault that it is meant to inject.
        faults = kind()
        with pytest.raises(ValueError, match="switch"):
            faults.set(doc)
        assert faults.as_dict() == kind.DEFAULTS

    def test_float_switches_accept_integers(self):
        faults = TargetFaults()
        faults.set({"slow_factor": 3})
        assert faults.as_dict()["slow_factor"] == 3


@asynccontextmanager
async def serve(server):
    """Run a server and yield a function that calls it."""
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    base = "http://127.0.0.1:{}".format(sockets[0].getsockname()[1])
    client = CallClient(4)

    async def call(method, path, doc=None, **headers):
        body = None if doc is None else json.dumps(doc).encode()
        answer = await client.call(Call(method, base + path, headers, body, 10.0))
        is_json = answer.header(b"content-type").startswith("application/json")
        return answer.status, json.loads(answer.body) if is_json else None

    try:
        yield call
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


def run(scenario):
    """Run a test's coroutine with a timeout of 30 seconds."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


class TestPlatformCalls:
    def test_leases(self):
        async def scenario():
            platform = Platform()
            async with serve(platform_server.make_server(platform)) as call:
                _, lease = await call("POST", "/leases", {"ttl_ms": 60_000})
                path = f"/leases/{lease['id']}"
                assert (await call("PUT", "/kv/k", 1, Lease=lease["id"]))[0] == 200
                assert (await call("PUT", path, {}))[0] == 200
                assert (await call("POST", "/faults", {"lapse_leases": True}))[0] == 200
                assert (await call("PUT", path, {}))[0] == 410
                assert (await call("GET", "/kv/k"))[0] == 404
                assert (await call("PUT", "/kv/k", 1, Lease=lease["id"]))[0] == 410

        run(scenario)

    def test_calls_are_counted_by_kind(self):
        async def scenario():
            platform = Platform()
            async with serve(platform_server.make_server(platform)) as call:
                await call("PUT", "/kv/k", 1)
                await call("GET", "/kv/k")
                await call("GET", "/kv/k?after=1&wait_ms=1")
                await call("GET", "/vms")
                counts = (await call("GET", "/counts"))[1]
                assert counts == {"write": 1, "read": 2, "watch": 1}

        run(scenario)

    def test_a_vm_with_unknown_fields_is_rejected(self):
        async def scenario():
            async with serve(platform_server.make_server(Platform())) as call:
                doc = {"data_centre": "a", "http_address": "b", "peer_address": "c"}
                assert (await call("PUT", "/vms/vm-1", doc))[0] == 200
                assert (await call("PUT", "/vms/vm-1", {**doc, "x": 1}))[0] == 400
                assert len((await call("GET", "/vms"))[1]) == 1

        run(scenario)

    def test_switches_over_http(self):
        async def scenario():
            platform = Platform()
            async with serve(platform_server.make_server(platform)) as call:
                status, doc = await call("POST", "/faults", {"no such switch": 1})
                assert status == 400
                assert "down" in doc["error"]
                assert (await call("POST", "/faults", {"down": "closed"}))[0] == 200
                assert (await call("GET", "/faults"))[1]["down"] == "closed"

        run(scenario)


class TestTargetCalls:
    def test_switches_over_http(self):
        async def scenario():
            target = Target("t", WorkSettings(cold_bound=1), LedgerWriter(None))
            async with serve(target_server.make_server(target)) as call:
                first_incarnation = target.incarnation
                assert (await call("POST", "/faults", {"no such switch": 1}))[0] == 400
                assert (await call("POST", "/faults", {"shed": True}))[0] == 200
                assert target.work.shed_all
                await call("POST", "/faults", {"restart_now": True})
                health = (await call("GET", "/health"))[1]
                assert health["incarnation"] == target.incarnation != first_incarnation

        run(scenario)

    def test_requests_with_missing_fields_are_rejected(self):
        async def scenario():
            target = Target("t", WorkSettings(), LedgerWriter(None))
            async with serve(target_server.make_server(target)) as call:
                assert (await call("POST", "/work/s/k/key", 1))[0] == 400
                assert (await call("PUT", "/grants", {"epoch": 1}))[0] == 400

        run(scenario)
