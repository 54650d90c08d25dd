"""Tests of stops that lose nothing, with VMs as processes and callers as sockets."""

from __future__ import annotations

import asyncio
import signal
import sys
from itertools import cycle
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from slow_caller import WINDOW_BYTES, Request
from stop_environment import GRACE_S, Stage
from test_start import until

# Seconds after SIGTERM for which the balancer may still send callers: it asks once a
# second and leaves a VM out after two misses.
BALANCER_S = 2.0
# Seconds after SIGTERM at which a VM closes the connections without a request.
IDLE_CLOSE_S = 2.6
# Seconds between the moments of a sweep.
STEP_S = 0.01
# Seconds between signals that are sent until a process ends.
SIGNAL_STEP_S = 0.002
# Seconds for which callers wait for the last answer after a process has ended.
LAST_ANSWER_S = 3.0
MS = 1000
# Bytes of answers that the kernel of a slow caller takes unread, at most.
TAKEN_BYTES = 4 * WINDOW_BYTES
# Bytes of an answer's head at most.
HEAD_BYTES = 1024
PAGE_BYTES = 90_000
DOWNLOAD_BYTES = 1_000_000


def moments(first, last, step=STEP_S):
    """Return the moments of a sweep, in seconds after SIGTERM."""
    return [first + step * n for n in range(round((last - first) / step) + 1)]


class Play:
    """One stop of a VM with callers at it, and the verdict on their requests.

    Parameters
    ----------
    stage : Stage
    vm : StoppingVm
    """

    def __init__(self, stage, vm):
        self.stage = stage
        self.vm = vm
        self.callers = []
        # Bytes that callers had not received when the process ended.
        self.left = {}
        self._sending = []

    async def caller(self, link_mbps=None, reads=True):
        caller = await self.stage.caller(self.vm, link_mbps, reads)
        self.callers.append(caller)
        return caller

    async def kept(self, count, link_mbps=None):
        """Return connections on which a request has been answered."""
        callers = [await self.caller(link_mbps) for _ in range(count)]
        for caller in callers:
            await caller.send(self.request())
        for caller in callers:
            await asyncio.wait_for(caller.answered(), GRACE_S)
        return callers

    def request(self, size=100, pause_ms=0, method="GET"):
        return Request(self.stage.number(), size, pause_ms, method)

    def at(self, moment, step):
        """Take a step so many seconds after SIGTERM."""
        self._sending.append((moment, step))

    def send_at(self, moment, caller, *requests):
        self.at(moment, lambda: caller.send(*requests))

    def connect_at(self, moment, request):
        """Send a request on a connection that begins with it."""

        async def connect():
            caller = await self.caller()
            await caller.send(request)

        self.at(moment, connect)

    def signal_at(self, moment, number):
        async def tell():
            self.vm.tell(number)

        self.at(moment, tell)

    async def stop(self):
        """Tell the VM to stop, take the steps, and check how the process ends."""
        self.vm.stop()
        steps = [asyncio.create_task(self._take(*step)) for step in self._sending]
        status = await self.vm.ended()
        self.left = {c: self._bytes_left(c) for c in self.callers if c.reads}
        await asyncio.gather(*steps)
        await self._settle()
        assert status == 0, self.vm.tail()

    async def _take(self, moment, step):
        await self.vm.at(moment)
        await step()

    def _bytes_left(self, caller):
        ran = set(self.stage.ran)
        due = sum(request.size for request in caller.waiting if request.id in ran)
        return due - caller.bytes_buffered

    async def _settle(self):
        ends = [caller.answered() for caller in self.callers if caller.reads]
        await asyncio.wait_for(asyncio.gather(*ends), LAST_ANSWER_S)

    @property
    def requests(self):
        return [request for caller in self.callers for request in caller.requests]

    def sent_by(self, seconds):
        """Return the requests that were sent until so long after SIGTERM."""
        end = self.vm.told_at + seconds
        return [request for request in self.requests if request.sent_at <= end]

    def check(self, readers=None):
        """Check that nothing was lost of the requests of callers that read."""
        requests = self.requests if readers is None else readers
        ran = set(self.stage.ran)
        cut = [r for r in requests if r.has_begun and not r.is_whole]
        assert not cut, f"{len(cut)} answers cut: {cut[:5]}"
        lost = [r for r in requests if r.id in ran and not r.is_served]
        assert not lost, f"{len(lost)} requests lost that ran: {lost[:5]}"
        # A machine that is switched off behind its process takes them along.
        left = [n for n in self.left.values() if n > TAKEN_BYTES]
        assert not left, f"{len(left)} answers on their way at the end: {left[:5]}"
        early = [r for r in self.sent_by(BALANCER_S) if r in requests]
        bare = [r for r in early if not r.is_whole and not r.is_behind_end]
        assert not bare, f"{len(bare)} early requests without an answer: {bare[:5]}"
        large = [r for r in early if r.size >= PAGE_BYTES and not r.is_served]
        assert not large, f"{len(large)} large answers not served: {large[:5]}"

    def check_log(self):
        """Check that the VM too knows of no request that it read and left."""
        assert self.vm.lines("connection cut") == []
        ended = self.vm.lines("request ended")
        assert [line for line in ended if line["status"] == 0] == []
        (stopped,) = self.vm.lines("stopped")
        answered = [r for r in self.requests if r.is_whole]
        later = [r for r in answered if r.sent_at >= self.vm.told_at]
        assert stopped["begun"] <= len(later), "a request was read and not answered"


