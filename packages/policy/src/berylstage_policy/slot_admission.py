"""Admission of new requests to the shared queue: lateness and unclaimed slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.retry_promises import MIN_RETRY_AFTER_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_policy.slot_requests import QueuedRequest
    from berylstage_policy.slot_schedule import SlotSchedule
    from berylstage_policy.target_slots import TargetSlots

# A request is admitted if it is expected to complete within this multiple of its
# objective. The estimate errs in both directions, and a queued request can still be
# refused later or give way to one that will be in time.
ADMISSION_OBJECTIVE_FACTOR = 1.5


class SlotAdmission:
    """Computes whether new requests can be admitted.

    The load is a burst of several seconds: a request that would be late is refused at
    once, while its caller can still try elsewhere.

    Parameters
    ----------
    targets : mapping of str to TargetSlots
        The queue's targets; the queue changes them.
    schedule : SlotSchedule
    """

    __slots__ = ("_schedule", "_targets")

    def __init__(self, targets: Mapping[str, TargetSlots], schedule: SlotSchedule):
        self._targets = targets
        self._schedule = schedule

    def lateness(
        self, queued: Sequence[QueuedRequest], req: QueuedRequest, now: float
    ) -> float:
        """Return the seconds by which a request would be late; 0 if in time.

        Parameters
        ----------
        queued : sequence of QueuedRequest
            Sorted by rank.
        req : QueuedRequest
        now : float
        """
        if not self._targets:
            return MIN_RETRY_AFTER_SECONDS
        slack = (ADMISSION_OBJECTIVE_FACTOR - 1) * req.objective
        # The deadline of a retried request may be earlier than the soft deadline plus
        # the slack.
        limit = min(req.soft_deadline + slack, req.deadline)
        return max(0.0, self._schedule.expected_end(queued, req, now) - limit)

    def lateness_behind(
        self, queued: Sequence[QueuedRequest], req: QueuedRequest, now: float
    ) -> float:
        """Return by how much a request that ranks behind all others is too late.

        The load is callers that return late to a queue which new requests fill. They
        take no place of a request that can be in time, but are served with what is left
        of the slots. They wait for no longer than a new request would,
        which bounds the number of queued requests and thus of their renewals.

        Parameters
        ----------
        queued : sequence of QueuedRequest
            Sorted by rank.
        req : QueuedRequest
        now : float

        Returns
        -------
        float
            Seconds; 0 if the request may wait.
        """
        end = self._schedule.expected_end(queued, req, now)
        return max(0.0, end - late_limit(req, now))

    def has_unclaimed_slot(self, queued: Sequence[QueuedRequest], now: float) -> bool:
        """Tell whether a slot is free while no request is queued.

        Service times are learned only from requests that were sent. If a kind that was
        slow for a few requests were refused while slots are free, none would be sent
        and the estimate would never be corrected.

        Parameters
        ----------
        queued : sequence of QueuedRequest
        now : float
        """
        if queued:
            return False
        return any(target.free(now) > 0 for target in self._targets.values())


def late_limit(req: QueuedRequest, now: float) -> float:
    """Return when a late request must complete that waits behind the others.

    Parameters
    ----------
    req : QueuedRequest
    now : float
    """
    return min(now + ADMISSION_OBJECTIVE_FACTOR * req.objective, req.deadline)
