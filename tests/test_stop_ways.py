"""Tests that a VM which stops loses no requests that reach it in unusual ways."""

from __future__ import annotations

import asyncio

from stop_environment import StopEnvironment
from stop_ways import (
    PiecewiseCaller,
    PiecewiseRequest,
    RelayedRequest,
    connect_relaying_vm,
)
from test_stops import (
    DOWNLOAD_BYTES,
    MS_PER_SECOND,
    StopScenario,
    sweep_offsets,
)


class TestRelayedRequests:
    """Requests of another VM at the time at which the VM that relays them stops."""

    def test_relayed_requests_on_kept_and_new_connections(self, tmp_path):
        # Guards against a relayed request that runs and whose reply is lost with the
        # connection between the two VMs.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for number, offset in enumerate(sweep_offsets(0.0, 4.0, 0.02)):
                    method = "POST" if number % 2 else "GET"
                    caller = await self.add_relaying_vm(stop)
                    await caller.send(self.new_request(stop, pause_ms=20))
                    request = self.new_request(stop, method=method, pause_ms=20)
                    stop.send_at(offset, caller, request)
                for caller in stop.callers:
                    await caller.wait_for_answers()
                await stop.stop()
                stop.check_nothing_lost()

        asyncio.run(scenario())

    def test_relayed_requests_in_progress(self, tmp_path):
        # Guards against a VM that exits while a target works on a relayed request.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for end in sweep_offsets(2.0, 4.4, 0.1):
                    caller = await self.add_relaying_vm(stop)
                    pause_ms = int((end + 0.1) * MS_PER_SECOND)
                    await caller.send(
                        self.new_request(stop, pause_ms=pause_ms, method="POST")
                    )
                await asyncio.sleep(0.1)
                await stop.stop()
                stop.check_nothing_lost()

        asyncio.run(scenario())

    def test_large_replies_on_slow_links(self, tmp_path):
        # Guards against a VM that exits while a reply to another VM is being sent.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for end in (2.2, 2.55, 2.8):
                    caller = await self.add_relaying_vm(stop, link_mbps=5)
                    pause_ms = int(end * MS_PER_SECOND)
                    request = self.new_request(stop, DOWNLOAD_BYTES, pause_ms, "POST")
                    await caller.send(request)
                await asyncio.sleep(0.1)
                await stop.stop()
                stop.check_nothing_lost()

        asyncio.run(scenario())

    async def add_relaying_vm(self, stop, link_mbps=None):
        caller = await connect_relaying_vm(stop.environment, stop.vm, link_mbps)
        stop.callers.append(caller)
        return caller

    def new_request(self, stop, size=100, pause_ms=0, method="GET"):
        number = stop.environment.next_request_number()
        return RelayedRequest(number, size, pause_ms, method)


class TestRequestsInPieces:
    """Requests whose last bytes come after the VM has closed idle connections."""

    # Bytes of a piece of a body.
    PIECE_BYTES = 20_000

    def test_bodies_that_arrive_late(self, tmp_path):
        # Guards against closing a connection as idle, or exiting, between two pieces of
        # a request whose head has been read.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for is_chunked in (False, True):
                    for pieces, pause in ((2, 0.6), (2, 1.2), (3, 0.7), (12, 0.15)):
                        for offset in (1.0, 1.5, 1.9, 2.0):
                            request = self.new_request(stop, pieces, is_chunked)
                            await self.send_pieces_at(stop, offset, request, pause)
                await stop.stop()
                self.check_all_served(stop)

        asyncio.run(scenario())

    def test_interim_answers(self, tmp_path):
        # Guards against a caller that waits in vain for the interim answer, or whose
        # connection is closed between that answer and its body.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for is_kept in (False, True):
                    for offset in sweep_offsets(0.0, 2.5, 0.05):
                        request = self.new_request(stop, 2, False, True)
                        await self.send_pieces_at(stop, offset, request, 0.3, is_kept)
                await stop.stop()
                self.check_all_served(stop)

        asyncio.run(scenario())

    def new_request(self, stop, pieces, is_chunked, expects_continue=False):
        number = stop.environment.next_request_number()
        body = [b"." * self.PIECE_BYTES] * pieces
        return PiecewiseRequest(number, body, is_chunked, expects_continue)

    async def send_pieces_at(self, stop, offset, request, pause, is_kept=True):
        """Schedule a request on a connection that has or has not been used before."""
        caller = PiecewiseCaller(stop.vm.front_address)
        stop.environment.add_caller(caller)
        stop.callers.append(caller)
        await caller.connect()
        if is_kept:
            await caller.send(stop.new_request())
            await caller.wait_for_answers()

        async def send():
            await caller.send_pieces(request, pause)

        stop.schedule(offset, send)

    def check_all_served(self, stop):
        stop.check_nothing_lost()
        missing = [request for request in stop.requests if not request.is_served]
        assert not missing, f"{len(missing)} not served: {missing[:5]}"
        stop.check_log()
