"""Shared admission queue for the slots of a group of targets.

The queue handles bursts of several seconds in which more requests arrive than targets
of uneven and changing speed have slots. VMs that each rely on delayed load reports
overload a target that is already full while other targets are idle. A target's own
queue is first in, first out, so under overload most answers come late and have almost
no value. A single queue knows which slots are free and grants them only to requests
that can still be answered in time: by priority first, then by the least remaining time.
A request that would be late gives way to one that would not, and is refused while its
caller can still use the refusal to try elsewhere.

The order of decisions about a request that arrives:

1. What has expired is removed: queued requests that are not renewed, and permits.
2. A request that already has a permit receives the same answer again.
3. A request that is already queued is renewed, or refused if it would miss its
   deadline.
4. A new request is refused if it would be late and no slot is unclaimed. Where callers
   may return, a late one first tries a rank behind all others.
5. Free slots are granted, as :mod:`~berylstage_policy.slot_selection` selects the
   requests and :mod:`~berylstage_policy.free_target_choice` the targets. Late requests
   ahead of a selected one give way to it.

Lateness comes from :mod:`~berylstage_policy.slot_admission`, and expected ends from
:mod:`~berylstage_policy.slot_schedule`.

The queue reads no clock and does no I/O: callers pass the current time, and each call
returns the decisions to deliver.
"""

from __future__ import annotations

from bisect import insort
from operator import attrgetter
from typing import TYPE_CHECKING

