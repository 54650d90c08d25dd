"""Selection of the queued request that receives a free slot next.

The order of decisions:

1. A request of a kind that is below its least share, if it can still be answered.
2. By rank, the first request that can be in time. Kinds that take long do not use the
   slots that are kept for urgent kinds. Requests ahead of it that would be late are
   returned with it.
3. If all would be late, the first that meets its deadline, or else the first.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_policy.free_target_choice import FreeTargetChooser
    from berylstage_policy.service_times import ServiceTimes
    from berylstage_policy.slot_requests import QueuedRequest
    from berylstage_policy.slot_shares import KindKey, SlotShares
    from berylstage_policy.target_slots import TargetSlots

# Slots are kept for urgent kinds while at most this multiple of them is free: with more
# free slots, an urgent request finds one anyway.
KEPT_SLOTS_FACTOR = 2


class Selection(NamedTuple):
    """The request to grant next."""

    request: QueuedRequest
    target: str
    # Requests ahead of it that would be late.
    late: list[QueuedRequest]


class SlotSelector:
    """Selects the next request for the free slots of a queue.

    The load is a burst in which more requests wait than can be answered in time: slots
    go to those that still can be.

    Parameters
    ----------
    targets : mapping of str to TargetSlots
        The queue's targets; the queue changes them.
    times : ServiceTimes
    chooser : FreeTargetChooser
    shares : SlotShares, optional
    """

    __slots__ = ("_chooser", "_shares", "_targets", "_times")

    def __init__(
        self,
        targets: Mapping[str, TargetSlots],
        times: ServiceTimes,
        chooser: FreeTargetChooser,
        shares: SlotShares | None,
    ):
        self._targets = targets
        self._times = times
        self._chooser = chooser
        self._shares = shares

    def select(
        self, queued: Sequence[QueuedRequest], free: Sequence[str], now: float
    ) -> Selection | None:
        """Return the next request, its target, and late requests ahead of it.

        Parameters
        ----------
        queued : sequence of QueuedRequest
            Sorted by rank.
        free : sequence of str
            Targets with a free slot; at least one.
        now : float

        Returns
        -------
        Selection or None
            None if the free slots are kept for more urgent requests than those queued.
        """
        if self._shares is None:
            return self._select_by_rank(queued, free, {}, now)
        owed = self._select_owed(queued, self._shares.keys_below_share(now), free, now)
        if owed is not None:
            self._shares.record_below_share()
            return Selection(owed, self._chooser.choose(owed, free, now), [])
        usable = self._usable_targets(self._shares, free, now)
        return self._select_by_rank(queued, free, usable, now)

    def _select_owed(
        self,
        queued: Sequence[QueuedRequest],
        keys: Sequence[KindKey],
        free: Sequence[str],
        now: float,
    ) -> QueuedRequest | None:
        """Return a request of kinds below their shares that can still be answered."""
        if not keys:
            return None
        owed = [req for req in queued if req.key in keys]
        for req in owed:
            target = self._chooser.choose(req, free, now)
            if self._end(req, target, now) <= req.soft_deadline:
                return req
        for req in owed:
            target = self._chooser.choose(req, free, now)
            if self._end(req, target, now) <= req.deadline:
                return req
        return None

    def _select_by_rank(
        self,
        queued: Sequence[QueuedRequest],
        free: Sequence[str],
        usable: Mapping[KindKey, Sequence[str]],
        now: float,
    ) -> Selection | None:
        """Return the first request that can be in time, or else a late one."""
        late: list[tuple[QueuedRequest, str]] = []
        for req in queued:
            targets = usable.get(req.key, free)
            if not targets:
                continue
            target = self._chooser.choose(req, targets, now)
            if self._end(req, target, now) <= req.soft_deadline:
                return Selection(req, target, [late_req for late_req, _ in late])
            late.append((req, target))
        return self._select_late(late, now)

    def _select_late(
        self, late: Sequence[tuple[QueuedRequest, str]], now: float
    ) -> Selection | None:
        """Return one of the late requests.

        All requests are late, but slots are free. A late answer has more value than
        none, or than one that arrives after its caller has stopped waiting.
        """
        if not late:
            return None
        for req, target in late:
            if self._end(req, target, now) <= req.deadline:
                return Selection(req, target, [])
        return Selection(*late[0], [])

    def _usable_targets(
        self, shares: SlotShares, free: Sequence[str], now: float
    ) -> dict[KindKey, list[str]]:
        """Return the free targets of the kinds that may not use all of them."""
        long_keys = shares.long_keys()
        if not long_keys:
            return {}
        running = Counter(
            permit.key
            for target in self._targets.values()
            for permit in target.permits.values()
        )
        slots = {name: self._targets[name].free(now) for name in free}
        usable: dict[KindKey, list[str]] = {}
        for key in long_keys:
            kept = shares.kept_slots(key, running, now)
            if kept <= 0 or sum(slots.values()) > KEPT_SLOTS_FACTOR * kept:
                continue
            usable[key] = self._targets_beyond(key.kind, kept, slots)
            if not usable[key]:
                shares.record_kept()
        return usable

    def _targets_beyond(
        self, kind: str, kept: int, slots: Mapping[str, int]
    ) -> list[str]:
        """Return the targets that have more free slots than are kept.

        The slots of the fastest targets are kept for urgent kinds, since the objectives
        of these are the shortest.
        """
        beyond = []
        for name in sorted(slots, key=lambda name: self._times.seconds(name, kind)):
            if kept < slots[name]:
                beyond.append(name)
            kept = max(0, kept - slots[name])
        return beyond

    def _end(self, req: QueuedRequest, target: str, now: float) -> float:
        """Return when a request is expected to complete that starts now."""
        return now + self._times.seconds(target, req.kind)
