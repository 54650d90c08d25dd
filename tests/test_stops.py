"""Tests that stopping a VM process loses no requests."""

from __future__ import annotations

import asyncio
import signal
from itertools import cycle

from slow_caller import RECEIVE_BUFFER_BYTES, Request
from stop_environment import STOP_GRACE_SECONDS, StopEnvironment
from test_start import wait_until

# Seconds after SIGTERM for which the load balancer may still send callers: it checks
# readiness once a second and removes a VM after two failed checks.
BALANCER_SENDS_SECONDS = 2.0
# Seconds after SIGTERM at which a VM closes idle connections.
IDLE_CLOSE_SECONDS = 2.6
# Seconds between two offsets of a sweep.
SWEEP_STEP_SECONDS = 0.01
# Seconds between signals that are sent until the process exits.
SIGNAL_INTERVAL_SECONDS = 0.002
# Seconds for which callers wait for the last answers after the process has exited.
LAST_ANSWER_TIMEOUT_SECONDS = 3.0
MS_PER_SECOND = 1000
# Maximum bytes that the kernel of a slow caller buffers unread.
MAX_KERNEL_BUFFERED_BYTES = 4 * RECEIVE_BUFFER_BYTES
# Maximum bytes of an answer's head.
MAX_HEAD_BYTES = 1024
PAGE_BYTES = 90_000
DOWNLOAD_BYTES = 1_000_000


def sweep_offsets(first, last, step=SWEEP_STEP_SECONDS):
    """Return evenly spaced offsets in seconds after SIGTERM, both ends included."""
    return [first + step * n for n in range(round((last - first) / step) + 1)]


class StopScenario:
    """One stop of a VM with active callers, and the checks of their requests.

    Parameters
    ----------
    environment : StopEnvironment
    vm : StoppingVm
        The VM that is stopped.
    """

    def __init__(self, environment, vm):
        self.environment = environment
        self.vm = vm
        self.callers = []
        # Bytes that callers had not received when the process exited.
        self.unreceived_bytes = {}
        self._scheduled = []

    async def add_caller(self, link_mbps=None, reads=True):
        caller = await self.environment.connect_caller(self.vm, link_mbps, reads)
        self.callers.append(caller)
        return caller

    async def add_keep_alive_callers(self, count, link_mbps=None):
        """Return keep-alive connections on which one request has been answered."""
        callers = [await self.add_caller(link_mbps) for _ in range(count)]
        for caller in callers:
            await caller.send(self.new_request())
        for caller in callers:
            await asyncio.wait_for(caller.wait_for_answers(), STOP_GRACE_SECONDS)
        return callers

    def new_request(self, size=100, pause_ms=0, method="GET"):
        return Request(self.environment.next_request_number(), size, pause_ms, method)

    def schedule(self, offset, step):
        """Schedule a step for the given number of seconds after SIGTERM."""
        self._scheduled.append((offset, step))

    def send_at(self, offset, caller, *requests):
        self.schedule(offset, lambda: caller.send(*requests))

    def connect_at(self, offset, request):
        """Schedule a request on a new connection."""

        async def connect():
            caller = await self.add_caller()
            await caller.send(request)

        self.schedule(offset, connect)

    def signal_at(self, offset, number):
        async def send_signal():
            self.vm.send_signal(number)

        self.schedule(offset, send_signal)

    async def stop(self):
        """Stop the VM, run the scheduled steps and check the exit status."""
        self.vm.stop()
        steps = [asyncio.create_task(self._run_step(*step)) for step in self._scheduled]
        status = await self.vm.wait_for_exit()
        self.unreceived_bytes = {
            c: self._count_unreceived_bytes(c) for c in self.callers if c.reads
        }
        await asyncio.gather(*steps)
        await self._wait_for_answers()
        assert status == 0, self.vm.read_log_tail()

    async def _run_step(self, offset, step):
        await self.vm.wait_until_after_sigterm(offset)
        await step()

    def _count_unreceived_bytes(self, caller):
        ran = set(self.environment.ran)
        due = sum(request.size for request in caller.unanswered if request.id in ran)
        return due - caller.bytes_buffered

    async def _wait_for_answers(self):
        ends = [caller.wait_for_answers() for caller in self.callers if caller.reads]
        await asyncio.wait_for(asyncio.gather(*ends), LAST_ANSWER_TIMEOUT_SECONDS)

    @property
    def requests(self):
        return [request for caller in self.callers for request in caller.requests]

    def requests_sent_by(self, seconds):
        """Return the requests sent up to the given number of seconds after SIGTERM."""
        end = self.vm.sigterm_at + seconds
        return [request for request in self.requests if request.sent_at <= end]

    def check_nothing_lost(self, readers=None):
        """Check that no request of a caller that reads was lost."""
        requests = self.requests if readers is None else readers
        ran = set(self.environment.ran)
        cut = [r for r in requests if r.has_begun and not r.is_complete]
        assert not cut, f"{len(cut)} answers cut: {cut[:5]}"
        lost = [r for r in requests if r.id in ran and not r.is_served]
        assert not lost, f"{len(lost)} requests lost that ran: {lost[:5]}"
        # If the machine is switched off once the process exits, bytes in flight are
        # lost.
        left = [
            n for n in self.unreceived_bytes.values() if n > MAX_KERNEL_BUFFERED_BYTES
        ]
        assert not left, f"{len(left)} answers on their way at the end: {left[:5]}"
        early = [
            r for r in self.requests_sent_by(BALANCER_SENDS_SECONDS) if r in requests
        ]
        missing = [r for r in early if not r.is_complete and not r.is_after_close]
        assert not missing, (
            f"{len(missing)} early requests without an answer: {missing[:5]}"
        )
        large = [r for r in early if r.size >= PAGE_BYTES and not r.is_served]
        assert not large, f"{len(large)} large answers not served: {large[:5]}"

    def check_log(self):
        """Check that the VM's log has no request that was read and not answered."""
        assert self.vm.read_log_entries("connection cut") == []
        ended = self.vm.read_log_entries("request ended")
        assert [line for line in ended if line["status"] == 0] == []
        (stopped,) = self.vm.read_log_entries("stopped")
        answered = [r for r in self.requests if r.is_complete]
        later = [r for r in answered if r.sent_at >= self.vm.sigterm_at]
        assert stopped["begun"] <= len(later), "a request was read and not answered"


