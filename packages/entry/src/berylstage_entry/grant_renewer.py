"""Grants keys to their owners and renews the grants: one task for each target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed, NeverSent, NothingListens
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import TargetReplaced
from berylstage_entry.grant_expiry import ORDER_TIMEOUT, RENEWAL, TargetGrants
from berylstage_entry.protocols import GrantRequest

if TYPE_CHECKING:
    from berylstage_entry.assignment import Assignment, KeyRange
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.store_watcher import StoreWatcher
    from berylstage_entry.targets import Target

# Seconds between two looks whether an owner has new keys to be granted.
TICK = 0.05
# Seconds between two questions to a target that has fallen silent.
PROBE_PERIOD = 0.3
# The same to one that was taken for ended and goes on reporting. The record of one that
# has ended is gone after three reports, so that it is asked once.
ENDED_PROBE_PERIOD = 2.0

log = Logger(__name__)


def note_fault(task: asyncio.Task) -> None:
    """Log what ended a task that should not have failed."""
    if not task.cancelled() and task.exception() is not None:
        exc = task.exception()
        log.error("a task failed", extra={"fault": f"{type(exc).__name__}: {exc}"})


def _mark(r: KeyRange) -> tuple[int, int, int]:
    return r.first, r.last, r.fence


class GrantRenewer:
    """Keeps the grants of all owners alive while this VM has the duty.

    Parameters
    ----------
    feed : Feed
    directory : Directory
    office : Office
    wire : TargetWire
    """

    def __init__(
        self,
        feed: StoreWatcher,
        directory: ClusterView,
        office: CoordinatorElection,
        wire: TargetProtocol,
    ):
        self._feed = feed
        self._directory = directory
        self._office = office
        self._wire = wire
        self._holds: dict[tuple[str, int], TargetGrants] = {}
        self._keepers: dict[tuple[str, int], asyncio.Task] = {}
        # Ranges that are not on the move by owner, of each service's last assignment.
        self._settled: dict[
            str, tuple[Assignment, dict[tuple[str, int], list[KeyRange]]]
        ] = {}
        # Questions to targets that were taken for ended.
        self._questions: dict[tuple[str, int], asyncio.Task] = {}
        # Targets that were granted something, for the time after their records go.
        self._targets_seen: dict[tuple[str, int], Target] = {}

    def __len__(self) -> int:
        """Return the number of targets whose grants are renewed."""
        return len(self._keepers)

    def drop(self) -> None:
        """Stop renewing."""
        for task in [*self._keepers.values(), *self._questions.values()]:
            task.cancel()
        self._keepers.clear()
        self._questions.clear()

    def lapse_in(self) -> float:
        """Return the seconds after which nothing holds that this VM ordered."""
        return max([0.0, *(hold.lapse - now() for hold in self._holds.values())])

    def is_silent(self, identity: tuple[str, int]) -> bool:
        """Tell whether a target has not answered the last order."""
        hold = self._holds.get(identity)
        return hold is not None and bool(hold.silent_since)

    def may_hold(self, identity: tuple[str, int]) -> bool:
        """Tell whether a silent target may still hold keys by anybody's order."""
        hold = self._holds.get(identity)
        if hold is not None and hold.has_ended:
            return False
        lapse = hold.lapse if hold is not None else float("-inf")
        return now() < max(lapse, self._office.others_lapse)

    async def grant(self, target: Target, r: KeyRange, handover: str = "") -> bool:
        """Grant one range; tell whether the target has it now."""
        hold = self.hold(target.identity)
        order = GrantRequest(r.first, r.last, r.fence, self._office.hold(), handover)
        if not self._office.holds():
            return False
        noted = hold.ordered(now(), order.hold, r.first, r.last)
        try:
            taken = await self._wire.grant(target, order, ORDER_TIMEOUT)
        except CallFailed as exc:
            if isinstance(exc, NeverSent):
                hold.unsent(noted)
            if isinstance(exc, NothingListens):
                self._refused(target)
            if not hold.silent_since:
                log.info(
                    "grant without an answer",
                    extra={"target": target.name, "first": r.first, "cause": str(exc)},
                )
            hold.failed(now())
            return False
        except TargetReplaced as exc:
            hold.ended(now())
            log.info(
                "target has ended", extra={"target": target.name, "cause": str(exc)}
            )
            return False
        hold.answered()
        if not taken:
            log.warning(
                "grant refused: the target has seen a higher fence",
                extra={"target": target.name, "first": r.first, "fence": r.fence},
            )
        return taken

    def keep(self, assignment: Assignment) -> None:
        """See to it that each owner has a task that renews its grants."""
        for identity, task in list(self._keepers.items()):
            if task.done():
                note_fault(task)
                del self._keepers[identity]
        for r in assignment.ranges:
            identity = (r.owner, r.life)
            if not r.owner or identity in self._keepers:
                continue
            if identity in self._holds and self._holds[identity].has_ended:
                continue
            known = self._directory.known.get(r.owner)
            if known is not None and known.target.life == r.life:
                task = asyncio.create_task(self._renew(known.target))
                self._keepers[identity] = task

    def ask_ended(self) -> None:
        """Ask targets that were taken for ended and go on reporting under their lives.

        A port may refuse connections for a moment although its process lives. Taken for
        ended for good, such a target would get no key for as long as it lives; once
        this has befallen all targets of a service, none of its keys has an owner.
        """
        for identity, hold in self._holds.items():
            if not hold.has_ended or now() - hold.probed_at < ENDED_PROBE_PERIOD:
                continue
            known = self._directory.known.get(identity[0])
            if known is None or known.target.life != identity[1]:
                continue
            hold.probed_at = now()
            self._questions[identity] = asyncio.create_task(
                self._ask_whether_back(known.target, hold)
            )

    async def _ask_whether_back(self, target: Target, hold: TargetGrants) -> None:
        if await self._answers(target):
            hold.came_back()
            log.info("target is back under its life", extra={"target": target.name})

    async def _renew(self, target: Target) -> None:
        """Renew what a target owns until it owns nothing."""
        hold = self.hold(target.identity)
        self._targets_seen[target.identity] = target
        granted: set[tuple[int, int, int]] = set()
        renewed_at, prolonged = float("-inf"), False
        while self._office.holds() and not hold.has_ended:
            if not self._owned(target):
                return
            if not await self.is_back(target):
                await asyncio.sleep(TICK)
                continue
            mine = self._owned(target)
            moment = now()
            is_due = (
                moment - renewed_at >= RENEWAL or prolonged != self._office.prolongs
            )
            # What has just come is granted at once, and alone: with a few moves a
            # second three in four of all grants renewed what had just been renewed.
            due = mine if is_due else [r for r in mine if _mark(r) not in granted]
            if is_due:
                renewed_at, prolonged = moment, self._office.prolongs
            await asyncio.gather(*(self._grant_owned(target, r) for r in due))
            granted = {_mark(r) for r in mine}
            await asyncio.sleep(TICK)

    async def _grant_owned(self, target: Target, r: KeyRange) -> None:
        """Renew one range, unless it has begun to move since it was found due.

        A move of keys whose owner was silent ends at once, with a grant to the new
        owner. A renewal that was worked out before would then bring the keys back to
        the former one, which has seen no fence that forbids it. So the assignment is
        looked at with nothing awaited between this look and the order.
        """
        if any(mine is r for mine in self._owned(target)):
            await self.grant(target, r)

    async def is_back(self, target: Target) -> bool:
        """Tell whether a target answers, as far as is known or a question shows.

        Orders to a silent target wait for their timeouts and for connections, of which
        there are few; one question now and then tells as much.
        """
        hold = self.hold(target.identity)
        if not hold.silent_since:
            return True
        if now() - hold.probed_at < PROBE_PERIOD:
            return False
        hold.probed_at = now() + ORDER_TIMEOUT
        answers = await self._answers(target)
        hold.probed_at = now()
        return answers

    async def _answers(self, target: Target) -> bool:
        """Tell whether a target answers a question."""
        cfg = self._directory.configuration
        service = cfg.services.get(target.service) if cfg is not None else None
        if service is None:
            return True
        try:
            await self._wire.probe(target, service.health_path, ORDER_TIMEOUT)
        except (CallFailed, TargetReplaced) as exc:
            if isinstance(exc, NothingListens):
                self._refused(target)
            log.debug("target still silent", extra={"cause": str(exc)})
            return False
        return True

    def _refused(self, target: Target) -> None:
        hold = self.hold(target.identity)
        was_over = hold.has_ended
        hold.refused(now())
        if hold.has_ended and not was_over:
            log.info("target has ended: nothing listens", extra={"target": target.name})

    def _owned(self, target: Target) -> list[KeyRange]:
        """Return the ranges of a target that are not on the move."""
        assignment = self._feed.assignments.get(target.service)
        if assignment is None:
            return []
        known = self._settled.get(target.service)
        if known is None or known[0] is not assignment:
            settled: dict[tuple[str, int], list[KeyRange]] = {}
            for r in assignment.ranges:
                if not r.former:
                    settled.setdefault((r.owner, r.life), []).append(r)
            known = self._settled[target.service] = (assignment, settled)
        return known[1].get(target.identity, [])

    def hold(self, identity: tuple[str, int]) -> TargetGrants:
        """Return what is known of the holds of one life of a target."""
        hold = self._holds.get(identity)
        if hold is None:
            hold = self._holds[identity] = TargetGrants()
        return hold

    def past(self, identity: tuple[str, int]) -> Target | None:
        """Return a target that was granted something, also when its record is gone."""
        return self._targets_seen.get(identity)