from berylstage_policy.free_target_choice import FreeTargetChooser
from berylstage_policy.retry_promises import MIN_RETRY_AFTER_SECONDS, RetryPromises
from berylstage_policy.slot_admission import SlotAdmission, late_limit
from berylstage_policy.slot_requests import Decision, PermitStatus
from berylstage_policy.slot_schedule import SlotSchedule
from berylstage_policy.slot_selection import SlotSelector
from berylstage_policy.target_slots import (
    LARGE_BODY_ARRIVAL_SECONDS,
    PERMIT_ARRIVAL_SECONDS,
    Permit,
    TargetSlots,
    describe_slots,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_policy.connection_affinity import ConnectionAffinity
    from berylstage_policy.service_times import ServiceTimes
    from berylstage_policy.slot_requests import QueuedRequest, RequestId
    from berylstage_policy.slot_selection import Selection
    from berylstage_policy.slot_shares import SlotShares
    from berylstage_policy.target_slots import TargetReport

# A queued request that has not been renewed for this long is dropped, because its VM
# is assumed to be lost.
QUEUED_REQUEST_TTL_SECONDS = 0.4
# Time after which kept slots are looked at again without a new request or a release.
# Hundreds of queued requests are renewed ten times a second each.
KEPT_CHECK_SECONDS = 0.02


class SlotQueue:
    """Queue of requests for the slots of a group of targets.

    Parameters
    ----------
    times : ServiceTimes
    affinity : ConnectionAffinity, optional
        Chooses among targets that are expected to finish at about the same time. None
        for the queue of a single target.
    shares : SlotShares, optional
        Divides the slots among the kinds of requests. None for the queue of a single
        target, whose few slots cannot be divided.

    Attributes
    ----------
    callers_may_return : bool
        Whether callers have so much time that a refused request should return when
        there is room for it; otherwise it is told by how much it was late.
    """

    __slots__ = (
        "_admission",
        "_affinity",
        "_kept_until",
        "_promises",
        "_queued",
        "_schedule",
        "_selector",
        "_shares",
        "_targets",
        "_times",
        "callers_may_return",
    )

    def __init__(
        self,
        times: ServiceTimes,
        affinity: ConnectionAffinity | None = None,
        shares: SlotShares | None = None,
    ):
        self._times = times
        self._affinity = affinity
        self._shares = shares
        self.callers_may_return = False
        # Time until which the free slots are known to be kept from what is queued.
        self._kept_until = float("-inf")
        # Read by the schedule, the admission, the selector and the chooser.
        self._targets: dict[str, TargetSlots] = {}
        # Sorted by rank; the next request to grant comes first.
        self._queued: list[QueuedRequest] = []
        self._schedule = SlotSchedule(self._targets, times)
        self._admission = SlotAdmission(self._targets, self._schedule)
        chooser = FreeTargetChooser(self._targets, times, affinity)
        self._selector = SlotSelector(self._targets, times, chooser, shares)
        self._promises = RetryPromises(self._free_times, times.seconds)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    @property
    def promised(self) -> int:
        """Number of refused requests that have been promised a slot."""
        return len(self._promises)

    def describe(self, now: float) -> str:
        """Return the usage of the targets' slots, for the log.

        Parameters
        ----------
        now : float
        """
        return describe_slots(self._targets, now)

    def set_targets(self, targets: Mapping[str, int]) -> None:
        """Replace the set of targets.

        Parameters
        ----------
        targets : mapping of str to int
            Number of slots by target.
        """
        for name in [name for name in self._targets if name not in targets]:
            del self._targets[name]
        for name, slots in targets.items():
            known = self._targets.get(name)
            if known is None:
                self._targets[name] = TargetSlots(slots)
            else:
                known.slots = slots
        if self._affinity is not None:
            self._affinity.set_targets(targets)

    def request(self, req: QueuedRequest, now: float) -> list[Decision]:
        """Admit a new request, or renew one that is already queued.

        Parameters
        ----------
        req : QueuedRequest
        now : float

        Returns
        -------
        list of Decision
            One about this request, and others that its arrival has caused.
        """
        self._expire(now)
        permit = self._find_permit(req.request_id)
        if permit is not None:
            # The reply that granted the permit was lost.
            return [Decision(req.request_id, PermitStatus.GRANTED, permit.target)]
        known = self._find_queued(req.request_id)
        if known is not None:
            return self._renew(known, now)
        return self._admit(req, now)

    def _find_permit(self, request_id: RequestId) -> Permit | None:
        for target in self._targets.values():
            permit = target.permits.get(request_id)
            if permit is not None:
                return permit
        return None

    def _find_queued(self, request_id: RequestId) -> QueuedRequest | None:
        for req in self._queued:
            if req.request_id == request_id:
                return req
        return None

    def _admit(self, req: QueuedRequest, now: float) -> list[Decision]:
        """Queue or refuse a new request, and grant free slots."""
        if self._shares is not None:
            self._shares.record_request(req.key, now)
        late = self._admission.lateness(self._queued, req, now)
        if late > 0 and self.callers_may_return:
            req.rank_behind()
            late = self._admission.lateness_behind(self._queued, req, now)
        if late > 0 and not self._admission.has_unclaimed_slot(self._queued, now):
            return [self._build_refusal(req, now, late)]
        self._kept_until = now
        self._queued.append(req)
        self._queued.sort(key=attrgetter("rank"))
        decisions = self.grant_due(now)
        if not any(decision.request_id == req.request_id for decision in decisions):
            decisions.append(Decision(req.request_id, PermitStatus.QUEUED))
        return decisions

    def close(self) -> list[Decision]:
        """Empty the queue because this VM no longer serves it.

        Returns
        -------
        list of Decision
            One for each queued request.
        """
        self._promises.clear()
        queued, self._queued = self._queued, []
        return [Decision(req.request_id, PermitStatus.QUEUE_CLOSED) for req in queued]

    def _renew(self, req: QueuedRequest, now: float) -> list[Decision]:
        """Return the decisions about a queued request that is renewed.

        Requests ahead of it may have taken longer than expected. If it stayed queued
        until its deadline, its caller could neither be answered nor retry in time.
        """
        req.last_seen = now
        decisions = self.grant_due(now)
        if req not in self._queued:
            return decisions
        if self._schedule.scheduled_end(self._queued, req, now) > req.deadline:
            return [*decisions, self._refuse(req, now)]
        return [Decision(req.request_id, PermitStatus.QUEUED), *decisions]

    def release(
        self, request_id: RequestId, now: float, report: TargetReport | None = None
    ) -> list[Decision]:
        """Remove a request that has completed or was abandoned.

        Parameters
        ----------
        request_id : RequestId
        now : float
        report : TargetReport, optional
            Load that the target reported with the answer.

        Returns
        -------
        list of Decision
        """
        for name, target in self._targets.items():
            permit = target.permits.pop(request_id, None)
            # Only an answer shows that the connection is still open.
            if permit and report is not None and self._affinity is not None:
                self._affinity.record_answered(request_id.host, name, now)
        self._queued = [req for req in self._queued if req.request_id != request_id]
        if report is not None and report.target in self._targets:
            self._targets[report.target].apply_report(report.active, now)
        self._kept_until = now
        return self.grant_due(now)

    def grant_due(self, now: float) -> list[Decision]:
        """Grant the free slots to queued requests.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Decision
        """
        self._expire(now)
        decisions: list[Decision] = []
        while self._queued and now >= self._kept_until:
            free = [name for name, t in self._targets.items() if t.free(now) > 0]
            if not free:
                break
            selected = self._selector.select(self._queued, free, now)
            if selected is None:
                self._kept_until = now + KEPT_CHECK_SECONDS
                break
            decisions += self._grant_selected(selected, now)
        return decisions

    def _grant_selected(self, selected: Selection, now: float) -> list[Decision]:
        req, target, late = selected
        decisions = self._give_way(late, now)
        self._queued.remove(req)
        self._grant(req, target, now)
        decisions.append(Decision(req.request_id, PermitStatus.GRANTED, target))
        return decisions

    def _give_way(self, late: Sequence[QueuedRequest], now: float) -> list[Decision]:
        """Rank late requests behind the others, and refuse those that cannot wait.

        The load is a slow period of a target's machine, after which dozens of queued
        requests are late at once; one schedule of the slots serves for all of them.
        """
        late = [req for req in late if not req.is_behind]
        if not late:
            return []
        self._queued = [req for req in self._queued if req not in late]
        if not self.callers_may_return:
            return [self._build_refusal(req, now, 0.0) for req in late]
        slots = self._free_times(now, late[0].kind)
        refused = []
        for req in late:
            if self._schedule.assign_before(slots, req, late_limit(req, now)):
                req.rank_behind()
                insort(self._queued, req, key=attrgetter("rank"))
            else:
                refused.append(req)
        return [self._build_refusal(req, now, 0.0) for req in refused]

    def _refuse(self, req: QueuedRequest, now: float) -> Decision:
        self._queued.remove(req)
        return self._build_refusal(req, now, 0.0)

    def _build_refusal(self, req: QueuedRequest, now: float, late: float) -> Decision:
        """Return the refusal of a request that would be late by some seconds."""
        retry_after, is_promised = max(MIN_RETRY_AFTER_SECONDS, late), False
        if self.callers_may_return:
            retry_after, is_promised = self._promises.promise(
                req.kind, req.deadline - now, now
            )
        return Decision(
            req.request_id,
            PermitStatus.REFUSED,
            retry_after=retry_after,
            is_promised=is_promised,
        )

    def _grant(self, req: QueuedRequest, target: str, now: float) -> None:
        expected_done = now + self._times.seconds(target, req.kind)
        arrival_seconds = (
            LARGE_BODY_ARRIVAL_SECONDS if req.has_large_body else PERMIT_ARRIVAL_SECONDS
        )
        permit = Permit(
            target, req.key, now, expected_done, req.deadline, arrival_seconds
        )
        self._targets[target].permits[req.request_id] = permit
        if self._shares is not None:
            self._shares.record_granted(req.key, expected_done - now, now)
        self._targets[target].last_granted_at = now
        if self._affinity is not None:
            self._affinity.record_granted(req.request_id.host, target, now)

    def _expire(self, now: float) -> None:
        self._queued = [
            req
            for req in self._queued
            if now - req.last_seen < QUEUED_REQUEST_TTL_SECONDS and now < req.deadline
        ]
        for target in self._targets.values():
            target.remove_expired(now)

    def _free_times(self, now: float, kind: str) -> list[tuple[float, str]]:
        """Return when each slot becomes free after all queued requests, as a heap."""
        return self._schedule.free_times(self._queued, now, kind)