class TestRequestTimes:
    """Requests sent at any time from SIGTERM to the exit of the process."""

    # Minimum service time of a request with another one pipelined behind it.
    MIN_SERVICE_SECONDS = 0.2

    def test_requests_on_kept_and_new_connections(self, tmp_path):
        # Guards against a stop phase in which a request is read or run and its
        # connection is closed without an answer.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                sweep = sweep_offsets(0.0, STOP_GRACE_SECONDS)
                callers = await stop.add_keep_alive_callers(len(sweep))
                for number, offset in enumerate(sweep):
                    method = "POST" if number % 2 else "GET"
                    request = stop.new_request(method=method, pause_ms=20)
                    stop.send_at(offset, callers[number], request)
                    stop.connect_at(
                        offset, stop.new_request(method=method, pause_ms=20)
                    )
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()

        asyncio.run(scenario())

    def test_requests_pipelined_behind_one_in_progress(self, tmp_path):
        # Guards against dropping a pipelined request, or one in flight at the same time
        # as the previous answer, when that answer closes the connection.
        async def scenario():
            async with StopEnvironment(tmp_path, vms=2) as environment:
                first, second = (
                    StopScenario(environment, vm) for vm in environment.vms
                )
                await self.send_behind_slow_requests(first, 0.0)
                await self.send_behind_slow_requests(second, 0.15)

        asyncio.run(scenario())

    async def send_behind_slow_requests(self, stop, ahead):
        """Pipeline requests ``ahead`` seconds before the previous answer is due."""
        sweep = sweep_offsets(self.MIN_SERVICE_SECONDS, 4.0)
        for number, caller in enumerate(await stop.add_keep_alive_callers(len(sweep))):
            offset = sweep[number]
            # A request sent later would find its connection closed as idle.
            begin = BALANCER_SENDS_SECONDS * number / len(sweep)
            pause_ms = int((offset + ahead - begin) * MS_PER_SECOND)
            stop.send_at(begin, caller, stop.new_request(pause_ms=pause_ms))
            method = "POST" if number % 2 else "GET"
            stop.send_at(offset, caller, stop.new_request(method=method, pause_ms=20))
        await stop.stop()
        stop.check_nothing_lost()
        stop.check_log()


