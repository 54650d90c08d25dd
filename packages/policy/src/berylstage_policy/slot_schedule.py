"""Schedule of the slots of a group of targets.

Each slot is expected to become free when its request ends. Queued requests take the
slots in their order, each the one that becomes free first.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from berylstage_policy.retry_promises import SCHEDULE_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_policy.service_times import ServiceTimes
    from berylstage_policy.slot_requests import QueuedRequest, RequestId
    from berylstage_policy.target_slots import TargetSlots


class SlotSchedule:
    """Expected ends of the requests of a queue.

    Parameters
    ----------
    targets : mapping of str to TargetSlots
        The queue's targets; the queue changes them.
    times : ServiceTimes
    """

    __slots__ = ("_expected_ends", "_scheduled_at", "_targets", "_times")

    def __init__(self, targets: Mapping[str, TargetSlots], times: ServiceTimes):
        self._targets = targets
        self._times = times
        # When each queued request was last expected to complete, for renewals.
        self._expected_ends: dict[RequestId, float] = {}
        self._scheduled_at = float("-inf")

    def expected_end(
        self, queued: Sequence[QueuedRequest], req: QueuedRequest, now: float
    ) -> float:
        """Return when a request is expected to complete, after those ahead of it.

        Parameters
        ----------
        queued : sequence of QueuedRequest
            Sorted by rank.
        req : QueuedRequest
        now : float

        Returns
        -------
        float
            Infinite if there are no slots.
        """
        slots = self._slot_free_times(now, req.kind)
        if not slots:
            return float("inf")
        for other in queued:
            if other is req or other.rank > req.rank:
                break
            self.assign(slots, other)
        return self.assign(slots, req)

    def scheduled_end(
        self, queued: Sequence[QueuedRequest], req: QueuedRequest, now: float
    ) -> float:
        """Return when a queued request is expected to complete, by a recent schedule.

        The load is an overload of seconds in which each of hundreds of queued requests
        is renewed ten times a second. Computing its place anew for each renewal took
        0.9 ms with 276 slots, which is more than one core from 120 requests on.

        Parameters
        ----------
        queued : sequence of QueuedRequest
            Sorted by rank.
        req : QueuedRequest
            One of them.
        now : float

        Returns
        -------
        float
            Infinite if there are no slots.
        """
        if (
            now - self._scheduled_at >= SCHEDULE_SECONDS
            or req.request_id not in self._expected_ends
        ):
            self._scheduled_at = now
            slots = self._slot_free_times(now, req.kind)
            self._expected_ends = {
                other.request_id: self.assign(slots, other) if slots else float("inf")
                for other in queued
            }
        return self._expected_ends[req.request_id]

    def free_times(
        self, queued: Sequence[QueuedRequest], now: float, kind: str
    ) -> list[tuple[float, str]]:
        """Return when each slot becomes free after all queued requests, as a heap.

        Parameters
        ----------
        queued : sequence of QueuedRequest
            Sorted by rank.
        now : float
        kind : str
            Assumed kind of the requests from outside the queue.

        Returns
        -------
        list of tuple of float and str
            Time and target of each slot.
        """
        slots = self._slot_free_times(now, kind)
        if slots:
            for req in queued:
                self.assign(slots, req)
        return slots

    def assign(self, slots: list[tuple[float, str]], req: QueuedRequest) -> float:
        """Assign a request to the first free slot, and return its expected end.

        Parameters
        ----------
        slots : list of tuple of float and str
            Heap of the slots' free times; not empty.
        req : QueuedRequest
        """
        start, name = slots[0]
        end = start + self._times.seconds(name, req.kind)
        heapq.heapreplace(slots, (end, name))
        return end

    def assign_before(
        self, slots: list[tuple[float, str]], req: QueuedRequest, limit: float
    ) -> bool:
        """Assign a request to the first free slot if it would end by a time.

        Parameters
        ----------
        slots : list of tuple of float and str
            Heap of the slots' free times; not empty.
        req : QueuedRequest
        limit : float

        Returns
        -------
        bool
            Whether the slot was assigned.
        """
        start, name = slots[0]
        end = start + self._times.seconds(name, req.kind)
        if end > limit:
            return False
        heapq.heapreplace(slots, (end, name))
        return True

    def _slot_free_times(self, now: float, kind: str) -> list[tuple[float, str]]:
        """Return when each slot is expected to become free, as a heap."""
        slots = []
        for name in self._targets:
            slots += [(end, name) for end in self._target_ends(name, now, kind)]
        heapq.heapify(slots)
        return slots

    def _target_ends(self, name: str, now: float, kind: str) -> list[float]:
        """Return when each slot of a target is expected to become free, sorted."""
        target = self._targets[name]
        ends = [permit.expected_end(now) for permit in target.permits.values()]
        ends += [now] * max(0, target.free(now))
        # Of requests from outside this queue only the number is known.
        others = max(0, target.slots - len(ends))
        ends += [now + self._times.seconds(name, kind)] * others
        return sorted(ends)[: target.slots]
