"""Tests of the entry VM's application."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest
from berylstage_entry import application, shutdown
from berylstage_entry.application import EntryApplication
from berylstage_entry.assignment import Assignment, KeyRange
from berylstage_entry.clock import now
from berylstage_entry.membership import VMS_PREFIX
from berylstage_entry.permit_messages import PermitRelease, checksum
from berylstage_entry.permits import Permit
from berylstage_entry.protocols import CallerRequest, Record
from berylstage_entry.reply_timeout import MAX_REPLY_TIMEOUT_SECONDS
from berylstage_entry.settings import Bounds
from berylstage_entry.store import Item
from berylstage_entry.store_access.missed_changes import CHANGES_PATH
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import COORDINATOR_KEY
from fakes import (
    BOUNDS,
    FencedTargets,
    JsonRecords,
    MemoryStore,
    configuration,
    settings,
    target,
)
from test_server import PlainCallerProtocol, free_port

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
PERMIT_NUMBER = 7


class ClosableStore(MemoryStore):
    def close(self):
        pass


def create_application():
    """Return the application of a single VM on free ports."""
    store = ClosableStore()
    store.put("cfg", b"1")
    cfg = settings()
    cfg.callers, cfg.ready, cfg.control_address = [
        f"127.0.0.1:{free_port()}" for _ in range(3)
    ]
    cfg.metrics_port = free_port()
    records = JsonRecords({1: configuration()})
    return EntryApplication(cfg, store, PlainCallerProtocol(), FencedTargets(), records)


async def hold_permit(app):
    """Serve a request that never finishes, with a permit from another VM's queue."""
    try:
        await asyncio.sleep(60)
    finally:
        app.permit_client.release(Permit(PERMIT_NUMBER, "s", "127.0.0.2"))