class TestPipelines:
    """Callers that send requests without waiting for earlier answers."""

    def test_caller_whose_pipeline_never_empties(self, tmp_path):
        # Guards against cutting off a caller at the end of the stop time because its
        # connection always has a pending request.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                senders = [
                    asyncio.create_task(
                        self.keep_pipeline_full(stop, await stop.add_caller(), method)
                    )
                    for method in ("GET", "POST", "GET", "POST")
                ]
                await asyncio.sleep(0.3)
                await stop.stop()
                await asyncio.gather(*senders)
                stop.check_nothing_lost()
                assert stop.vm.read_log_entries("connection cut") == []

        asyncio.run(scenario())

    async def keep_pipeline_full(self, stop, caller, method):
        """Send requests faster than they are served until the connection closes."""
        while not caller.is_closed:
            if len(caller.unanswered) < 8:
                await caller.send(stop.new_request(pause_ms=100, method=method))
            await asyncio.sleep(0.03)

    def test_many_large_pipelined_answers_on_slow_links(self, tmp_path):
        # Guards against closing a connection after one answer while later answers on it
        # have not been sent.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for offset in sweep_offsets(0.0, 2.0, 0.1):
                    caller = await stop.add_caller(link_mbps=4)
                    requests = [stop.new_request(PAGE_BYTES) for _ in range(6)]
                    stop.send_at(offset, caller, *requests)
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()

        asyncio.run(scenario())


class TestSlowCallers:
    """Callers on slow links that receive large answers while a VM stops."""

    def test_answers_on_slow_links_arrive_whole(self, tmp_path):
        # Guards against the process exiting, or a connection closing, while the caller
        # is still receiving an answer.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for offset in sweep_offsets(0.0, 2.4, 0.2):
                    await self.add_download(stop, offset, 10, DOWNLOAD_BYTES)
                    await self.add_download(stop, offset, 4, DOWNLOAD_BYTES)
                    await self.add_download(stop, offset, 1, PAGE_BYTES)
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()

        asyncio.run(scenario())

    async def add_download(self, stop, offset, link_mbps, size):
        (caller,) = await stop.add_keep_alive_callers(1, link_mbps)
        stop.send_at(offset, caller, stop.new_request(size))

    def test_request_pipelined_behind_an_answer_being_sent(self, tmp_path):
        # Guards against closing a connection as idle while an answer produced before
        # SIGTERM is still being sent: the next request would reset the connection.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for offset in sweep_offsets(2.0, 3.4, 0.05):
                    caller = await stop.add_caller(link_mbps=2)
                    await caller.send(stop.new_request(DOWNLOAD_BYTES))
                    stop.send_at(offset, caller, stop.new_request(PAGE_BYTES))
                await self.wait_until_answers_begin(stop)
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()

        asyncio.run(scenario())

    async def wait_until_answers_begin(self, stop):
        """Wait until callers have begun to receive all answers."""

        async def have_begun():
            return all(request.has_begun for request in stop.requests)

        await wait_until(have_begun)

    def test_many_downloads_at_once(self, tmp_path):
        # Guards against a process that exits once the first of several answers is sent.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                for number in range(24):
                    (caller,) = await stop.add_keep_alive_callers(
                        1, link_mbps=10 if number % 2 else None
                    )
                    offset = BALANCER_SENDS_SECONDS if number % 3 else 0.0
                    stop.send_at(offset, caller, stop.new_request(DOWNLOAD_BYTES))
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()

        asyncio.run(scenario())

    def test_caller_that_never_reads(self, tmp_path):
        # Guards against a caller that reads nothing and so prevents the VM from
        # exiting, and against a cut connection that is not logged.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                stuck = [
                    stop.new_request(size) for size in (PAGE_BYTES, DOWNLOAD_BYTES)
                ]
                for request in stuck:
                    await (await stop.add_caller(reads=False)).send(request)
                readers = await stop.add_keep_alive_callers(4, link_mbps=10)
                for reader in readers:
                    stop.send_at(
                        BALANCER_SENDS_SECONDS, reader, stop.new_request(DOWNLOAD_BYTES)
                    )
                await stop.stop()
                stop.check_nothing_lost(
                    [r for reader in readers for r in reader.requests]
                )
                cuts = stop.vm.read_log_entries("connection cut")
                left = {line["id"]: line["bytes_left"] for line in cuts}
                assert left.keys() == {request.id for request in stuck}
                for request in stuck:
                    self.check_unsent_bytes(request, left[request.id])

        asyncio.run(scenario())

    def check_unsent_bytes(self, request, bytes_left):
        """Check that the log counts all bytes the caller's kernel has not buffered."""
        least = request.size - MAX_KERNEL_BUFFERED_BYTES
        assert least <= bytes_left <= request.size + MAX_HEAD_BYTES, request


