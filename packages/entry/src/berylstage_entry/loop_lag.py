"""Measures the lag of the event loop and its causes.

A request whose deadline passes while the loop is blocked is answered after its
deadline, and the logs of the VM show nothing but a gap. The gap looks the same whether
the process computed, waited for log lines to be written, or waited for a CPU core.
Therefore each of these is measured.
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.metrics import Metrics

CHECK_INTERVAL_SECONDS = 0.25
# A tenth of the shortest timeout of callers.
MIN_LOGGED_LAG_SECONDS = 0.04
# Linux reports here the nanoseconds for which this process ran and waited for a core.
SCHEDSTAT_PATH = "/proc/self/schedstat"
_NANOSECONDS_PER_SECOND = 1e9
_MAX_READ_BYTES = 128

log = Logger(__name__)


class ResourceUsage:
    """Time used by the process since its start.

    Parameters
    ----------
    measured_at : float
        Monotonic seconds.
    cpu_seconds : float
        Seconds of CPU time.
    run_queue_seconds : float or None
        Seconds of waiting for a core; None if the system does not report them.
    log_write_seconds : float
        Seconds of writing log lines.
    """

    __slots__ = ("measured_at", "cpu_seconds", "run_queue_seconds", "log_write_seconds")

    def __init__(
        self,
        measured_at: float,
        cpu_seconds: float,
        run_queue_seconds: float | None,
        log_write_seconds: float,
    ):
        self.measured_at = measured_at
        self.cpu_seconds = cpu_seconds
        self.run_queue_seconds = run_queue_seconds
        self.log_write_seconds = log_write_seconds


class LoopLag:
    """Lag of the event loop, and the time used between two measurements.

    Parameters
    ----------
    before, after : ResourceUsage
    interval : float
        Planned seconds between them.

    Attributes
    ----------
    lag_seconds, cpu_seconds, log_write_seconds : float
    run_queue_seconds : float or None
        Seconds, as in :class:`ResourceUsage`.
    """

    __slots__ = ("lag_seconds", "cpu_seconds", "run_queue_seconds", "log_write_seconds")

    def __init__(self, before: ResourceUsage, after: ResourceUsage, interval: float):
        self.lag_seconds = max(0.0, after.measured_at - before.measured_at - interval)
        self.cpu_seconds = after.cpu_seconds - before.cpu_seconds
        self.log_write_seconds = after.log_write_seconds - before.log_write_seconds
        self.run_queue_seconds: float | None = None
        if before.run_queue_seconds is not None and after.run_queue_seconds is not None:
            self.run_queue_seconds = after.run_queue_seconds - before.run_queue_seconds


class SchedulerStats:
    """Reads from the system how long this process has waited for a core."""

    def __init__(self, path: str = SCHEDSTAT_PATH):
        try:
            self._fd = os.open(path, os.O_RDONLY)
        except OSError as exc:
            log.info(
                "run queue time of the process is unavailable",
                extra={"cause": str(exc)},
            )
            self._fd = -1

    def run_queue_seconds(self) -> float | None:
        """Return the seconds of waiting so far, or None if they are unknown."""
        if self._fd < 0:
            return None
        try:
            return (
                int(os.pread(self._fd, _MAX_READ_BYTES, 0).split()[1])
                / _NANOSECONDS_PER_SECOND
            )
        except (OSError, ValueError, IndexError) as exc:
            log.info(
                "run queue time of the process is unavailable",
                extra={"cause": str(exc)},
            )
            self.close()
            return None

    def close(self) -> None:
        """Close the file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class LoopLagMonitor:
    """Measures the lag of the event loop at a fixed interval.

    Parameters
    ----------
    metrics : Metrics
    log_write_seconds : callable
        Returns the seconds spent on writing log lines since the start.
    """

    def __init__(self, metrics: Metrics, log_write_seconds: Callable[[], float]):
        self._metrics = metrics
        self._log_write_seconds = log_write_seconds
        self._scheduler_stats = SchedulerStats()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start measuring."""
        self._task = supervise("loop lag", self._run)

    def stop(self) -> None:
        """Stop measuring."""
        if self._task is not None:
            self._task.cancel()
        self._scheduler_stats.close()

    async def _run(self) -> None:
        before = self._measure()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            after = self._measure()
            self._record(LoopLag(before, after, CHECK_INTERVAL_SECONDS))
            before = after

    def _measure(self) -> ResourceUsage:
        return ResourceUsage(
            now(),
            time.process_time(),
            self._scheduler_stats.run_queue_seconds(),
            self._log_write_seconds(),
        )

    def _record(self, lag: LoopLag) -> None:
        if lag.lag_seconds < MIN_LOGGED_LAG_SECONDS:
            return
        self._metrics.record_loop_lag(lag.lag_seconds)
        extra = {
            "late": round(lag.lag_seconds, 3),
            "processor": round(lag.cpu_seconds, 3),
            "writing": round(lag.log_write_seconds, 3),
        }
        if lag.run_queue_seconds is not None:
            extra["queued"] = round(lag.run_queue_seconds, 3)
        log.warning("event loop was late", extra=extra)
