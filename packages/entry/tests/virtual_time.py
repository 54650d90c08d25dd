"""An event loop whose time passes at once, and the program's clock along with it."""

from __future__ import annotations

import asyncio
import selectors
from contextlib import contextmanager

from berylstage_entry import clock


class _Selector(selectors.SelectSelector):
    """Waits for nothing: the loop's time jumps by what it would have waited."""

    def __init__(self):
        super().__init__()
        self.moment = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait for ever")
        self.moment += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.moment


class _Clock:
    """Stands in for the module that the program's clock reads."""

    def __init__(self, loop):
        self._loop = loop

    def clock_gettime(self, which):
        return self._loop.time()


@contextmanager
def virtual_loop():
    """Have a loop in virtual time that the program's clock follows."""
    loop = VirtualLoop()
    real, clock.time = clock.time, _Clock(loop)
    asyncio.set_event_loop(loop)
    try:
        yield loop
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        clock.time = real
        asyncio.set_event_loop(None)
        loop.close()