class TestSlowTargets:
    """Targets that take longer than what is left of a stop's grace time."""

    SERVICE_SECONDS = 4.0
    # Seconds after SIGTERM until which a request can still be answered.
    LAST_SERVED_SECONDS = 0.9

    async def learn_service_times(self, stop):
        caller = await stop.add_caller()
        for method in ("GET", "POST"):
            await caller.send(self.new_request(stop, method))
            await asyncio.wait_for(caller.wait_for_answers(), STOP_GRACE_SECONDS)

    def new_request(self, stop, method):
        pause_ms = int(self.SERVICE_SECONDS * MS_PER_SECOND)
        return stop.new_request(pause_ms=pause_ms, method=method)

    def test_request_that_the_stop_would_cut_is_refused_at_once(self, tmp_path):
        # Guards against requests that run late in the grace time and end without an
        # answer, although another VM could have served them.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                await self.learn_service_times(stop)
                for number, offset in enumerate(sweep_offsets(0.0, 2.5, 0.05)):
                    method = "POST" if number % 2 else "GET"
                    stop.connect_at(offset, self.new_request(stop, method))
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()
                return stop

        stop = asyncio.run(scenario())
        early = stop.requests_sent_by(self.LAST_SERVED_SECONDS)
        assert [r for r in early if not r.is_served] == []
        late = [r for r in stop.requests if r not in early]
        assert {r.status for r in late} <= {200, 503}, late
        assert {r.status for r in late if r.method == "GET"} == {200, 503}, late


class TestSuspendedProcess:
    """A process that is suspended at the time it closes idle connections."""

    SUSPENDED_SECONDS = 0.3

    def test_requests_received_while_suspended(self, tmp_path):
        # Guards against an event loop that resumes late and closes connections as idle
        # although requests have arrived on them.
        async def scenario():
            async with StopEnvironment(tmp_path, vms=4) as environment:
                begins = [IDLE_CLOSE_SECONDS - 0.25 + 0.06 * n for n in range(4)]
                stops = [StopScenario(environment, vm) for vm in environment.vms]
                both = zip(stops, begins, strict=True)
                await asyncio.gather(*(self.suspend_process(*pair) for pair in both))

        asyncio.run(scenario())

    async def suspend_process(self, stop, begin):
        sweep = sweep_offsets(begin - 0.1, begin + self.SUSPENDED_SECONDS + 0.1)
        callers = await stop.add_keep_alive_callers(len(sweep))
        for number, offset in enumerate(sweep):
            method = "POST" if number % 2 else "GET"
            stop.send_at(offset, callers[number], stop.new_request(method=method))
        stop.signal_at(begin, signal.SIGSTOP)
        received = []
        stop.schedule(
            begin + self.SUSPENDED_SECONDS, lambda: self.resume_process(stop, received)
        )
        await stop.stop()
        stop.check_nothing_lost()
        missing = [request for request in received if not request.is_complete]
        assert not missing, (
            f"{len(missing)} of {len(received)} not answered: {missing[:5]}"
        )
        stop.check_log()

    async def resume_process(self, stop, received):
        """Resume the process and record the requests sent while it was suspended."""
        for caller in stop.callers:
            # A connection closed before the suspension is closed for the caller by now.
            if not caller.is_closed:
                received += caller.unanswered
        stop.vm.send_signal(signal.SIGCONT)


class Suspension:
    """A suspension of a stopping VM, in seconds after SIGTERM.

    Parameters
    ----------
    begin, end : float
    first_connection : float
        When the first new connection is opened.
    pause_ms : int
        Time that targets take for each request.
    """

    def __init__(self, begin, end, first_connection, pause_ms=20):
        self.begin = begin
        self.end = end
        self.first_connection = first_connection
        self.pause_ms = pause_ms


