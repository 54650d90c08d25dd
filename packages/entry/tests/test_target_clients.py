"""Tests of the HTTP clients of targets."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.protocols import CallerRequest, TargetAnswer, TargetProtocol
from berylstage_entry.target_clients import TargetClients
from berylstage_transfers.errors import NeverSent
from fakes import target


class TestSenders:
    @pytest.mark.parametrize(
        ("accepted", "vms"), [(50, 13), (120, 12), (95, 67), (520, 78)]
    )
    def test_all_vms_together_stay_below_the_accepted_connections(self, accepted, vms):
        # A target resets connections beyond the number it accepts from all VMs, and
        # then it is unknown whether their requests have run.
        clients = TargetClients(None)
        clients.vm_count = vms
        assert 1 <= clients.connection_share(accepted) * vms <= 0.75 * accepted


class PlainTargets(TargetProtocol):
    """Accepts every answer as one of a target."""

    request_id_header = b"id"

    def request_headers(self, req, target, seconds):
        return {"Id": req.request_id}

    def parse_answer(self, answer):
        return TargetAnswer(
            answer.status, [], answer.body, False, False, True, None, False
        )

    async def grant(self, *args):
        raise NotImplementedError

    async def release(self, *args):
        raise NotImplementedError

    async def probe(self, *args):
        raise NotImplementedError


class SlowTarget:
    """A slow target on loopback that counts requests and disconnected clients."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.request_received = asyncio.Event()
        self.disconnected = 0
        self.open = 0
        self.requests = 0
        self._writers = []

    def close_port(self):
        """Refuse new connections."""
        self._server.close()

    def close_connections(self):
        """Close all connections."""
        for writer in self._writers:
            writer.close()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.open += 1
        self._writers.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.request_received.set()
                self.requests += 1
                await asyncio.sleep(self.seconds)
                name = head.partition(b"Id: ")[2].partition(b"\r\n")[0]
                writer.write(b"HTTP/1.1 200 OK\r\nId: " + name)
                writer.write(b"\r\nContent-Length: 5\r\n\r\nwhole")
                self.disconnected += reader.at_eof()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open -= 1
            writer.close()


def request(name):
    return CallerRequest(name, "POST", "h", "/a/x", {}, 5.0, None)


class TestTargetThatGoes:
    """A target's record is removed while it serves a request."""

    @pytest.mark.parametrize("successor", [False, True])
    def test_request_in_flight_is_answered(self, successor):
        # Guards against cutting off an order when its target's record is removed.
        async def run():
            server = SlowTarget(0.3)
            port = await server.start()
            known = target("i-1", address=f"127.0.0.1:{port}")
            clients = TargetClients(PlainTargets())
            sent = asyncio.create_task(clients.get(known, 50).send(request("o-1"), 2.0))
            await server.request_received.wait()
            if successor:
                clients.get(target("i-1", incarnation=2, address="127.0.0.1:1"), 50)
            else:
                clients.retain(set())
            answer = await sent
            assert (answer.status, answer.body) == (200, b"whole")
            assert server.disconnected == 0
            # No connection to the previous incarnation stays open.
            await asyncio.sleep(0.05)
            assert server.open == 0
            clients.close()

        asyncio.run(run())

    def test_request_that_waits_for_a_connection_is_not_sent(self):
        # Guards against requests that reach a target long after it has left.
        async def run():
            server = SlowTarget(0.2)
            known = target("i-1", address=f"127.0.0.1:{await server.start()}")
            clients = TargetClients(PlainTargets())
            clients.vm_count = 50
            sender = clients.get(known, 50)
            first = asyncio.create_task(sender.send(request("o-1"), 2.0))
            second = asyncio.create_task(sender.send(request("o-2"), 2.0))
            await server.request_received.wait()
            clients.retain(set())
            with pytest.raises(NeverSent):
                await asyncio.wait_for(second, 0.1)
            assert (await first).body == b"whole"
            assert server.requests == 1
            clients.close()

        asyncio.run(run())

    def test_close_leaves_no_connection_open(self):
        async def run():
            server = SlowTarget(0.0)
            known = target("i-1", address=f"127.0.0.1:{await server.start()}")
            clients = TargetClients(PlainTargets())
            await clients.get(known, 50).send(request("o-1"), 2.0)
            assert server.open == 1
            clients.close()
            await asyncio.sleep(0.05)
            assert server.open == 0

        asyncio.run(run())
