"""An event loop in virtual time, which the program's clock follows."""

from __future__ import annotations

import asyncio
import selectors
from contextlib import contextmanager

from berylstage_entry import clock


class _VirtualSelector(selectors.SelectSelector):
    """Returns at once and advances the virtual time by the timeout."""

    def __init__(self):
        super().__init__()
        self.current_time = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no task will ever wake up")
        self.current_time += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.current_time


class _VirtualTimeModule:
    """Replaces the time module of the program's clock."""

    def __init__(self, loop):
        self._loop = loop

    def clock_gettime(self, which):
        return self._loop.time()


@contextmanager
def virtual_loop():
    """Set a loop in virtual time that the program's clock follows."""
    loop = VirtualLoop()
    original, clock.time = clock.time, _VirtualTimeModule(loop)
    asyncio.set_event_loop(loop)
    try:
        yield loop
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        clock.time = original
        asyncio.set_event_loop(None)
        loop.close()
