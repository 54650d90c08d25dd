"""Shared admission queue for the slots of a group of targets.

The queue handles bursts of several seconds in which more requests arrive than targets
of uneven and changing speed have slots. VMs that each rely on delayed load reports
overload a target that is already full while other targets are idle. A target's own
queue is first in, first out, so under overload most answers come late and have almost
no value. A single queue knows which slots are free and grants them only to requests
that can still be answered in time: by priority first, then by the least remaining time.
A request that would be late gives way to one that would not, and is refused while its
caller can still use the refusal to try elsewhere.

The queue reads no clock and does no I/O: callers pass the current time, and each call
returns the decisions to deliver.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from bisect import insort
from collections import Counter
from enum import Enum
from operator import attrgetter
from statistics import median_low
from typing import TYPE_CHECKING, NamedTuple

from berylstage_policy.connection_affinity import EQUAL_SHARE
from berylstage_policy.retry_promises import (
    MIN_RETRY_AFTER_SECONDS,
    SCHEDULE_SECONDS,
    RetryPromises,
)
from berylstage_policy.slot_shares import KindKey

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_policy.connection_affinity import ConnectionAffinity
    from berylstage_policy.slot_shares import SlotShares

# A request is admitted if it is expected to complete within this multiple of its
# objective. The estimate errs in both directions, and a queued request can still be
# refused later or give way to one that will be in time.
ADMISSION_OBJECTIVE_FACTOR = 1.5
# A queued request that has not been renewed for this long is dropped, because its VM
# is assumed to be lost.
QUEUED_REQUEST_TTL_SECONDS = 0.4
# After this time a request with a permit has either reached its target or completed.
PERMIT_ARRIVAL_SECONDS = 0.03
# How long a target's report of requests from outside this queue remains valid.
FOREIGN_REPORT_TTL_SECONDS = 0.3
# Estimate of the remaining time of an overdue request: this share of its expected
# duration, or this multiple of the time by which it is overdue, if that is longer.
OVERDUE_SHARE = 0.2
OVERDUE_GROWTH = 1.0
# A target without a request for this long receives the next one that it can answer in
# time. Information about an idle target is old; without such a request a target that
# was slow for a moment, or has just joined, would never be measured again.
IDLE_TARGET_SECONDS = 1.0
# Time for which such a target waits for a request of a VM that has a connection to it,
# before it receives one of any VM. A VM sends a request every 0.3 s at 312 requests per
# second and 84 VMs.
IDLE_TARGET_CONNECTED_SECONDS = 1.0
# Added to the priority of a request that would be late. It is larger than any priority,
# so that requests which can be in time go first.
LATE_PRIORITY = 1000
# Maximum number of targets that a log line describes.
MAX_DESCRIBED_TARGETS = 4
# Slots are kept for urgent kinds while at most this multiple of them is free: with more
# free slots, an urgent request finds one anyway.
KEPT_SLOTS_FACTOR = 2
# Time after which kept slots are looked at again without a new request or a release.
# Hundreds of queued requests are renewed ten times a second each.
KEPT_CHECK_SECONDS = 0.02


class ServiceTimes(ABC):
    """Service time estimates of targets."""

    @abstractmethod
    def seconds(self, target: str, kind: str) -> float:
        """Return a target's current service time for a request kind."""

    @abstractmethod
    def locality_penalty(self, target: str, origin: str, kind: str) -> float:
        """Return the seconds added to a target's time if it is not local to a request.

        The penalty affects only the choice among targets.
        """


class RequestId(NamedTuple):
    """Unique identifier of a request: the VM that sent it and that VM's counter."""

    host: str
    number: int


