"""Tests that a VM which stops loses no requests that reach it in unusual ways."""

from __future__ import annotations

import asyncio
from functools import partial

from stop_environment import STOP_GRACE_SECONDS, SmallVm, StopEnvironment
from stop_ways import (
    PiecewiseCaller,
    PiecewiseRequest,
    RelayedRequest,
    connect_relaying_vm,
)
from test_stops import (
    BALANCER_SENDS_SECONDS,
    DOWNLOAD_BYTES,
    MS_PER_SECOND,
    StopScenario,
    sweep_offsets,
)


async def add_piecewise_caller(stop):
    """Return a new connection on which requests may be sent in pieces."""
    caller = PiecewiseCaller(stop.vm.front_address)
    stop.environment.add_caller(caller)
    stop.callers.append(caller)
    await caller.connect()
    return caller


async def add_sweep(stop, step=0.02, pause_ms=20):
    """Schedule requests on kept and new connections during the whole stop."""
    sweep = sweep_offsets(0.0, STOP_GRACE_SECONDS, step)
    callers = await stop.add_keep_alive_callers(len(sweep))
    for number, (offset, caller) in enumerate(zip(sweep, callers, strict=True)):
        method = "POST" if number % 2 else "GET"
        stop.send_at(offset, caller, stop.new_request(100, pause_ms, method))
        stop.connect_at(offset, stop.new_request(100, pause_ms, method))


def check_early_requests_served(stop):
    """Check that requests sent until the load balancer stops sending are served."""
    stop.check_nothing_lost()
    stop.check_log()
    early = stop.requests_sent_by(BALANCER_SENDS_SECONDS)
    missing = [request for request in early if not request.is_served]
    assert not missing, f"{len(missing)} of {len(early)} not served: {missing[:5]}"


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
        caller = await add_piecewise_caller(stop)
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


class TestPausedReading:
    """Requests that wait unread because the memory of the VM is full."""

    # Orders whose bodies take most of the memory while their target works.
    ORDERS = 4
    ORDER_BYTES = 1_040_000
    ORDER_SECONDS = 2.0
    FREED_AT_SECONDS = 3.0

    def test_requests_that_wait_for_memory(self, tmp_path):
        # Guards against closing connections as idle whose requests have not been read
        # for want of memory.
        async def scenario():
            async with StopEnvironment(tmp_path, 1, SmallVm) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for _ in range(self.ORDERS):
                    caller = await add_piecewise_caller(stop)
                    stop.schedule(1.2, partial(self.send_order, stop, caller))
                # An answer that its caller does not take uses up the rest.
                stuck = await stop.add_caller(reads=False)
                stop.send_at(1.5, stuck, stop.new_request(DOWNLOAD_BYTES))
                stop.schedule(self.FREED_AT_SECONDS, partial(self.leave, stuck))
                sweep = sweep_offsets(2.0, 2.55, 0.01)
                callers = await stop.add_keep_alive_callers(len(sweep))
                for number, caller in enumerate(callers):
                    method = "POST" if number % 2 else "GET"
                    request = stop.new_request(pause_ms=20, method=method)
                    stop.send_at(sweep[number], caller, request)
                waiting = []
                stop.schedule(2.58, partial(self.find_waiting, callers, waiting))
                await stop.stop()
                stop.check_nothing_lost([r for c in callers for r in c.requests])
                assert stop.vm.read_log_entries("connection cut") == []
                assert len(waiting) == len(sweep), "some requests did not wait"
                missing = [request for request in waiting if not request.is_served]
                assert not missing, f"{len(missing)} not served: {missing[:5]}"

        asyncio.run(scenario())

    async def send_order(self, stop, caller):
        request = PiecewiseRequest(
            stop.environment.next_request_number(),
            [b"." * self.ORDER_BYTES],
            pause_ms=int(self.ORDER_SECONDS * MS_PER_SECOND),
        )
        await caller.send(request)

    async def leave(self, caller):
        caller.close()

    async def find_waiting(self, callers, waiting):
        """Record the requests that have not been answered."""
        waiting += [request for caller in callers for request in caller.unanswered]


class TestStoreAway:
    """Stops in which steps wait for a store that does not answer."""

    # Seconds from SIGTERM at which the store falls silent.
    SILENT_AT_SECONDS = (-0.5, 0.0, 0.03)

    def test_requests_while_the_store_is_silent(self, tmp_path):
        # Guards against steps that wait for the store until no time is left for the
        # requests.
        async def scenario():
            async with StopEnvironment(tmp_path, vms=3) as environment:
                stops = [StopScenario(environment, vm) for vm in environment.vms]
                for stop in stops:
                    await add_sweep(stop)
                loop = asyncio.get_running_loop()
                silent = partial(setattr, environment.store, "is_silent", True)
                loop.call_later(max(self.SILENT_AT_SECONDS), silent)
                await asyncio.gather(
                    *(
                        self.stop_after(stop, max(self.SILENT_AT_SECONDS) - silent_at)
                        for stop, silent_at in zip(
                            stops, self.SILENT_AT_SECONDS, strict=True
                        )
                    )
                )
                (failed,) = stops[0].vm.read_log_entries("VM not deregistered")
                assert "no complete answer" in failed["cause"]

        asyncio.run(scenario())

    async def stop_after(self, stop, seconds):
        await asyncio.sleep(seconds)
        await stop.stop()
        check_early_requests_served(stop)


class TestManyStops:
    """Several VMs that stop at about the same time, with requests for full targets."""

    # Together the VMs ask for as much as two targets with these slots can take.
    SLOTS = 4
    WORK_MS = 40
    # Seconds between the stops of two VMs.
    STAGGER_SECONDS = (0.0, 0.1, 0.3, 0.9, 1.5)

    def test_permits_of_vms_that_stop_too(self, tmp_path):
        # Guards against a request that waits for the permit of a VM which has stopped,
        # or that is sent nowhere because no VM serves the queue.
        async def scenario():
            count = len(self.STAGGER_SECONDS)
            async with StopEnvironment(
                tmp_path, count, slots=self.SLOTS
            ) as environment:
                stops = [StopScenario(environment, vm) for vm in environment.vms]
                for stop in stops:
                    await add_sweep(stop, 0.05, self.WORK_MS)
                both = zip(stops, self.STAGGER_SECONDS, strict=True)
                await asyncio.gather(*(self.stop_after(*pair) for pair in both))

        asyncio.run(scenario())

    async def stop_after(self, stop, seconds):
        await asyncio.sleep(seconds)
        await stop.stop()
        check_early_requests_served(stop)
