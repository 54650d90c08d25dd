"""Notices when the event loop stands still, and tells what held it up.

A request whose time ends while the loop stands still gets its answer too late, and the
logs of its VM show nothing but a gap. The gap looks alike whether the program computed,
waited for its log to be written, or was not given a core. Each of them is measured.
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.metrics import Metrics

# Seconds between two looks.
PERIOD = 0.25
# Seconds by which a look is late from which it is logged: a tenth of the shortest time
# that callers wait.
LATE = 0.04
# Where Linux tells the nanoseconds for which this process ran and waited for a core.
SCHEDULER_PAGE = "/proc/self/schedstat"
_NANOSECONDS = 1e9
_LONGEST_PAGE = 128

log = Logger(__name__)


class Usage:
    """What has been spent since the process started.

    Parameters
    ----------
    moment : float
        Monotonic seconds.
    processor : float
        Seconds on a core.
    queued : float or None
        Seconds of waiting for a core; None where the system does not tell.
    writing : float
        Seconds of writing log lines.
    """

    __slots__ = ("moment", "processor", "queued", "writing")

    def __init__(
        self, moment: float, processor: float, queued: float | None, writing: float
    ):
        self.moment = moment
        self.processor = processor
        self.queued = queued
        self.writing = writing


class Delay:
    """By how much a look was late, and where the time between two looks went.

    Parameters
    ----------
    before, after : Usage
    period : float
        Seconds that were meant to lie between them.

    Attributes
    ----------
    late, processor, writing : float
    queued : float or None
        Seconds, as in :class:`Usage`.
    """

    __slots__ = ("late", "processor", "queued", "writing")

    def __init__(self, before: Usage, after: Usage, period: float):
        self.late = max(0.0, after.moment - before.moment - period)
        self.processor = after.processor - before.processor
        self.writing = after.writing - before.writing
        self.queued: float | None = None
        if before.queued is not None and after.queued is not None:
            self.queued = after.queued - before.queued


class SchedulerPage:
    """The system's page on how long this process waited for a core."""

    def __init__(self, path: str = SCHEDULER_PAGE):
        try:
            self._fd = os.open(path, os.O_RDONLY)
        except OSError as exc:
            log.info("waits for a core are not told", extra={"cause": str(exc)})
            self._fd = -1

    def queued(self) -> float | None:
        """Return the seconds of waiting so far; None where nobody tells."""
        if self._fd < 0:
            return None
        try:
            return int(os.pread(self._fd, _LONGEST_PAGE, 0).split()[1]) / _NANOSECONDS
        except (OSError, ValueError, IndexError) as exc:
            log.info("waits for a core are not told", extra={"cause": str(exc)})
            self.close()
            return None

    def close(self) -> None:
        """Let go of the page."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class LoopLagMonitor:
    """Looks at the clock again and again.

    Parameters
    ----------
    metrics : Metrics
    writing : callable
        Returns the seconds that log lines have taken to write since the start.
    """

    def __init__(self, metrics: Metrics, writing: Callable[[], float]):
        self._metrics = metrics
        self._writing = writing
        self._page = SchedulerPage()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to look."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
        self._page.close()

    async def _run(self) -> None:
        before = self._usage()
        while True:
            await asyncio.sleep(PERIOD)
            after = self._usage()
            self._note(Delay(before, after, PERIOD))
            before = after

    def _usage(self) -> Usage:
        return Usage(now(), time.process_time(), self._page.queued(), self._writing())

    def _note(self, delay: Delay) -> None:
        if delay.late < LATE:
            return
        self._metrics.loop_late(delay.late)
        extra = {
            "late": round(delay.late, 3),
            "processor": round(delay.processor, 3),
            "writing": round(delay.writing, 3),
        }
        if delay.queued is not None:
            extra["queued"] = round(delay.queued, 3)
        log.warning("event loop was late", extra=extra)