class TestStop:
    @pytest.mark.parametrize("page", ["ready", "control", "metrics"])
    def test_last_internal_request_is_answered(self, page, monkeypatch):
        # Guards against exiting while an internal server has an unread request.
        monkeypatch.setattr(shutdown, "BALANCER_LAG_SECONDS", 0.0)

        async def scenario():
            app = create_application()
            app.start()
            await asyncio.sleep(0.1)
            ports = {
                "ready": int(app.cfg.ready.rpartition(":")[2]),
                "control": int(app.cfg.control_address.rpartition(":")[2]),
                "metrics": app.cfg.metrics_port,
            }
            with socket.create_connection(("127.0.0.1", ports[page])) as client:
                await asyncio.sleep(0.1)
                client.settimeout(1.0)
                log_stopped = app._log_stopped
                app._log_stopped = lambda: (log_stopped(), client.sendall(REQUEST))
                await app.stop()
                # The event loop no longer runs, so nothing more can be sent.
                assert client.recv(65536).startswith(b"HTTP/1.1 ")

        asyncio.run(scenario())

    def test_suspension_of_the_machine_does_not_prolong_the_stop(self, monkeypatch):
        # Guards against a stop that drains too late, since the clock of the event loop
        # has not counted the time for which the machine was suspended.
        suspended_seconds = 0.0
        monkeypatch.setattr(application, "now", lambda: now() + suspended_seconds)

        async def scenario():
            nonlocal suspended_seconds
            app = create_application()
            app.start()
            await asyncio.sleep(0.1)
            began = now()
            stopped = asyncio.create_task(app.stop())
            await asyncio.sleep(0.2)
            suspended_seconds = shutdown.BALANCER_LAG_SECONDS
            await stopped
            assert now() - began < shutdown.BALANCER_LAG_SECONDS / 2

        asyncio.run(scenario())

    def test_cut_request_releases_its_permit(self, monkeypatch):
        # Guards against slots that a permit server keeps reserved until the deadlines
        # of requests that ended when their VM stopped.
        monkeypatch.setattr(shutdown, "BALANCER_LAG_SECONDS", 0.0)

        async def scenario():
            app = create_application()
            app.cfg.bounds = Bounds(0.2, 60.0, 1.5, 5.0, 1.5, 10.0)
            app.start()
            await asyncio.sleep(0.1)
            app.router.serve = lambda req: hold_permit(app)
            with socket.socket(type=socket.SOCK_DGRAM) as permit_server:
                permit_server.bind(("127.0.0.2", app.cfg.metrics_port))
                permit_server.setblocking(False)
                port = int(app.cfg.callers.rpartition(":")[2])
                with socket.create_connection(("127.0.0.1", port)) as caller:
                    caller.sendall(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
                    await asyncio.sleep(0.1)
                    await app.stop()
                assert (
                    PermitRelease.decode(permit_server.recv(64)).number == PERMIT_NUMBER
                )

        asyncio.run(scenario())

    def test_idle_internal_connections_do_not_delay_shutdown(self, monkeypatch):
        # Guards against a VM that is killed because it waited for the load balancer to
        # close its connection.
        monkeypatch.setattr(shutdown, "BALANCER_LAG_SECONDS", 0.0)

        async def scenario():
            app = create_application()
            app.start()
            await asyncio.sleep(0.1)
            port = int(app.cfg.ready.rpartition(":")[2])
            with socket.create_connection(("127.0.0.1", port)):
                await asyncio.sleep(0.1)
                async with asyncio.timeout(BOUNDS.stop_timeout / 2):
                    await app.stop()

        asyncio.run(scenario())


class TestMovedKeys:
    def test_published_assignment_takes_requests_from_the_former_owner(self):
        # Guards against requests that leave the queue of a former owner only at their
        # next renewal, and against moves that no metric shows.
        async def scenario():
            app = create_application()
            app.cluster_view.apply(Record(configuration=configuration()), now(), False)
            for name in ("a", "b"):
                app.cluster_view.apply(Record(target=target(name)), now(), False)
            whole = KeyRange(0, 65535, "a", 1, 5, "")
            app.store_watcher.apply_assignment("s", Assignment([whole], 9), 1)
            # Without a reply the request is sent again only after 0.15 s.
            for _ in range(20):
                app.permit_client._reply_timeout.record(MAX_REPLY_TIMEOUT_SECONDS)
            asked = []
            app.permit_client.send_request = lambda host, ask: asked.append(ask.queue)
            app.permit_client.servers_for = lambda queue, centre: ["127.0.0.2"]
            req = CallerRequest("1", "GET", "h", "/a/", {}, 1.0, 7)
            serving = asyncio.create_task(app.router.serve(req))
            await asyncio.sleep(0.01)
            moved = KeyRange(0, 65535, "b", 1, 6, "")
            app.store_watcher.apply_assignment("s", Assignment([moved], 9), 2)
            await asyncio.sleep(0.01)
            assert asked == [checksum("a"), checksum("b")]
            assert 'event="left queue of former owner"} 1' in app.metrics.text()
            serving.cancel()

        asyncio.run(scenario())


class TestStoreAccess:
    def test_changes_are_returned_on_the_control_address(self, monkeypatch):
        # Guards against a path that is not served: each VM would ask in vain, and read
        # the store as before.
        monkeypatch.setattr(shutdown, "BALANCER_LAG_SECONDS", 0.0)

        async def scenario():
            app = create_application()
            app.start()
            while not app.election.is_coordinator():
                await asyncio.sleep(0.05)
            revision = app.store_watcher.revision
            app.store._store.put("t/a", b"{}")
            while "a" not in app.cluster_view.known:
                await asyncio.sleep(0.05)
            body = await app.peer_client.call(
                app.cfg.control_address, CHANGES_PATH, str(revision).encode()
            )
            await app.stop()
            return body

        delta = StoreDelta.decode(asyncio.run(scenario()))
        assert "t/a" in [item.key for item in delta.items]

    def test_vm_without_a_record_is_no_standby(self):
        # Guards against a VM whose record the store has removed and that, as a supposed
        # standby, calls the store three times a second.
        app = create_application()
        for name, address in (("vm-2", "10.0.0.2:1"), ("vm-3", "10.0.0.3:1")):
            doc = {"control": address, "data_centre": "dc-9", "power": 1.0}
            value = json.dumps(doc).encode()
            app.store_watcher.apply_written_item(Item(VMS_PREFIX + name, value, 5))
        assert app.delta_exchange.is_standby()
        value = json.dumps({"control": "10.0.0.2:1"}).encode()
        app.store_watcher.apply_written_item(Item(COORDINATOR_KEY, value, 6))
        assert not app.delta_exchange.is_standby()
        doc = {"control": app.cfg.control_address, "data_centre": "dc-1", "power": 1.0}
        value = json.dumps(doc).encode()
        app.store_watcher.apply_written_item(Item(VMS_PREFIX + "vm-1", value, 7))
        assert app.delta_exchange.is_standby()
