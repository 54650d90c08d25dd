"""Health state of a target: healthy, stalled, slow or down.

Targets stall for moments when other workloads on the host take their CPU, and some fail
for good. Moving owned keys off a target makes them unavailable until its grant expires
and the new owner has gone through its cold start. Without a lower bound on the silence,
every stall of half a second would become a longer outage. With too high a bound, the
keys of a lost target would be unavailable for longer than the promised 2 s.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_policy.thresholds import Thresholds


class HealthState(Enum):
    """Observed health state of a target.

    ``STALLED`` withholds requests of services without key ownership and moves nothing.
    ``SLOW`` lowers the target's share of keys. ``DOWN`` moves its keys.
    """

    HEALTHY = "well"
    STALLED = "stalled"
    SLOW = "slow"
    DOWN = "down"


class TargetHealth:
    """Derives the health of one target from replies to probes, grants and requests.

    Parameters
    ----------
    thresholds : Thresholds
    now : float
    """

    __slots__ = (
        "_last_reply",
        "_refused_since",
        "_transition_since",
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
        self._last_reply = now
        self._refused_since: float | None = None
        self._transition_since: float | None = None
        self._is_slow = False
        self._ratio = 1.0
        self._stall_after = thresholds["stall_after"]
        self._down_after = thresholds["down_after"]
        self._refused_down_after = thresholds["refused_down_after"]
        self._slow_ratio = thresholds["slow_ratio"]
        self._slow_after = thresholds["slow_after"]
        self._least_capacity = thresholds["least_capacity"]

    def record_answer(self, now: float) -> None:
        """Record any reply of the target, including a refusal."""
        self._last_reply = now
        self._refused_since = None

    def record_connection_refused(self, now: float) -> None:
        """Record that the target's address refuses connections: its process is gone."""
        if self._refused_since is None:
            self._refused_since = now

    def record_latency(self, now: float, ratio: float) -> None:
        """Record the target's service time relative to its peers.

        Parameters
        ----------
        now : float
        ratio : float
            Smoothed service time divided by the median of the service's targets.
        """
        self._ratio = ratio
        limit_ratio = self._slow_ratio / (2.0 if self._is_slow else 1.0)
        if (ratio >= limit_ratio) == self._is_slow:
            self._transition_since = None
        elif self._transition_since is None:
            self._transition_since = now
        elif now - self._transition_since >= self._slow_after:
            self._is_slow = not self._is_slow
            self._transition_since = None

    def verdict(self, now: float) -> HealthState:
        """Return the health state of the target."""
        refused = self._refused_since
        if refused is not None and now - refused >= self._refused_down_after:
            return HealthState.DOWN
        silence = now - self._last_reply
        if silence >= self._down_after:
            return HealthState.DOWN
        if silence >= self._stall_after or refused is not None:
            return HealthState.STALLED
        return HealthState.SLOW if self._is_slow else HealthState.HEALTHY

    def next_change(self, now: float) -> float:
        """Return when the health state changes if no reply arrives until then."""
        times = [self._last_reply + self._stall_after]
        times.append(self._last_reply + self._down_after)
        if self._refused_since is not None:
            times.append(self._refused_since + self._refused_down_after)
        return min((m for m in times if m > now), default=float("inf"))

    def capacity(self, slots: int) -> float:
        """Return the capacity for placement: the slots, or less for a slow target."""
        if not self._is_slow:
            return float(slots)
        return slots * max(self._least_capacity, 1.0 / self._ratio)
