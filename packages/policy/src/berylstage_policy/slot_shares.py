"""Slots that urgent kinds of requests need, and the least share of every kind.

The load: for 6 s, 2.5 times the usual number of requests that take 0.6 s arrive, and
all 276 slots of a service run them; then 1.7 times the usual number of requests that
take 0.1 s and are more urgent. An urgent request must not wait until a long one ends,
so the slots that the urgent kinds need at their present rate are kept from kinds that
take much longer. Nor may urgent kinds take every slot for seconds: each kind receives a
least share of what it asks for.
"""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import TYPE_CHECKING, NamedTuple

from berylstage_policy.rates import DecayedRate

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# A kind is kept from the slots of a more urgent one if it takes this many times as
# long. Shorter requests end soon enough for the urgent ones.
LONG_FACTOR = 2.0
# Standard deviations of the number of busy slots that are added to its mean. Two cover
# 0.98 of the time.
MARGIN_DEVIATIONS = 2.0
# Time constant of the rates: a burst lasts some seconds, and slots are given back soon
# after it.
RATE_WINDOW_SECONDS = 1.0
# Gain of one request in the mean duration of its kind.
DURATION_GAIN = 0.05
# Of its requests, each kind is granted at least this part of the share that all kinds
# together are granted, over this time.
LEAST_SHARE = 0.25
# Share below which a kind goes first. The difference covers one owed request of a rare
# kind, which must not pass all urgent ones, and the steps of the window.
GUARDED_SHARE = 0.3
SHARE_SECONDS = 5.0
SHARE_STEP_SECONDS = 0.5


class KindKey(NamedTuple):
    """Requests of one kind and priority."""

    kind: str
    # 0 is the most urgent.
    priority: int


class ShareCounts(NamedTuple):
    """Decisions about the slots of kinds."""

    # Selections in which a kind got none of the free slots.
    kept: int
    # Grants to a kind that was below its least share.
    below_share: int


class _WindowCounts:
    """Requests and grants of the last seconds."""

    __slots__ = ("_steps", "granted", "requested")

    def __init__(self) -> None:
        self.requested = 0
        self.granted = 0
        # Step, requests and grants, oldest first.
        self._steps: deque[list[int]] = deque()

    def add(self, requested: int, granted: int, now: float) -> None:
        """Count requests or grants."""
        self.expire(now)
        step = int(now / SHARE_STEP_SECONDS)
        if not self._steps or self._steps[-1][0] != step:
            self._steps.append([step, 0, 0])
        self._steps[-1][1] += requested
        self._steps[-1][2] += granted
        self.requested += requested
        self.granted += granted

    def expire(self, now: float) -> None:
        """Remove what is older than the window."""
        oldest = int((now - SHARE_SECONDS) / SHARE_STEP_SECONDS)
        while self._steps and self._steps[0][0] <= oldest:
            _, requested, granted = self._steps.popleft()
            self.requested -= requested
            self.granted -= granted


class _KindUse:
    """Rate, duration and share of one kind."""

    __slots__ = ("counts", "rate", "seconds")

    def __init__(self) -> None:
        self.rate = DecayedRate(RATE_WINDOW_SECONDS)
        # Mean duration; 0 before the first grant.
        self.seconds = 0.0
        self.counts = _WindowCounts()


class SlotShares:
    """Divides the slots of a group of targets among kinds of requests."""

    __slots__ = ("_all", "_below_share", "_kept", "_uses")

    def __init__(self) -> None:
        self._kept = 0
        self._below_share = 0
        self._uses: dict[KindKey, _KindUse] = {}
        self._all = _WindowCounts()

    def record_request(self, key: KindKey, now: float) -> None:
        """Record that a request has arrived.

        Parameters
        ----------
        key : KindKey
        now : float
        """
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = _KindUse()
        use.rate.add(1.0, now)
        use.counts.add(1, 0, now)
        self._all.add(1, 0, now)

    def record_granted(self, key: KindKey, seconds: float, now: float) -> None:
        """Record that a request has received a slot.

        Parameters
        ----------
        key : KindKey
        seconds : float
            Expected duration.
        now : float
        """
        use = self._uses.get(key)
        if use is None:
            return
        use.seconds += (DURATION_GAIN if use.seconds else 1.0) * (seconds - use.seconds)
        use.counts.add(0, 1, now)
        self._all.add(0, 1, now)

    def record_kept(self) -> None:
        """Record that a kind got none of the free slots."""
        self._kept += 1

    def record_below_share(self) -> None:
        """Record a grant to a kind that was below its least share."""
        self._below_share += 1

    def take_counts(self) -> ShareCounts:
        """Return and reset the counts of decisions."""
        counts = ShareCounts(self._kept, self._below_share)
        self._kept = self._below_share = 0
        return counts

    def needed_slots(self, key: KindKey, now: float) -> float:
        """Return the number of slots that a kind needs at its present rate.

        Parameters
        ----------
        key : KindKey
        now : float
        """
        use = self._uses.get(key)
        if use is None:
            return 0.0
        mean = use.rate.rate(now) * use.seconds
        return mean + MARGIN_DEVIATIONS * sqrt(mean)

    def long_keys(self) -> list[KindKey]:
        """Return the kinds from which slots of more urgent ones are kept."""
        return [key for key in self._uses if any(self._urgent_keys(key))]

    def _urgent_keys(self, key: KindKey) -> Iterator[KindKey]:
        """Yield the kinds whose slots are kept from a kind."""
        use = self._uses[key]
        for other, other_use in self._uses.items():
            if other.priority < key.priority and (
                0 < LONG_FACTOR * other_use.seconds <= use.seconds
            ):
                yield other

    def kept_slots(
        self, key: KindKey, running: Mapping[KindKey, int], now: float
    ) -> int:
        """Return the number of free slots that are kept from a kind.

        Parameters
        ----------
        key : KindKey
        running : mapping of KindKey to int
            Requests that have a slot.
        now : float
        """
        if key not in self._uses:
            return 0
        return sum(
            max(0, int(self.needed_slots(other, now)) - running.get(other, 0))
            for other in self._urgent_keys(key)
        )

    def keys_below_share(self, now: float) -> list[KindKey]:
        """Return the kinds of which a request must be granted for their least share.

        Parameters
        ----------
        now : float
        """
        self._all.expire(now)
        if not self._all.requested:
            return []
        share = GUARDED_SHARE * self._all.granted / self._all.requested
        below = []
        for key, use in self._uses.items():
            use.counts.expire(now)
            if share * use.counts.requested - use.counts.granted >= 1:
                below.append(key)
        return below
