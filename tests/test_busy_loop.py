"""Tests that a VM whose event loop is busy while it stops loses no requests."""

from __future__ import annotations

import asyncio
import signal

from busy_vm import BUSY_SECONDS
from stop_environment import BusyVm, StopEnvironment
from test_stops import IDLE_CLOSE_SECONDS, StopScenario, sweep_offsets

# Seconds before the end of a busy turn in which a request may be too late for it: it
# would cross the close of its connection.
CROSSING_SECONDS = 0.05


class TestBusyLoop:
    """An event loop that is busy at the time at which it closes idle connections."""

    def test_requests_received_while_busy(self, tmp_path):
        # Guards against closing a connection as idle whose request was read late and
        # has not yet been counted.
        async def scenario():
            async with StopEnvironment(tmp_path, 4, BusyVm) as environment:
                begins = [IDLE_CLOSE_SECONDS - 0.25 + 0.06 * n for n in range(4)]
                stops = [StopScenario(environment, vm) for vm in environment.vms]
                both = zip(stops, begins, strict=True)
                await asyncio.gather(*(self.keep_busy(*pair) for pair in both))

        asyncio.run(scenario())

    async def keep_busy(self, stop, begin):
        sweep = sweep_offsets(begin - 0.1, begin + BUSY_SECONDS - CROSSING_SECONDS)
        callers = await stop.add_keep_alive_callers(len(sweep))
        for number, offset in enumerate(sweep):
            method = "POST" if number % 2 else "GET"
            stop.send_at(offset, callers[number], stop.new_request(method=method))
        stop.signal_at(begin, signal.SIGUSR1)
        await stop.stop()
        stop.check_nothing_lost()
        missing = [request for request in stop.requests if not request.is_complete]
        assert not missing, f"{len(missing)} not answered: {missing[:5]}"
        stop.check_log()
        (leaving,) = [
            line
            for line in stop.vm.read_log_entries("stop phase ended")
            if line["phase"] == "leaving"
        ]
        assert leaving["late"] > 0, "the loop was not busy when its timer was due"
