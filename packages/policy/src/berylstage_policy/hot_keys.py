"""Keys that take so much of a target that they are worth a shard of their own.

The load it answers: a few keys that take most of the traffic, and others a few minutes
later. A hot key inside a hash range drags the range's other keys along wherever it
goes; one sees a target that stays overloaded however often its shards are moved. The
keys are found with bounded memory among millions, set apart when it pays, and returned
late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from berylstage_policy.thresholds import Thresholds

# Weights grow by decay instead of all counters shrinking; they are scaled back
# before they could overflow.
RESCALE_AT = 1e100


class Counter:
    """Counted weight of one key and the most by which it is too high."""

    __slots__ = ("key", "weight", "error")

    def __init__(self, key: str, weight: float, error: float):
        self.key = key
        self.weight = weight
        self.error = error


class KeySketch:
    """Heaviest keys of a stream, by the Space-Saving algorithm with decay.

    Each of a fixed number of counters belongs to one key. A key without a counter takes
    over the lowest one and inherits its weight as its possible error. Any key with more
    than 1/size of the decayed total has a counter.

    Parameters
    ----------
    size : int
        Number of counters.
    half_life : float
        Seconds after which a weight counts half.
    """

    __slots__ = ("_size", "_half_life", "_counters", "_by_weight", "_origin", "_total")

    def __init__(self, size: int, half_life: float):
        self._size = size
        self._half_life = half_life
        self._counters: dict[str, Counter] = {}
        self._by_weight: SortedList = SortedList(key=lambda c: c.weight)
        self._origin: float | None = None
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._counters)

    def _scale(self, now: float) -> float:
        """Return what a weight of one counts at this moment, in stored units."""
        if self._origin is None:
            self._origin = now
        scale = 2.0 ** ((now - self._origin) / self._half_life)
        if scale < RESCALE_AT:
            return scale
        for counter in self._counters.values():
            counter.weight /= scale
            counter.error /= scale
        self._by_weight = SortedList(self._counters.values(), key=lambda c: c.weight)
        self._total /= scale
        self._origin = now
        return 1.0

    def add(self, key: str, weight: float, now: float) -> None:
        """Count weight for a key; time must not run backwards."""
        amount = weight * self._scale(now)
        self._total += amount
        counter = self._counters.get(key)
        if counter is not None:
            self._by_weight.remove(counter)
            counter.weight += amount
        elif len(self._counters) < self._size:
            counter = self._counters[key] = Counter(key, amount, 0.0)
        else:
            counter = self._by_weight.pop(0)
            del self._counters[counter.key]
            counter.key = key
            counter.error = counter.weight
            counter.weight += amount
            self._counters[key] = counter
        self._by_weight.add(counter)

    def rate(self, key: str, now: float) -> float:
        """Return the weight a second that a key certainly has, 0 when not counted."""
        counter = self._counters.get(key)
        return self._rate(counter, now) if counter is not None else 0.0

    def _rate(self, counter: Counter, now: float) -> float:
        """Turn a decayed sum into a rate: a steady rate r sums to r·half-life/ln 2."""
        certain = counter.weight - counter.error
        return certain / self._scale(now) * 0.6931471805599453 / self._half_life

    def heaviest(self, count: int, now: float) -> list[tuple[str, float]]:
        """Return the heaviest keys with their certain rates, the heaviest first."""
        found = [(c.key, self._rate(c, now)) for c in self._by_weight[-count:]]
        return sorted(found, key=lambda entry: -entry[1])


class HotKeyChanges:
    """Keys to set apart and keys to return to their hash range."""

    __slots__ = ("set_apart", "give_back")

    def __init__(self, set_apart: list[str], give_back: list[str]):
        self.set_apart = set_apart
        self.give_back = give_back


class HotKeyDetector:
    """Finds the hot keys of one service on one VM.

    Parameters
    ----------
    thresholds : Thresholds
    """

    __slots__ = (
        "sketch",
        "_enter",
        "_leave",
        "_leave_after",
        "_most",
        "_cool_since",
        "_apart",
    )

    def __init__(self, thresholds: Thresholds):
        self.sketch = KeySketch(
            int(thresholds["hot_counters"]), thresholds["hot_half_life"]
        )
        self._apart: set[str] = set()
        self._cool_since: dict[str, float] = {}
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Take in other thresholds; what was counted stays.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._enter = thresholds["hot_enter"]
        self._leave = thresholds["hot_leave"]
        self._leave_after = thresholds["hot_leave_after"]
        self._most = int(thresholds["hot_most"])

    def observe(self, key: str, seconds: float, now: float) -> None:
        """Count the slot time that a request of a key took."""
        self.sketch.add(key, seconds, now)

    def set_apart(self, keys: set[str]) -> None:
        """Take in which keys are set apart by the assignment in force."""
        self._apart = set(keys)
        self._cool_since = {k: t for k, t in self._cool_since.items() if k in keys}

    def changes(self, slots: float, now: float) -> HotKeyChanges:
        """Return which keys to set apart and which to give back.

        Parameters
        ----------
        slots : float
            Slots of one target: what a key's load is measured against.
        now : float

        Returns
        -------
        HotKeyChanges
        """
        give_back = self._cooled(slots, now)
        room = self._most - len(self._apart) + len(give_back)
        heaviest = self.sketch.heaviest(self._most, now)
        hot = [
            key
            for key, rate in heaviest
            if rate >= self._enter * slots and key not in self._apart
        ]
        return HotKeyChanges(hot[: max(0, room)], give_back)

    def _cooled(self, slots: float, now: float) -> list[str]:
        """Return the keys set apart that have been cool for long enough."""
        cooled = []
        for key in sorted(self._apart):
            if self.sketch.rate(key, now) >= self._leave * slots:
                self._cool_since.pop(key, None)
            elif now - self._cool_since.setdefault(key, now) >= self._leave_after:
                cooled.append(key)
        return cooled
