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
        "_told_cold",
        "_told_warm",
        "_started",
        "_suspect",
        "_confirmed",
        "_raised",
        "_count",
        "_ratios",
        "_windows",
        "_step",
        "_slow",
        "_patience",
        "_silence",
    )

    def __init__(self, slots: int, thresholds: Thresholds, now: float):
        self._slots = slots
        self._limit = 1
        self._incarnation = ""
        # Latest report from this incarnation of the target.
        self._told_cold = False
        self._told_warm = False
        self._started = now
        self._suspect = False
        self._confirmed = now
        self._raised = float("-inf")
        self._count = 0
        self._ratios = 0.0
        self._windows = 0
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds; the state of the ramp is kept.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._step = int(thresholds["ramp_completions"])
        self._slow = thresholds["ramp_slow_ratio"]
        self._patience = int(thresholds["ramp_patience"])
        self._silence = thresholds["confirm_silence"]

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
        if self._suspect or now - self._confirmed > self._silence:
            return 1
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Change the number of slots; additional ones are reached through the ramp."""
        self._slots = slots
        self._limit = min(self._limit, slots)

    def new_start(self, now: float) -> None:
        """Reset the limit to one after a restart or a report of a cold start."""
        self._limit = 1
        self._suspect = False
        self._started = now
        self._told_cold = False
        self._told_warm = False
        self._begin_level()

    def seen(self, now: float, incarnation: str) -> None:
        """Record a reply that names the target's incarnation."""
        if incarnation and self._incarnation and incarnation != self._incarnation:
            self.new_start(now)
        self._incarnation = incarnation or self._incarnation
        self._confirmed = now
        self._suspect = False

    def reported(self, now: float, cold: bool, age: float = 0.0) -> None:
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
        made = now - age
        if cold and made > self._raised:
            self.new_start(now)
            self._told_cold = True
        elif not cold and made >= self._started and not self._told_warm:
            self._told_cold = False
            self._told_warm = True
            self._count = 0
            self._ratios = 0.0

    def doubted(self, now: float) -> None:
        """Limit the target to one request until its incarnation is confirmed.

        The target may have restarted if a request got no answer. A complete ramp for
        each lost connection would cost too much, so the limit is restored once a reply
        names the same incarnation.
        """
        self._suspect = True

    def completed(self, now: float, ratio: float | None) -> None:
        """Count an answer towards the next level.

        Parameters
        ----------
        now : float
        ratio : float or None
            Service time relative to that of the same kind on the warm target; None if
            unknown.
        """
        self._confirmed = now
        if self.warm or self._told_cold:
            return
        self._count += 1
        # Without a warm service time to compare with, slow answers look normal, and
        # without the target's report, a fragile target looks warm. The ramp then
        # proceeds as for a slow target, which takes several times as many answers.
        is_known = ratio is not None and self._told_warm
        self._ratios += ratio if is_known and ratio is not None else UNKNOWN_RATIO
        if self._count < self._step:
            return
        self._windows += 1
        # A target that is still slow is still cold, whatever the count. A target that
        # is permanently slow must not stay at one request forever.
        is_fast = self._ratios <= self._slow * self._count
        if is_fast or self._windows >= self._patience:
            self._limit += 1
            self._raised = now
            self._begin_level()
        else:
            self._count = 0
            self._ratios = 0.0

    def _begin_level(self) -> None:
        """Reset the counters of the level."""
        self._count = 0
        self._ratios = 0.0
        self._windows = 0
