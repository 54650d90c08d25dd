"""What this VM leads and may send work for, under the assignment in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.actions import ShardActivated, ShardReleased
from berylstage_ownership.constants import CLOSING_GRACE
from berylstage_ownership.drains import LostShard, WorkInFlight
from berylstage_ownership.grants import LedTarget
from berylstage_ownership.shards import ANY, covers, service_of
from berylstage_ownership.takeover import Takeover

if TYPE_CHECKING:
    from berylstage_messages.control_pb2 import ShardRecords
    from berylstage_sheet.configuration import Configuration

    from berylstage_ownership.actions import Notice
    from berylstage_ownership.assignment import Assignment, Prior, ShardOwner

MILLISECONDS = 1000.0

LONGEST_DEADLINE = 30.0
"""Wait, in seconds, for the work of a target whose service nobody knows any more."""


class Pending:
    """A shard or target whose prior has not let go.

    Parameters
    ----------
    item : str
        Name of the shard or target.
    prior : Prior
    """

    __slots__ = ("item", "prior")

    def __init__(self, item: str, prior: Prior):
        self.item = item
        self.prior = prior

    @property
    def held(self) -> str:
        """What the prior held: a shard, perhaps another one, or the target."""
        return self.prior.shard or self.item


class Holdings:
    """What this VM holds, gains and lets go of.

    Parameters
    ----------
    name : str
        Name of this VM.
    incarnation : int
    """

    def __init__(self, name: str, incarnation: int):
        self._name = name
        self._incarnation = incarnation
        self._assignment: Assignment | None = None
        self._configuration: Configuration | None = None
        self.takeover = Takeover()
        self.flights = WorkInFlight()
        self.leads: dict[str, LedTarget] = {}
        self.active_leads: set[str] = set()
        self.active: dict[str, int] = {}
        self.former_leads: list[LedTarget] = []
        self._mine: dict[str, ShardOwner] = {}
        self._lost: list[LostShard] = []
        # Targets that the sheet closed, and since when this VM knows.
        self._closing: dict[str, float] = {}
        self._parted: dict[str, set[str]] = {}
        self._records: dict[str, dict[tuple[str, int], ShardRecords]] = {}

    def renumber(self, incarnation: int) -> None:
        """Take another incarnation, before this process ever held anything."""
        self._incarnation = incarnation

    def configure(self, now: float, configuration: Configuration) -> None:
        """Take in the configuration, which says what targets are and may do.

        Parameters
        ----------
        now : float
        configuration : Configuration
        """
        self._configuration = configuration
        self._closing = {
            target.name: self._closing.get(target.name, now)
            for target in configuration.targets.values()
            if not configuration.takes_work(target)
        }

    def closed(self, now: float, target: str) -> bool:
        """Tell whether operators want no work at a target and had time to move it.

        For a moment its shards are still served, until they have moved. If they
        cannot move, since the store takes no writes or no other target is left, the
        sheet goes before the keys.
        """
        since = self._closing.get(target)
        return since is not None and now - since >= CLOSING_GRACE

    def adopt(self, now: float, assignment: Assignment) -> None:
        """Take in a newer assignment: stop what is lost, note what is gained.

        Parameters
        ----------
        now : float
        assignment : Assignment
        """
        self._assignment = assignment
        epochs = {
            target: lead.epoch
            for target, lead in assignment.leaders.items()
            if lead.vm == self._name and lead.incarnation == self._incarnation
        }
        mine = {
            shard: owner
            for shard, owner in assignment.owners.items()
            if owner.target in epochs
        }
        self._stop_shards(now, mine, epochs)
        self._change_leads(now, epochs)
        self._mine = mine
        self._records = {s: kept for s, kept in self._records.items() if s in mine}

    def _stop_shards(
        self, now: float, mine: dict[str, ShardOwner], epochs: dict[str, int]
    ) -> None:
        """Stop admitting for shards that went, or came back under a new fence."""
        for shard, fence in list(self.active.items()):
            target = self._mine[shard].target
            kept = mine.get(shard)
            same_lead = epochs.get(target) == self.leads[target].epoch
            if kept and kept.fence == fence and kept.target == target and same_lead:
                continue
            del self.active[shard]
            if not same_lead:
                self._parted.setdefault(target, set()).add(shard)
            # The order without the shard lets the next owner begin.
            self.leads[target].send_at = now
            self._lost.append(LostShard(shard, target, fence, self.leads[target]))

    def _change_leads(self, now: float, epochs: dict[str, int]) -> None:
        """Give up targets led no more and note those gained."""
        for target, led in list(self.leads.items()):
            if epochs.get(target) == led.epoch:
                continue
            del self.leads[target]
            if target in self.active_leads:
                self.active_leads.discard(target)
                self.former_leads.append(led)
        for target, epoch in epochs.items():
            if target not in self.leads:
                self.leads[target] = LedTarget(target, epoch, now)
                self._parted.pop(target, None)

    def advance(self, now: float) -> list[Notice]:
        """Let go of what has ended and activate what is free.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Notice
        """
        notices: list[Notice] = []
        notices += self._let_go(now)
        notices += self._activate(now)
        return notices

    def _let_go(self, now: float) -> list[Notice]:
        """Return notices of lost shards that nothing holds any more."""
        still: list[LostShard] = []
        notices: list[Notice] = []
        for lost in self._lost:
            if self._held(now, lost):
                still.append(lost)
            else:
                notices.append(ShardReleased(lost.shard, lost.target))
        self._lost = still
        self.former_leads = [
            led
            for led in self.former_leads
            if self.flights.target_busy(now, led.name) or led.may_hold_any(now)
        ]
        return notices

    def _held(self, now: float, lost: LostShard) -> bool:
        """Tell whether a target may still work for a lost shard by this VM's order.

        Where the target checks fences its grant alone decides: work that goes on after
        the grant takes no effect. The deadline of work whose end nobody can tell would
        keep the keys of a lost target unserved for seconds more.
        """
        if lost.led.may_hold(now, lost.shard, lost.fence):
            return True
        if self._checks_fences(lost.target):
            return False
        return self.flights.busy(now, lost.target, lost.shard)

    def _checks_fences(self, target: str) -> bool:
        """Tell whether a target checks fences; one that nobody knows does not."""
        if self._configuration is None:
            return False
        known = self._configuration.targets.get(target)
        return known is not None and known.checks_fences

    def _activate(self, now: float) -> list[Notice]:
        """Return notices of shards that this VM may serve from now on."""
        notices: list[Notice] = []
        if self._assignment is None:
            return notices
        for target in self.leads:
            lead = self._assignment.leaders[target]
            if target not in self.active_leads and self._clear(
                now, target, target, lead.priors
            ):
                self.active_leads.add(target)
                self.leads[target].send_at = now
        for shard, owner in self._mine.items():
            if shard in self.active or owner.target not in self.active_leads:
                continue
            if not self._clear(now, shard, owner.target, owner.priors):
                continue
            if any(lost.shard == shard for lost in self._lost):
                continue
            self.active[shard] = owner.fence
            self.leads[owner.target].send_at = now
            records = self._handed_over(shard, owner)
            notices.append(ShardActivated(shard, owner.target, owner.fence, records))
        return notices

    def _handed_over(self, shard: str, owner: ShardOwner) -> list[ShardRecords] | None:
        """Return the records of all earlier holders, or None when one is missing.

        Without any prior nobody can be asked, and a shard whose keys come from other
        shards has its records under other names.
        """
        assert self._assignment is not None
        priors = [*owner.priors, *self._assignment.leaders[owner.target].priors]
        if not priors or any(prior.shard not in ("", shard) for prior in priors):
            return None
        handed = self._records.pop(shard, {})
        holders = {(p.vm, p.incarnation) for p in priors if not self._is_self(p)}
        if not holders <= handed.keys():
            return None
        return [handed[holder] for holder in sorted(holders)]

    def note_records(self, holder: tuple[str, int], records: ShardRecords) -> None:
        """Keep what an earlier holder handed over until the shard is active."""
        if records.shard in self._mine and records.shard not in self.active:
            self._records.setdefault(records.shard, {})[holder] = records

    def parted_with(self, target: str) -> set[str]:
        """Return the shards that went with the lead of a target."""
        return self._parted.get(target, set())

    def _clear(self, now: float, item: str, target: str, priors: list[Prior]) -> bool:
        """Tell whether no prior can act on an item any more."""
        return all(self._gone(now, item, target, prior) for prior in priors)

    def _gone(self, now: float, item: str, target: str, prior: Prior) -> bool:
        """Tell whether one prior can act on an item no more."""
        if self._is_self(prior):
            return self.released(now, prior.shard or item, prior.until)
        if self.takeover.has_released(item, prior):
            return True
        lapse = self.takeover.lapse(prior)
        if lapse is None or self.takeover.is_draining(now, prior):
            return False
        return now >= lapse + self._drain_time(item, target, prior)

    def _is_self(self, prior: Prior) -> bool:
        """Tell whether a prior is this very run of this VM."""
        return prior.vm == self._name and prior.incarnation == self._incarnation

    def _drain_time(self, item: str, target: str, prior: Prior) -> float:
        """Return how long work of a lapsed holder may go on at its target.

        A target that checks fences drops work when its grant lapses. One that does
        not goes on until the request's deadline, and nobody alive knows of the
        request: the key waits, or two targets would work on it.
        """
        if prior.target == target or self._configuration is None:
            return 0.0
        return self.longest_work(item, prior.target)

    def longest_work(self, shard: str, target: str) -> float:
        """Return how long work of a shard may go on at a target that nobody stops.

        Parameters
        ----------
        shard, target : str

        Returns
        -------
        float
            Seconds; 0 where the target checks fences.
        """
        if self._checks_fences(target) or self._configuration is None:
            return 0.0
        service = self._configuration.services.get(service_of(shard))
        if service is None:
            return LONGEST_DEADLINE
        deadlines = [kind.deadline_ms for kind in service.kinds.values()]
        return max(deadlines, default=0) / MILLISECONDS

    def pending(self, now: float) -> list[Pending]:
        """Return what this VM waits for before it may act."""
        found: list[Pending] = []
        if self._assignment is None:
            return found
        for target in self.leads:
            if target in self.active_leads:
                continue
            for prior in self._assignment.leaders[target].priors:
                if not self._gone(now, target, target, prior):
                    found.append(Pending(target, prior))
        for shard, owner in self._mine.items():
            if shard in self.active:
                continue
            for prior in owner.priors:
                if not self._gone(now, shard, owner.target, prior):
                    found.append(Pending(shard, prior))
        return found

    def released(self, now: float, item: str, until: int) -> bool:
        """Tell whether this VM holds nothing of an item from below a revision.

        Parameters
        ----------
        now : float
        item : str
            Name of a shard or target; ``service/*`` for all shards of a service.
        until : int
            Revision that took it away.

        Returns
        -------
        bool
        """
        if self._assignment is None or self._assignment.revision < until:
            return False
        if any(covers(item, lost.shard) for lost in self._lost):
            return False
        if item.endswith(f"/{ANY}"):
            older = [s for s, fence in self.active.items() if fence < until]
            return not any(covers(item, shard) for shard in older)
        if item in self.active and self.active[item] < until:
            return False
        if item in self.active_leads and self.leads[item].epoch < until:
            return False
        former = any(led.name == item for led in self.former_leads)
        return not (former and self.flights.target_busy(now, item))

    def settled_revision(self) -> int:
        """Return the revision up to which everything gained is active."""
        if self._assignment is None:
            return 0
        leads_active = len(self.active_leads) == len(self.leads)
        shards_active = len(self.active) == len(self._mine)
        if not (leads_active and shards_active):
            return 0
        return self._assignment.revision

    def is_draining(self) -> bool:
        """Tell whether anything lost has not been let go of."""
        return bool(self._lost or self.former_leads)

    def waiting_shards(self) -> int:
        """Return the number of shards gained and not active yet."""
        return len(self._mine) - len(self.active)

    def wanted_grants(self, target: str) -> dict[str, int]:
        """Return the fence token by shard that a led target is to hold."""
        return {
            shard: fence
            for shard, fence in self.active.items()
            if self._mine[shard].target == target
        }

    def works_on_lost(self, now: float, target: str) -> bool:
        """Tell whether a led target works on a request of a shard that was lost."""
        return any(
            lost.target == target and self.flights.busy(now, target, lost.shard)
            for lost in self._lost
        )