class QueuedRequest:
    """A request for one of the queue's targets.

    Parameters
    ----------
    request_id : RequestId
    kind : str
        Requests of one kind have similar service times.
    origin : str
        Origin of the request, for :meth:`ServiceTimes.locality_penalty`.
    priority : int
        0 is the most urgent.
    soft_deadline : float
        Time until which the answer has its full value.
    objective : float
        Seconds from the request's arrival to ``soft_deadline``.
    deadline : float
        Time after which the answer has no value.
    now : float
    """

    __slots__ = (
        "deadline",
        "key",
        "kind",
        "last_seen",
        "objective",
        "origin",
        "priority",
        "rank",
        "request_id",
        "soft_deadline",
    )

    def __init__(
        self,
        request_id: RequestId,
        kind: str,
        origin: str,
        priority: int,
        soft_deadline: float,
        objective: float,
        deadline: float,
        now: float,
    ):
        self.request_id = request_id
        self.kind = kind
        self.origin = origin
        self.priority = priority
        self.soft_deadline = soft_deadline
        self.objective = objective
        self.deadline = deadline
        self.last_seen = now
        self.rank = (priority, soft_deadline)
        self.key = KindKey(kind, priority)


class PermitStatus(Enum):
    """Status of a request for a permit."""

    GRANTED = 1
    QUEUED = 2
    REFUSED = 3
    # This VM no longer serves the queue.
    QUEUE_CLOSED = 4


class Decision:
    """Decision about one request.

    Parameters
    ----------
    request_id : RequestId
    status : PermitStatus
    target : str
        Target to send the request to; empty unless granted.
    retry_after : float
        Seconds after which a refused request may be retried.
    is_promised : bool
        Whether a slot is expected to be free then that no other refused request has
        been told.
    """

    __slots__ = ("is_promised", "request_id", "retry_after", "status", "target")

    def __init__(
        self,
        request_id: RequestId,
        status: PermitStatus,
        target: str = "",
        retry_after: float = 0.0,
        is_promised: bool = False,
    ):
        self.request_id = request_id
        self.status = status
        self.target = target
        self.retry_after = retry_after
        self.is_promised = is_promised


class TargetReport:
    """Load that a target reported with an answer.

    Parameters
    ----------
    target : str
    active : int
        Requests running or queued at the target, without the answered one.
    """

    __slots__ = ("active", "target")

    def __init__(self, target: str, active: int):
        self.target = target
        self.active = active


class _Permit:
    """Permission for one request to use a slot of a target."""

    __slots__ = ("deadline", "expected_done", "granted_at", "key", "target")

    def __init__(
        self,
        target: str,
        key: KindKey,
        granted_at: float,
        expected_done: float,
        deadline: float,
    ):
        self.target = target
        self.key = key
        self.granted_at = granted_at
        self.expected_done = expected_done
        self.deadline = deadline

    def expected_end(self, now: float) -> float:
        """Return the time when the request is expected to complete.

        The estimate for an overdue request grows with the time by which it is overdue.
        A target that has stopped responding completes nothing, and requests queued for
        its slots would otherwise wait until their deadlines.
        """
        least = OVERDUE_SHARE * (self.expected_done - self.granted_at)
        return max(
            self.expected_done,
            now + max(least, OVERDUE_GROWTH * (now - self.expected_done)),
        )


