"""Service time estimates by kind of request.

Service times differ by orders of magnitude between kinds, and targets become slow.
Without estimates, expected waits would be guesses, and a reconciliation that runs for
seconds would count like a lookup.
"""

from __future__ import annotations

from berylstage_policy.thresholds import Thresholds

# Limit on the kinds that are tracked; a sheet defines tens. The least recently observed
# one is evicted first.
MAX_KINDS = 256


class KindCost:
    """Service time of one kind: smoothed mean and deviation, in seconds."""

    __slots__ = ("mean", "deviation", "is_long", "is_warm")

    def __init__(self, seconds: float):
        self.mean = seconds
        self.deviation = seconds / 2
        self.is_long = False
        # Whether the target was warm at the latest observation.
        self.is_warm = False


class CostModel:
    """Service time of each kind, and whether it is long relative to the others."""

    __slots__ = (
        "_kinds",
        "_typical_seconds",
        "_gain",
        "_default_seconds",
        "_long_ratio",
        "_long_floor_seconds",
    )

    def __init__(self, thresholds: Thresholds):
        self._kinds: dict[str, KindCost] = {}
        self._typical_seconds = 0.0
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds; the learned service times are kept.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._gain = thresholds["cost_gain"]
        self._default_seconds = thresholds["cost_default"]
        self._long_ratio = thresholds["long_ratio"]
        self._long_floor_seconds = thresholds["long_floor"]

    def observe(
        self, kind: str, seconds: float, is_short: bool, is_warm: bool = True
    ) -> None:
        """Update the estimates with one complete answer.

        Parameters
        ----------
        kind : str
        seconds : float
            Time in the slot.
        is_short : bool
            Whether the request was queued in the short lane, whose requests define the
            typical service time.
        is_warm : bool
            Whether the target is warm. A service time on a cold target is used only
            while none on a warm one is known for the kind.
        """
        cost = self._kinds.pop(kind, None) or KindCost(seconds)
        if cost.is_warm and not is_warm:
            self._kinds[kind] = cost
            return
        if is_warm and not cost.is_warm:
            cost = KindCost(seconds)
            cost.is_warm = True
        self._kinds[kind] = cost
        if len(self._kinds) > MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]
        error = seconds - cost.mean
        cost.mean += self._gain * error
        cost.deviation += self._gain * (abs(error) - cost.deviation)
        if is_short:
            gain = self._gain if self._typical_seconds else 1.0
            self._typical_seconds += gain * (seconds - self._typical_seconds)
        self._classify(cost)

    def _classify(self, cost: KindCost) -> None:
        """Mark the kind long, or short again once its mean falls to half the bound."""
        bound = max(self._long_floor_seconds, self._long_ratio * self._typical_seconds)
        cost.is_long = cost.mean >= (bound / 2 if cost.is_long else bound)

    def warm_ratio(self, kind: str, seconds: float) -> float | None:
        """Return a service time relative to the warm one, or None if unknown."""
        cost = self._kinds.get(kind)
        if cost is None or not cost.is_warm:
            return None
        return seconds / max(cost.mean, 1e-9)

    def mean(self, kind: str) -> float:
        """Return the expected service time in seconds."""
        cost = self._kinds.get(kind)
        if cost is None:
            return self._typical_seconds or self._default_seconds
        return cost.mean

    def is_long(self, kind: str) -> bool:
        """Return whether a kind takes much longer than typical requests."""
        cost = self._kinds.get(kind)
        return cost is not None and cost.is_long