class TestMoments:
    """Requests that begin at any moment from SIGTERM to the end of the process."""

    # Seconds for which a request is served, at least, that others come behind.
    SERVED_S = 0.2

    def test_requests_on_kept_and_new_connections(self, tmp_path):
        # Guards against a moment of the stop at which a request is read, or run, and
        # its connection closed without an answer.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                sweep = moments(0.0, GRACE_S)
                callers = await stop.kept(len(sweep))
                for number, moment in enumerate(sweep):
                    method = "POST" if number % 2 else "GET"
                    request = stop.request(method=method, pause_ms=20)
                    stop.send_at(moment, callers[number], request)
                    stop.connect_at(moment, stop.request(method=method, pause_ms=20))
                await stop.stop()
                stop.check()
                stop.check_log()

        asyncio.run(play())

    def test_requests_behind_one_that_is_served(self, tmp_path):
        # Guards against a request that is read behind another one, or crosses the
        # answer to it, and is dropped when that answer closes the connection.
        async def play():
            async with Stage(tmp_path, vms=2) as stage:
                first, second = (Play(stage, vm) for vm in stage.vms)
                await self.follow(first, 0.0)
                await self.follow(second, 0.15)

        asyncio.run(play())

    async def follow(self, stop, ahead):
        """Send requests so many seconds before the answers to those before them."""
        sweep = moments(self.SERVED_S, 4.0)
        for number, caller in enumerate(await stop.kept(len(sweep))):
            moment = sweep[number]
            # Later ones would come to a connection that is closed as idle.
            begin = BALANCER_S * number / len(sweep)
            pause_ms = int((moment + ahead - begin) * MS)
            stop.send_at(begin, caller, stop.request(pause_ms=pause_ms))
            method = "POST" if number % 2 else "GET"
            stop.send_at(moment, caller, stop.request(method=method, pause_ms=20))
        await stop.stop()
        stop.check()
        stop.check_log()


class TestPipelines:
    """Callers that send requests without waiting for the answers before them."""

    def test_caller_that_always_has_a_request_behind(self, tmp_path):
        # Guards against the end of the stop time cutting off a caller whose connection
        # is never without a request.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                feeds = [
                    asyncio.create_task(self.feed(stop, await stop.caller(), method))
                    for method in ("GET", "POST", "GET", "POST")
                ]
                await asyncio.sleep(0.3)
                await stop.stop()
                await asyncio.gather(*feeds)
                stop.check()
                assert stop.vm.lines("connection cut") == []

        asyncio.run(play())

    async def feed(self, stop, caller, method):
        """Send requests faster than they are served until the connection ends."""
        while not caller.has_ended:
            if len(caller.waiting) < 8:
                await caller.send(stop.request(pause_ms=100, method=method))
            await asyncio.sleep(0.03)

    def test_many_large_answers_behind_each_other_on_slow_links(self, tmp_path):
        # Guards against closing behind an answer while others of the connection are
        # still to leave.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                for moment in moments(0.0, 2.0, 0.1):
                    caller = await stop.caller(link_mbps=4)
                    requests = [stop.request(PAGE_BYTES) for _ in range(6)]
                    stop.send_at(moment, caller, *requests)
                await stop.stop()
                stop.check()
                stop.check_log()

        asyncio.run(play())


