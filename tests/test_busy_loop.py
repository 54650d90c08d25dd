"""Tests that a VM whose event loop is busy while it stops loses no requests."""

from __future__ import annotations

import asyncio
import signal
import time
from functools import partial

from busy_vm import BUSY_SECONDS
from stop_environment import BusyVm, StopEnvironment
from test_stops import IDLE_CLOSE_SECONDS, StopScenario, sweep_offsets

# When loops become busy, in seconds after SIGTERM. They still are when idle connections
# are due, also if the signal is late by a tenth of a second.
BUSY_AT_SECONDS = [IDLE_CLOSE_SECONDS - 0.22 + 0.03 * n for n in range(4)]
# Least delay of the timer that closes idle connections.
MIN_LATE_SECONDS = 0.02
# A request sent so shortly before the end of the busy turn may be too late for it.
CROSSING_SECONDS = 0.05


class TestBusyLoop:
    """An event loop that is busy at the time at which it closes idle connections."""

    def test_requests_received_while_busy(self, tmp_path):
        # Guards against closing a connection as idle whose request was read late and
        # has not yet been counted.
        # End of the busy turn of each stop, in seconds after SIGTERM.
        self.busy_until = {}

        async def scenario():
            count = len(BUSY_AT_SECONDS)
            async with StopEnvironment(tmp_path, count, BusyVm) as environment:
                stops = [StopScenario(environment, vm) for vm in environment.vms]
                both = zip(stops, BUSY_AT_SECONDS, strict=True)
                await asyncio.gather(*(self.keep_busy(*pair) for pair in both))

        asyncio.run(scenario())

    async def keep_busy(self, stop, begin):
        sweep = sweep_offsets(begin - 0.1, begin + BUSY_SECONDS - CROSSING_SECONDS)
        callers = await stop.add_keep_alive_callers(len(sweep))
        for number, offset in enumerate(sweep):
            method = "POST" if number % 2 else "GET"
            stop.send_at(offset, callers[number], stop.new_request(method=method))
        stop.schedule(begin, partial(self.occupy_loop, stop))
        await stop.stop()
        stop.check_nothing_lost()
        received = stop.requests_sent_by(self.busy_until[stop] - CROSSING_SECONDS)
        missing = [request for request in received if not request.is_complete]
        assert not missing, (
            f"{len(missing)} of {len(received)} not answered: {missing[:5]}"
        )
        stop.check_log()
        (leaving,) = [
            line
            for line in stop.vm.read_log_entries("stop phase ended")
            if line["phase"] == "leaving"
        ]
        assert leaving["late"] > MIN_LATE_SECONDS, (
            "the loop was not busy when its timer was due"
        )

    async def occupy_loop(self, stop):
        """Keep the loop busy, and record until when at least."""
        begin = time.monotonic() - stop.vm.sigterm_at
        self.busy_until[stop] = begin + BUSY_SECONDS
        stop.vm.send_signal(signal.SIGUSR1)
