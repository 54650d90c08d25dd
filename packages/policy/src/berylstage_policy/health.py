"""Whether a target is well, stalled for moments, slow, or down.

The load it answers: targets that stop for moments because of unseen neighbours, and
targets that are gone. Moving owned keys off a target costs their unavailability while
its grant lapses and the new owner starts cold. Without a bound below which nothing
moves, each stall of half a second would turn into a longer outage by our own doing;
with too high a bound, the keys of a lost target stay away longer than the promised 2 s.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_policy.thresholds import Thresholds


class HealthState(Enum):
    """State of a target by what was observed.

    ``STALLED`` holds requests back from free services and moves nothing; ``SLOW``
    lowers the share of keys; ``DOWN`` moves the keys.
    """

    WELL = "well"
    STALLED = "stalled"
    SLOW = "slow"
    DOWN = "down"


class TargetHealth:
    """Judges one target by answers to probes, grants and work.

    Parameters
    ----------
    thresholds : Thresholds
    now : float
    """

    __slots__ = (
        "_last_sign",
        "_refused_since",
        "_slow_since",
        "_is_slow",
        "_stall_after",
        "_down_after",
        "_refused_down_after",
        "_slow_ratio",
        "_slow_after",
        "_least_capacity",
        "_ratio",
    )

    def __init__(self, thresholds: Thresholds, now: float):
        self._last_sign = now
        self._refused_since: float | None = None
        self._slow_since: float | None = None
        self._is_slow = False
        self._ratio = 1.0
        self._stall_after = thresholds["stall_after"]
        self._down_after = thresholds["down_after"]
        self._refused_down_after = thresholds["refused_down_after"]
        self._slow_ratio = thresholds["slow_ratio"]
        self._slow_after = thresholds["slow_after"]
        self._least_capacity = thresholds["least_capacity"]

    def answered(self, now: float) -> None:
        """Note a sign of life: any answer, also a refusal."""
        self._last_sign = now
        self._refused_since = None

    def refused_connection(self, now: float) -> None:
        """Note that nothing listens on the target's address: the process is gone."""
        if self._refused_since is None:
            self._refused_since = now

    def latency(self, now: float, ratio: float) -> None:
        """Note how slow the target is beside the others of its service.

        Parameters
        ----------
        now : float
        ratio : float
            Its smoothed service time over the median of the service's targets.
        """
        self._ratio = ratio
        bound = self._slow_ratio / (2.0 if self._is_slow else 1.0)
        if (ratio >= bound) == self._is_slow:
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now
        elif now - self._slow_since >= self._slow_after:
            self._is_slow = not self._is_slow
            self._slow_since = None

    def verdict(self, now: float) -> HealthState:
        """Return the state of the target."""
        refused = self._refused_since
        if refused is not None and now - refused >= self._refused_down_after:
            return HealthState.DOWN
        silence = now - self._last_sign
        if silence >= self._down_after:
            return HealthState.DOWN
        if silence >= self._stall_after or refused is not None:
            return HealthState.STALLED
        return HealthState.SLOW if self._is_slow else HealthState.WELL

    def next_change(self, now: float) -> float:
        """Return when the verdict changes if nothing is heard until then."""
        moments = [self._last_sign + self._stall_after]
        moments.append(self._last_sign + self._down_after)
        if self._refused_since is not None:
            moments.append(self._refused_since + self._refused_down_after)
        return min((m for m in moments if m > now), default=float("inf"))

    def capacity(self, slots: int) -> float:
        """Return the capacity for placement: its slots, or less while it is slow."""
        if not self._is_slow:
            return float(slots)
        return slots * max(self._least_capacity, 1.0 / self._ratio)