class TestConnectionsWhileSuspended:
    """New and kept connections of a VM that is suspended while it stops."""

    STEP_SECONDS = 0.04
    SUSPENSIONS = (
        Suspension(1.5, 2.9, 1.6),
        Suspension(0.5, 2.9, 0.6),
        Suspension(2.0, 2.9, 2.2),
        Suspension(2.0, 5.45, 2.05),
        Suspension(2.5, 5.5, 2.1, pause_ms=300),
        Suspension(2.8, 5.5, 2.2, pause_ms=600),
    )

    def test_requests_received_while_suspended(self, tmp_path):
        # Guards against a VM that resumes late and resets connections which wait in its
        # accept queue, or whose requests or answers it has not read yet.
        async def scenario():
            count = len(self.SUSPENSIONS)
            async with StopEnvironment(tmp_path, vms=count) as environment:
                stops = [StopScenario(environment, vm) for vm in environment.vms]
                both = zip(stops, self.SUSPENSIONS, strict=True)
                await asyncio.gather(*(self.suspend_process(*pair) for pair in both))

        asyncio.run(scenario())

    async def suspend_process(self, stop, suspension):
        sweep = sweep_offsets(
            suspension.first_connection, IDLE_CLOSE_SECONDS - 0.04, self.STEP_SECONDS
        )
        callers = await stop.add_keep_alive_callers(len(sweep))
        for number, offset in enumerate(sweep):
            method = "POST" if number % 2 else "GET"
            pause = suspension.pause_ms
            kept, new = (
                stop.new_request(method=method, pause_ms=pause) for _ in range(2)
            )
            stop.send_at(offset, callers[number], kept)
            stop.connect_at(offset, new)
        stop.signal_at(suspension.begin, signal.SIGSTOP)
        stop.signal_at(suspension.end, signal.SIGCONT)
        await stop.stop()
        stop.check_nothing_lost()
        sent = stop.requests_sent_by(IDLE_CLOSE_SECONDS)
        missing = [request for request in sent if not request.is_complete]
        assert not missing, (
            f"suspended from {suspension.begin} to {suspension.end} s: "
            f"{len(missing)} of {len(sent)} not answered: {missing[:5]}"
        )
        assert {request.status for request in sent} <= {200, 503}
        stop.check_log()


class TestSignals:
    """Signals that come while a VM stops."""

    def test_repeated_sigterm_and_sighup(self, tmp_path):
        # Guards against a second SIGTERM, or a reload, that ends the process at once or
        # restarts the stop.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                sweep = sweep_offsets(0.0, 3.0, 0.02)
                for offset, caller in zip(
                    sweep, await stop.add_keep_alive_callers(len(sweep)), strict=True
                ):
                    stop.send_at(offset, caller, stop.new_request(pause_ms=20))
                for offset in (0.0, 1.0, 2.0, 2.4):
                    (caller,) = await stop.add_keep_alive_callers(1, link_mbps=4)
                    stop.send_at(offset, caller, stop.new_request(DOWNLOAD_BYTES))
                for offset in (0.01, 1.0, IDLE_CLOSE_SECONDS, 3.0):
                    stop.signal_at(offset, signal.SIGTERM)
                for offset in (0.02, 1.5, IDLE_CLOSE_SECONDS + 0.02, 2.9):
                    stop.signal_at(offset, signal.SIGHUP)
                await stop.stop()
                stop.check_nothing_lost()
                stop.check_log()

        asyncio.run(scenario())

    def test_signals_until_the_process_has_ended(self, tmp_path):
        # Guards against a signal that arrives after its handler was removed, in the
        # last steps of the stop, and ends the process with a different exit status.
        async def scenario():
            async with StopEnvironment(tmp_path) as environment:
                stop = StopScenario(environment, environment.vms[0])
                signals = asyncio.create_task(self.signal_until_exit(stop.vm))
                await stop.stop()
                await signals
                assert len(stop.vm.read_log_entries("stopped")) == 1

        asyncio.run(scenario())

    async def signal_until_exit(self, vm):
        """Send SIGTERM and SIGHUP in turn until the process has exited."""
        signals_in_turn = cycle((signal.SIGTERM, signal.SIGHUP))
        await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        while vm.process.poll() is None:
            vm.send_signal(next(signals_in_turn))
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
