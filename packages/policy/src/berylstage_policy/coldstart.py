"""Concurrency limit of a target after a start (slow start).

A target in cold start that receives full traffic at once crashes, restarts and crashes
again, and never becomes available although each start succeeds. The limit therefore
begins at one request and rises with observed completions. Any sign of a new start
resets it to one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_policy.thresholds import Thresholds

# Ratio assumed for an answer if it is not known whether it was slow.
UNKNOWN_RATIO = 100.0


class ColdStart:
    """Concurrency limit of one target, between one and its number of slots.

    Parameters
    ----------
    slots : int
        Concurrent requests that the warm target accepts.
    thresholds : Thresholds
    now : float
        Monotonic seconds. A new leader does not know whether the target is warm.
    """

    __slots__ = (
        "_slots",
        "_limit",
        "_incarnation",
        "_reported_cold",
        "_reported_warm",
        "_started_at",
        "_restart_suspected",
        "_confirmed_at",
        "_raised_at",
        "_completions",
        "_ratio_sum",
        "_windows",
        "_completions_per_level",
        "_slow_ratio",
        "_max_windows",
        "_max_silence_seconds",
    )

    def __init__(self, slots: int, thresholds: Thresholds, now: float):
        self._slots = slots
        self._limit = 1
        self._incarnation = ""
        # Latest report from this incarnation of the target.
        self._reported_cold = False
        self._reported_warm = False
        self._started_at = now
        self._restart_suspected = False
        self._confirmed_at = now
        self._raised_at = float("-inf")
        self._completions = 0
        self._ratio_sum = 0.0
        self._windows = 0
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds; the state of the ramp is kept.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._completions_per_level = int(thresholds["ramp_completions"])
        self._slow_ratio = thresholds["ramp_slow_ratio"]
        self._max_windows = int(thresholds["ramp_patience"])
        self._max_silence_seconds = thresholds["confirm_silence"]

    @property
    def level(self) -> int:
        """Level of the ramp, ignoring a suspected restart."""
        return self._limit

    @property
    def warm(self) -> bool:
        """Whether the ramp is complete."""
        return self._limit >= self._slots

    def limit(self, now: float) -> int:
        """Return the number of requests that the target may run at this time."""
        # A target that restarts while idle fails no request. The restart would be
        # noticed only by the requests lost when the full load arrives, so the first
        # request after a silence is sent alone.
        if (
            self._restart_suspected
            or now - self._confirmed_at > self._max_silence_seconds
        ):
            return 1
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; additional ones are reached through the ramp."""
        self._slots = slots
        self._limit = min(self._limit, slots)

    def reset(self, now: float) -> None:
        """Reset the limit to one after a restart or a report of a cold start."""
        self._limit = 1
        self._restart_suspected = False
        self._started_at = now
        self._reported_cold = False
        self._reported_warm = False
        self._reset_level()

    def observe_incarnation(self, now: float, incarnation: str) -> None:
        """Record a reply that names the target's incarnation."""
        if incarnation and self._incarnation and incarnation != self._incarnation:
            self.reset(now)
        self._incarnation = incarnation or self._incarnation
        self._confirmed_at = now
        self._restart_suspected = False

    def set_reported_cold(self, now: float, cold: bool, age: float = 0.0) -> None:
        """Record the target's own report of whether it is in cold start.

        A report comes with the reply to a grant or in a load report. It never raises
        the limit by itself, but completions count only after a report of ``warm``: some
        cold targets answer as fast as warm ones until they crash. A report of ``cold``
        made before the last level was reached is outdated, and one of ``warm`` made
        before the last start is from an earlier incarnation.

        Parameters
        ----------
        now : float
        cold : bool
        age : float
            Seconds since the report was made.
        """
        reported_at = now - age
        if cold and reported_at > self._raised_at:
            self.reset(now)
            self._reported_cold = True
        elif not cold and reported_at >= self._started_at and not self._reported_warm:
            self._reported_cold = False
            self._reported_warm = True
            self._completions = 0
            self._ratio_sum = 0.0

    def suspect_restart(self, now: float) -> None:
        """Limit the target to one request until its incarnation is confirmed.

        The target may have restarted if a request got no answer. A complete ramp for
        each lost connection would cost too much, so the limit is restored once a reply
        names the same incarnation.
        """
        self._restart_suspected = True

    def record_completion(self, now: float, ratio: float | None) -> None:
        """Count an answer towards the next level.

        Parameters
        ----------
        now : float
        ratio : float or None
            Service time relative to that of the same kind on the warm target; None if
            unknown.
        """
        self._confirmed_at = now
        if self.warm or self._reported_cold:
            return
        self._completions += 1
        # Without a warm service time to compare with, slow answers look normal, and
        # without the target's report, a fragile target looks warm. The ramp then
        # proceeds as for a slow target, which takes several times as many answers.
        is_known = ratio is not None and self._reported_warm
        self._ratio_sum += ratio if is_known and ratio is not None else UNKNOWN_RATIO
        if self._completions < self._completions_per_level:
            return
        self._windows += 1
        # A target that is still slow is still cold, whatever the count. A target that
        # is permanently slow must not stay at one request forever.
        is_fast = self._ratio_sum <= self._slow_ratio * self._completions
        if is_fast or self._windows >= self._max_windows:
            self._limit += 1
            self._raised_at = now
            self._reset_level()
        else:
            self._completions = 0
            self._ratio_sum = 0.0

    def _reset_level(self) -> None:
        """Reset the counters of the level."""
        self._completions = 0
        self._ratio_sum = 0.0
        self._windows = 0