class TestSlowCallers:
    """Callers on slow links that take large answers while a VM stops."""

    def test_answers_on_slow_links_arrive_whole(self, tmp_path):
        # Guards against the end of the process, or of a connection, with an answer
        # that the caller is still taking.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                for moment in moments(0.0, 2.4, 0.2):
                    await self.add(stop, moment, 10, DOWNLOAD_BYTES)
                    await self.add(stop, moment, 4, DOWNLOAD_BYTES)
                    await self.add(stop, moment, 1, PAGE_BYTES)
                await stop.stop()
                stop.check()
                stop.check_log()

        asyncio.run(play())

    async def add(self, stop, moment, link_mbps, size):
        (caller,) = await stop.kept(1, link_mbps)
        stop.send_at(moment, caller, stop.request(size))

    def test_request_behind_an_answer_on_its_way(self, tmp_path):
        # Guards against a connection that is taken for idle while its answer, made
        # before SIGTERM, is on its way: the next request on it resets the connection.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                for moment in moments(2.0, 3.4, 0.05):
                    caller = await stop.caller(link_mbps=2)
                    await caller.send(stop.request(DOWNLOAD_BYTES))
                    stop.send_at(moment, caller, stop.request(PAGE_BYTES))
                await self.all_begun(stop)
                await stop.stop()
                stop.check()
                stop.check_log()

        asyncio.run(play())

    async def all_begun(self, stop):
        """Wait until the answers to all that was sent are on their way."""

        async def begun():
            return all(request.has_begun for request in stop.requests)

        await until(begun)

    def test_many_downloads_at_once(self, tmp_path):
        # Guards against a process that ends when the first of several answers is out.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                for number in range(24):
                    (caller,) = await stop.kept(1, link_mbps=10 if number % 2 else None)
                    moment = BALANCER_S if number % 3 else 0.0
                    stop.send_at(moment, caller, stop.request(DOWNLOAD_BYTES))
                await stop.stop()
                stop.check()
                stop.check_log()

        asyncio.run(play())

    def test_caller_that_never_reads(self, tmp_path):
        # Guards against a caller that takes nothing and so keeps a VM from ending, and
        # against a cut that the log does not tell.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                stuck = [stop.request(size) for size in (PAGE_BYTES, DOWNLOAD_BYTES)]
                for request in stuck:
                    await (await stop.caller(reads=False)).send(request)
                readers = await stop.kept(4, link_mbps=10)
                for reader in readers:
                    stop.send_at(BALANCER_S, reader, stop.request(DOWNLOAD_BYTES))
                await stop.stop()
                stop.check([r for reader in readers for r in reader.requests])
                cuts = stop.vm.lines("connection cut")
                left = {line["id"]: line["bytes_left"] for line in cuts}
                assert left.keys() == {request.id for request in stuck}
                for request in stuck:
                    self.check_left(request, left[request.id])

        asyncio.run(play())

    def check_left(self, request, bytes_left):
        """Check that all but what the caller's kernel took is told as left."""
        least = request.size - TAKEN_BYTES
        assert least <= bytes_left <= request.size + HEAD_BYTES, request


class TestHeldUp:
    """A process that does not run for a while when it closes idle connections."""

    HELD_UP_S = 0.3

    def test_requests_that_come_meanwhile(self, tmp_path):
        # Guards against a loop that comes late and closes connections as idle on
        # requests that have come.
        async def play():
            async with Stage(tmp_path, vms=4) as stage:
                begins = [IDLE_CLOSE_S - 0.25 + 0.06 * n for n in range(4)]
                plays = [Play(stage, vm) for vm in stage.vms]
                both = zip(plays, begins, strict=True)
                await asyncio.gather(*(self.hold_up(*pair) for pair in both))

        asyncio.run(play())

    async def hold_up(self, stop, begin):
        sweep = moments(begin - 0.1, begin + self.HELD_UP_S + 0.1)
        callers = await stop.kept(len(sweep))
        for number, moment in enumerate(sweep):
            method = "POST" if number % 2 else "GET"
            stop.send_at(moment, callers[number], stop.request(method=method))
        stop.signal_at(begin, signal.SIGSTOP)
        come = []
        stop.at(begin + self.HELD_UP_S, lambda: self.go_on(stop, come))
        await stop.stop()
        stop.check()
        bare = [request for request in come if not request.is_whole]
        assert not bare, f"{len(bare)} of {len(come)} not answered: {bare[:5]}"
        stop.check_log()

    async def go_on(self, stop, come):
        """Let the process go on, and note what came to it while it stood still."""
        for caller in stop.callers:
            # One that was closed before has ended for its caller by now.
            if not caller.has_ended:
                come += caller.waiting
        stop.vm.tell(signal.SIGCONT)


class TestSignals:
    """Signals that come while a VM stops."""

    def test_sigterm_again_and_sighup(self, tmp_path):
        # Guards against a second SIGTERM, or a reload, that ends the process at once
        # or begins the stop anew.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                sweep = moments(0.0, 3.0, 0.02)
                for moment, caller in zip(
                    sweep, await stop.kept(len(sweep)), strict=True
                ):
                    stop.send_at(moment, caller, stop.request(pause_ms=20))
                for moment in (0.0, 1.0, 2.0, 2.4):
                    (caller,) = await stop.kept(1, link_mbps=4)
                    stop.send_at(moment, caller, stop.request(DOWNLOAD_BYTES))
                for moment in (0.01, 1.0, IDLE_CLOSE_S, 3.0):
                    stop.signal_at(moment, signal.SIGTERM)
                for moment in (0.02, 1.5, IDLE_CLOSE_S + 0.02, 2.9):
                    stop.signal_at(moment, signal.SIGHUP)
                await stop.stop()
                stop.check()
                stop.check_log()

        asyncio.run(play())

    def test_signals_until_the_process_has_ended(self, tmp_path):
        # Guards against a signal that finds its handler gone and ends the process with
        # a status of its own while the stop is at its last steps.
        async def play():
            async with Stage(tmp_path) as stage:
                stop = Play(stage, stage.vms[0])
                signals = asyncio.create_task(self.send_all(stop.vm))
                await stop.stop()
                await signals
                assert len(stop.vm.lines("stopped")) == 1

        asyncio.run(play())

    async def send_all(self, vm):
        """Send signals in turn until the process has ended."""
        turn = cycle((signal.SIGTERM, signal.SIGHUP))
        await asyncio.sleep(SIGNAL_STEP_S)
        while vm.process.poll() is None:
            vm.tell(next(turn))
            await asyncio.sleep(SIGNAL_STEP_S)
