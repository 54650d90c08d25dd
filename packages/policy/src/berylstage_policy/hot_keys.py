"""Detection of hot keys that are moved to shards of their own.

A few keys can take most of the traffic, and the set changes within minutes. A hot key
in a hash range takes the other keys of the range along wherever it moves, so its target
stays overloaded however often its shards are moved. Hot keys are detected among
millions in bounded memory, get a shard of their own only if their load justifies it,
and return to their range after a delay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from berylstage_policy.thresholds import Thresholds

# Scale of new observations at which all counters are rescaled, to prevent overflow.
# Decay is implemented by growing this scale instead of shrinking all counters.
MAX_SCALE = 1e100


class KeyCounter:
    """Counted weight of one key and the maximum overestimate."""

    __slots__ = ("key", "weight", "error")

    def __init__(self, key: str, weight: float, error: float):
        self.key = key
        self.weight = weight
        self.error = error


class KeySketch:
    """Heavy hitters of a stream, found by the Space-Saving algorithm with decay.

    Each of a fixed number of counters belongs to one key. A key without a counter takes
    over the lowest one and inherits its weight as the maximum error. Any key with more
    than 1/size of the decayed total has a counter.

    Parameters
    ----------
    size : int
        Number of counters.
    half_life : float
        Seconds after which a weight has decayed by half.
    """

    __slots__ = (
        "_size",
        "_half_life",
        "_counters",
        "_by_weight",
        "_scale_origin",
        "_total",
    )

    def __init__(self, size: int, half_life: float):
        self._size = size
        self._half_life = half_life
        self._counters: dict[str, KeyCounter] = {}
        self._by_weight: SortedList = SortedList(key=lambda c: c.weight)
        self._scale_origin: float | None = None
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._counters)

    def _scale(self, now: float) -> float:
        """Return the stored weight of a unit observation made at this time."""
        if self._scale_origin is None:
            self._scale_origin = now
        scale = 2.0 ** ((now - self._scale_origin) / self._half_life)
        if scale < MAX_SCALE:
            return scale
        for counter in self._counters.values():
            counter.weight /= scale
            counter.error /= scale
        self._by_weight = SortedList(self._counters.values(), key=lambda c: c.weight)
        self._total /= scale
        self._scale_origin = now
        return 1.0

    def add(self, key: str, weight: float, now: float) -> None:
        """Add weight to a key; `now` must not decrease between calls."""
        amount = weight * self._scale(now)
        self._total += amount
        counter = self._counters.get(key)
        if counter is not None:
            self._by_weight.remove(counter)
            counter.weight += amount
        elif len(self._counters) < self._size:
            counter = self._counters[key] = KeyCounter(key, amount, 0.0)
        else:
            counter = self._by_weight.pop(0)
            del self._counters[counter.key]
            counter.key = key
            counter.error = counter.weight
            counter.weight += amount
            self._counters[key] = counter
        self._by_weight.add(counter)

    def rate(self, key: str, now: float) -> float:
        """Return a lower bound of the key's weight per second, 0 without a counter."""
        counter = self._counters.get(key)
        return self._rate(counter, now) if counter is not None else 0.0

    def _rate(self, counter: KeyCounter, now: float) -> float:
        """Convert a decayed sum to a rate: a steady rate r sums to r·half-life/ln 2."""
        lower_bound = counter.weight - counter.error
        return lower_bound / self._scale(now) * 0.6931471805599453 / self._half_life

    def heaviest(self, count: int, now: float) -> list[tuple[str, float]]:
        """Return the heaviest keys with lower bounds of their rates, heaviest first."""
        found = [(c.key, self._rate(c, now)) for c in self._by_weight[-count:]]
        return sorted(found, key=lambda entry: -entry[1])


class HotKeyChanges:
    """Keys to move to shards of their own and keys to return to their hash range."""

    __slots__ = ("set_apart", "give_back")

    def __init__(self, set_apart: list[str], give_back: list[str]):
        self.set_apart = set_apart
        self.give_back = give_back


class HotKeyDetector:
    """Detects the hot keys of one service on one VM.

    Parameters
    ----------
    thresholds : Thresholds
    """

    __slots__ = (
        "sketch",
        "_enter_share",
        "_leave_share",
        "_leave_after_seconds",
        "_max_keys",
        "_cool_since",
        "_separate_keys",
    )

    def __init__(self, thresholds: Thresholds):
        self.sketch = KeySketch(
            int(thresholds["hot_counters"]), thresholds["hot_half_life"]
        )
        self._separate_keys: set[str] = set()
        self._cool_since: dict[str, float] = {}
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds; the counted weights are kept.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._enter_share = thresholds["hot_enter"]
        self._leave_share = thresholds["hot_leave"]
        self._leave_after_seconds = thresholds["hot_leave_after"]
        self._max_keys = int(thresholds["hot_most"])

    def observe(self, key: str, seconds: float, now: float) -> None:
        """Add the slot time that a request for the key took."""
        self.sketch.add(key, seconds, now)

    def set_apart(self, keys: set[str]) -> None:
        """Record which keys have a shard of their own in the current assignment."""
        self._separate_keys = set(keys)
        self._cool_since = {k: t for k, t in self._cool_since.items() if k in keys}

    def plan_changes(self, slots: float, now: float) -> HotKeyChanges:
        """Return the keys to set apart and those to give back.

        Parameters
        ----------
        slots : float
            Slots of one target, relative to which the load of a key is measured.
        now : float

        Returns
        -------
        HotKeyChanges
        """
        give_back = self._find_cooled(slots, now)
        remaining_quota = self._max_keys - len(self._separate_keys) + len(give_back)
        heaviest = self.sketch.heaviest(self._max_keys, now)
        hot = [
            key
            for key, rate in heaviest
            if rate >= self._enter_share * slots and key not in self._separate_keys
        ]
        return HotKeyChanges(hot[: max(0, remaining_quota)], give_back)

    def _find_cooled(self, slots: float, now: float) -> list[str]:
        """Return the keys set apart whose load has been low for long enough."""
        cooled = []
        for key in sorted(self._separate_keys):
            if self.sketch.rate(key, now) >= self._leave_share * slots:
                self._cool_since.pop(key, None)
            elif (
                now - self._cool_since.setdefault(key, now) >= self._leave_after_seconds
            ):
                cooled.append(key)
        return cooled