class _TargetSlots:
    """Slots of one target."""

    __slots__ = (
        "foreign",
        "foreign_reported_at",
        "last_granted_at",
        "permits",
        "slots",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.permits: dict[RequestId, _Permit] = {}
        # Requests at the target, by its last report, that this queue did not send.
        self.foreign = 0
        self.foreign_reported_at = float("-inf")
        self.last_granted_at = float("-inf")

    def free(self, now: float) -> int:
        """Return the number of free slots."""
        foreign = (
            self.foreign
            if now - self.foreign_reported_at < FOREIGN_REPORT_TTL_SECONDS
            else 0
        )
        return self.slots - len(self.permits) - foreign


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
        "_affinity",
        "_expected_ends",
        "_kept_until",
        "_promises",
        "_queued",
        "_scheduled_at",
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
        self._promises = RetryPromises(self._free_times, times.seconds)
        self.callers_may_return = False
        self._shares = shares
        # Time until which the free slots are known to be kept from what is queued.
        self._kept_until = float("-inf")
        self._targets: dict[str, _TargetSlots] = {}
        # Sorted by rank; the next request to grant comes first.
        self._queued: list[QueuedRequest] = []
        # When each queued request was last expected to complete, for renewals.
        self._expected_ends: dict[RequestId, float] = {}
        self._scheduled_at = float("-inf")

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
        parts = []
        for name, target in self._targets.items():
            others = target.slots - target.free(now) - len(target.permits)
            parts.append(
                f"{name} slots {target.slots} permits {len(target.permits)} "
                f"others {others}"
            )
        return "; ".join(parts[:MAX_DESCRIBED_TARGETS])

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
                self._targets[name] = _TargetSlots(slots)
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
        for target in self._targets.values():
            permit = target.permits.get(req.request_id)
            if permit is not None:
                # The reply that granted the permit was lost.
                return [Decision(req.request_id, PermitStatus.GRANTED, permit.target)]
        for known in self._queued:
            if known.request_id == req.request_id:
                known.last_seen = now
                return self._renew(known, now)
        if self._shares is not None:
            self._shares.record_request(req.key, now)
        late = self._lateness(req, now)
        if late > 0 and self.callers_may_return:
            late = self._queue_behind(req, now)
        if late > 0 and not self._has_unclaimed_slot(now):
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
        decisions = self.grant_due(now)
        if req not in self._queued:
            return decisions
        if self._scheduled_end(req, now) > req.deadline:
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
        if report is not None:
            self._apply_report(report, now)
        self._kept_until = now
        return self.grant_due(now)

    def _apply_report(self, report: TargetReport, now: float) -> None:
        # A lost release message would block a slot until the request's deadline. The
        # target's report corrects this: of the permits whose requests must have
        # arrived there, no more can be active than the target reports.
        known = self._targets.get(report.target)
        if known is None:
            return
        arrived = [
            request_id
            for request_id, permit in known.permits.items()
            if now - permit.granted_at >= PERMIT_ARRIVAL_SECONDS
        ]
        for request_id in arrived[: max(0, len(arrived) - report.active)]:
            del known.permits[request_id]
        known.foreign = max(0, report.active - len(known.permits))
        known.foreign_reported_at = now

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
            selected = self._select_next(free, now)
            if selected is None:
                self._kept_until = now + KEPT_CHECK_SECONDS
                break
            req, target, late = selected
            decisions += self._give_way(late, now)
            self._queued.remove(req)
            self._grant(req, target, now)
            decisions.append(Decision(req.request_id, PermitStatus.GRANTED, target))
        return decisions

    def _select_next(
        self, free: Sequence[str], now: float
    ) -> tuple[QueuedRequest, str, list[QueuedRequest]] | None:
        """Return the next request, its target, and late requests ahead of it.

        None if the free slots are kept for more urgent requests than those queued.
        """
        usable: Mapping[KindKey, Sequence[str]] = {}
        if self._shares is not None:
            owed = self._select_owed(self._shares.keys_below_share(now), free, now)
            if owed is not None:
                self._shares.record_below_share()
                return owed, self._choose_target(owed, free, now), []
            usable = self._usable_targets(free, now)
        late: list[tuple[QueuedRequest, str]] = []
        for req in self._queued:
            targets = usable.get(req.key, free)
            if not targets:
                continue
            target = self._choose_target(req, targets, now)
            if now + self._times.seconds(target, req.kind) <= req.soft_deadline:
                return req, target, [late_req for late_req, _ in late]
            late.append((req, target))
        if not late:
            return None
        # All requests are late, but slots are free. A late answer has more value than
        # none, or than one that arrives after its caller has stopped waiting.
        req, target = next(
            (
                (each, target)
                for each, target in late
                if now + self._times.seconds(target, each.kind) <= each.deadline
            ),
            late[0],
        )
        return req, target, []

    def _select_owed(
        self, keys: Sequence[KindKey], free: Sequence[str], now: float
    ) -> QueuedRequest | None:
        """Return a request of kinds below their shares that can still be answered."""
        if not keys:
            return None
        owed = [req for req in self._queued if req.key in keys]
        for req in owed:
            target = self._choose_target(req, free, now)
            if now + self._times.seconds(target, req.kind) <= req.soft_deadline:
                return req
        return next((req for req in owed if self._meets_deadline(req, free, now)), None)

    def _usable_targets(
        self, free: Sequence[str], now: float
    ) -> dict[KindKey, list[str]]:
        """Return the free targets of the queued kinds that may not use all of them.

        The slots of the fastest targets are kept for urgent kinds, since the objectives
        of these are the shortest.
        """
        assert self._shares is not None
        long_keys = self._shares.long_keys()
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
            kept = self._shares.kept_slots(key, running, now)
            if kept <= 0 or sum(slots.values()) > KEPT_SLOTS_FACTOR * kept:
                continue
            ranked = sorted(free, key=lambda name: self._times.seconds(name, key.kind))
            usable[key] = []
            for name in ranked:
                if kept < slots[name]:
                    usable[key].append(name)
                kept = max(0, kept - slots[name])
            if not usable[key]:
                self._shares.record_kept()
        return usable

    def _give_way(self, late: Sequence[QueuedRequest], now: float) -> list[Decision]:
        """Rank late requests behind the others, and refuse those that cannot wait.

        The load is a slow period of a target's machine, after which dozens of queued
        requests are late at once; one schedule of the slots serves for all of them.
        """
        late = [req for req in late if req.rank[0] < LATE_PRIORITY]
        if not late:
            return []
        self._queued = [req for req in self._queued if req not in late]
        if not self.callers_may_return:
            return [self._build_refusal(req, now, 0.0) for req in late]
        slots = self._free_times(now, late[0].kind)
        refused = []
        for req in late:
            start, target = slots[0]
            end = start + self._times.seconds(target, req.kind)
            if end <= self._late_limit(req, now):
                heapq.heapreplace(slots, (end, target))
                req.rank = (LATE_PRIORITY + req.priority, req.soft_deadline)
                insort(self._queued, req, key=attrgetter("rank"))
            else:
                refused.append(req)
        return [self._build_refusal(req, now, 0.0) for req in refused]

    def _meets_deadline(
        self, req: QueuedRequest, free: Sequence[str], now: float
    ) -> bool:
        target = self._choose_target(req, free, now)
        return now + self._times.seconds(target, req.kind) <= req.deadline

    def _choose_target(
        self, req: QueuedRequest, free: Sequence[str], now: float
    ) -> str:
        if len(free) == 1:
            return free[0]
        times, affinity = self._times, self._affinity
        if affinity is not None and not affinity.is_active(now):
            affinity = None
        seconds = {name: times.seconds(name, req.kind) for name in free}
        penalties = {
            name: times.locality_penalty(name, req.origin, req.kind) for name in free
        }
        local = [name for name in free if not penalties[name]]
        idle = self._find_idle_target(req, local, affinity, seconds, now)
        if idle:
            return idle
        fastest = min(free, key=lambda name: seconds[name] + penalties[name])
        if affinity is None:
            return fastest
        # A single target that is very slow must not make others count as equal.
        usual_seconds = median_low(seconds.values())
        limit = seconds[fastest] + penalties[fastest] + EQUAL_SHARE * usual_seconds
        # None of the others may make the answer late.
        others = [
            name
            for name in free
            if name != fastest
            and seconds[name] + penalties[name] <= limit
            and now + seconds[name] <= req.soft_deadline
        ]
        host = req.request_id.host
        return affinity.choose(host, req.origin, [fastest, *others], now)

    def _find_idle_target(
        self,
        req: QueuedRequest,
        local: Sequence[str],
        affinity: ConnectionAffinity | None,
        seconds: Mapping[str, float],
        now: float,
    ) -> str:
        """Return a target to measure again with this request, or an empty string."""
        idle_seconds = {
            name: now - self._targets[name].last_granted_at for name in local
        }
        idle = max(local, key=idle_seconds.__getitem__, default="")
        if not idle or idle_seconds[idle] <= IDLE_TARGET_SECONDS:
            return ""
        if affinity is not None and (
            idle_seconds[idle] <= IDLE_TARGET_SECONDS + IDLE_TARGET_CONNECTED_SECONDS
        ):
            host = req.request_id.host
            idle = next(
                (
                    name
                    for name in local
                    if idle_seconds[name] > IDLE_TARGET_SECONDS
                    and affinity.has_idle_connection(host, name, now)
                ),
                "",
            )
        if idle and now + seconds[idle] <= req.soft_deadline:
            return idle
        return ""

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
        permit = _Permit(target, req.key, now, expected_done, req.deadline)
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
            expired = [
                i for i, permit in target.permits.items() if now > permit.deadline
            ]
            for request_id in expired:
                del target.permits[request_id]

    def _lateness(self, req: QueuedRequest, now: float) -> float:
        """Return the seconds by which a request would be late; 0 if in time."""
        if not self._targets:
            return MIN_RETRY_AFTER_SECONDS
        slack = (ADMISSION_OBJECTIVE_FACTOR - 1) * req.objective
        # The deadline of a retried request may be earlier than the soft deadline plus
        # the slack.
        limit = min(req.soft_deadline + slack, req.deadline)
        return max(0.0, self._expected_end(req, now) - limit)

    def _queue_behind(self, req: QueuedRequest, now: float) -> float:
        """Rank a late request behind all others; return by how much it is too late.

        The load is callers that return late to a queue which new requests fill. They
        take no place of a request that can be in time, but are served with what is left
        of the slots. They wait for no longer than a new request would,
        which bounds the number of queued requests and thus of their renewals.
        """
        req.rank = (LATE_PRIORITY + req.priority, req.soft_deadline)
        return max(0.0, self._expected_end(req, now) - self._late_limit(req, now))

    def _late_limit(self, req: QueuedRequest, now: float) -> float:
        """Return when a late request must complete that waits behind the others."""
        return min(now + ADMISSION_OBJECTIVE_FACTOR * req.objective, req.deadline)

    def _has_unclaimed_slot(self, now: float) -> bool:
        """Tell whether a slot is free while no request is queued.

        Service times are learned only from requests that were sent. If a kind that was
        slow for a few requests were refused while slots are free, none would be sent
        and the estimate would never be corrected.
        """
        if self._queued:
            return False
        return any(target.free(now) > 0 for target in self._targets.values())

    def _expected_end(self, req: QueuedRequest, now: float) -> float:
        """Return when a request is expected to complete, after those ahead of it."""
        slots = self._slot_free_times(now, req.kind)
        if not slots:
            return float("inf")
        for other in self._queued:
            if other is req or other.rank > req.rank:
                break
            self._schedule(slots, other)
        return self._schedule(slots, req)

    def _scheduled_end(self, req: QueuedRequest, now: float) -> float:
        """Return when a queued request is expected to complete, by a recent schedule.

        The load is an overload of seconds in which each of hundreds of queued requests
        is renewed ten times a second. Computing its place anew for each renewal took
        0.9 ms with 276 slots, which is more than one core from 120 requests on.
        """
        if (
            now - self._scheduled_at >= SCHEDULE_SECONDS
            or req.request_id not in self._expected_ends
        ):
            self._scheduled_at = now
            slots = self._slot_free_times(now, req.kind)
            self._expected_ends = {
                other.request_id: self._schedule(slots, other)
                if slots
                else float("inf")
                for other in self._queued
            }
        return self._expected_ends[req.request_id]

    def _slot_free_times(self, now: float, kind: str) -> list[tuple[float, str]]:
        """Return when each slot is expected to become free, as a heap."""
        slots = []
        for name, target in self._targets.items():
            free = target.free(now)
            ends = [permit.expected_end(now) for permit in target.permits.values()]
            ends += [now] * max(0, free)
            # Of requests from outside this queue only the number is known.
            others = max(0, target.slots - len(ends))
            ends += [now + self._times.seconds(name, kind)] * others
            slots += [(end, name) for end in sorted(ends)[: target.slots]]
        heapq.heapify(slots)
        return slots

    def _schedule(self, slots: list[tuple[float, str]], req: QueuedRequest) -> float:
        """Assign a request to the first free slot, and return its expected end."""
        start, name = slots[0]
        end = start + self._times.seconds(name, req.kind)
        heapq.heapreplace(slots, (end, name))
        return end

    def _free_times(self, now: float, kind: str) -> list[tuple[float, str]]:
        """Return when each slot becomes free after all queued requests, as a heap."""
        slots = self._slot_free_times(now, kind)
        if slots:
            for req in self._queued:
                self._schedule(slots, req)
        return slots
