"""Who proposes changes of the assignment, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.changes import (
    first_assignment,
    next_assignment,
    with_new_electorate,
)
from berylstage_ownership.constants import (
    BOOT_WAIT,
    DEPUTIES,
    RATE_WINDOW,
    REBALANCE_EVERY,
)
from berylstage_ownership.events import StoreRead
from berylstage_ownership.outlook import Outlook
from berylstage_ownership.proposer import CONFIGURATION_KEY, Role

if TYPE_CHECKING:
    from berylstage_ownership.actions import Action
    from berylstage_ownership.assignment import Assignment
    from berylstage_ownership.conversation import Conversation
    from berylstage_ownership.core import Core
    from berylstage_ownership.events import StoreResult

WRITE_ID_BITS = 96


class Proposals:
    """Reads the store and proposes assignments when it is this VM's turn.

    Parameters
    ----------
    core : Core
    conversation : Conversation
    """

    def __init__(self, core: Core, conversation: Conversation):
        self._core = core
        self._conversation = conversation
        self._evaluate_at = 0.0
        self._level_at = 0.0
        # What the last evaluation saw. Working out an assignment of hundreds of shards
        # costs milliseconds, and twenty of them a second more than a VM may spend.
        self._seen: tuple = ()
        self._absent_since: float | None = None

    def role(self, now: float) -> Role:
        """Return what this VM does with the store now.

        The first living elector proposes; a VM that cannot reach the store comes
        after those that can. Two VMs that both take themselves for the first do no
        harm: the compare-and-swap lets one of them through.
        """
        core = self._core
        if self._seeks(now):
            return Role.SEEKER
        assignment = core.assignment
        if assignment is None or not core.is_elector():
            return Role.NONE
        order = self._order(now, assignment)
        place = order.index(core.name)
        if place == 0:
            return Role.PROPOSER
        return Role.DEPUTY if place <= DEPUTIES else Role.NONE

    def _seeks(self, now: float) -> bool:
        """Tell whether this VM needs the store because peers do not help."""
        core = self._core
        if core.docs.configuration is None or core.assignment is None:
            return True
        return core.out_of_touch(now) or not core.elector.caught_up

    def _order(self, now: float, assignment: Assignment) -> list[str]:
        """Return the living electors in the order in which they propose."""
        core = self._core
        living = [
            name
            for name in assignment.electorate
            if name == core.name or core.fleet.fresh(now, name)
        ]
        return sorted(living, key=lambda name: self._store_lost(now, name))

    def _store_lost(self, now: float, name: str) -> bool:
        """Tell whether a VM says that it cannot reach the store."""
        if name == self._core.name:
            return self._core.store.lost
        sighting = self._core.fleet.fresh(now, name)
        return sighting is not None and sighting.beat.store_lost

    def due(self, now: float) -> list[Action]:
        """Return the calls to the store that are due.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        core = self._core
        role = self.role(now)
        behind = core.store.revision < core.docs.revision or core.store.version is None
        actions = core.store.polls(now, role, behind)
        if now < self._evaluate_at:
            return actions
        self._evaluate_at = now + RATE_WINDOW
        draft = self._draft(now, role)
        if draft is not None and core.store.can_write(now, draft.revision - 1):
            actions += core.store.write(now, draft)
        return actions

    def _draft(self, now: float, role: Role) -> Assignment | None:
        """Return the assignment that this VM would write, if any."""
        core = self._core
        if core.assignment is None:
            return self._first(now)
        core.fleet.follow_electorate(now, core.assignment)
        if not core.store.can_write(now, core.docs.revision):
            return None
        if core.docs.configuration is None:
            return None
        if role is Role.SEEKER:
            return self._rescue(now, core.assignment)
        if role is not Role.PROPOSER:
            return None
        if not core.fleet.can_judge(now, core.assignment):
            return self._rescue(now, core.assignment)
        return self._next(now)

    def _write_id(self) -> str:
        """Return a new unique write id."""
        return f"{self._core.settings.rng.getrandbits(WRITE_ID_BITS):x}"

    def _first(self, now: float) -> Assignment | None:
        """Return the first assignment when the store holds none.

        Each VM listens for the others first: an electorate of all of them bears a
        loss from its first second on. The platform's list is late, and before it
        names this VM it does not name those that started with it either. A VM that
        went by it would make itself the only elector; while the others join one by
        one, the loss of one of two would leave the whole cell without leases.
        """
        core = self._core
        if not core.store.absent or not core.is_listed():
            self._absent_since = None
            return None
        if self._absent_since is None:
            self._absent_since = now
        sightings = [
            s for name, s in core.fleet.sightings.items() if core.fleet.fresh(now, name)
        ]
        sightings.sort(key=lambda s: s.vm)
        # By the list and not by who was heard: of many VMs the last ones are heard by
        # nobody at first, and would each take themselves for the only one.
        rank = core.rank({s.vm for s in sightings})
        if now - self._absent_since < BOOT_WAIT * (1 + rank):
            return None
        return first_assignment(core.settings.cell, sightings, self._write_id())

    def _outlook(self, now: float) -> Outlook:
        """Return what this VM knows now."""
        core = self._core
        assert core.assignment is not None and core.docs.configuration is not None
        return Outlook(
            now,
            core.assignment,
            core.docs.configuration,
            core.fleet,
            core.platform_leaving(),
        )

    def _next(self, now: float) -> Assignment | None:
        """Return the assignment that should follow, if any."""
        core = self._core
        may_level = now >= self._level_at
        outlook = self._outlook(now)
        settled = core.fleet.electorate_settled(now)
        seen = (*outlook.signature(), settled)
        if seen == self._seen and not may_level:
            return None
        self._seen = seen
        draft = next_assignment(
            outlook,
            core.settings.planner,
            self._write_id(),
            may_level,
            settled,
        )
        if may_level:
            self._level_at = now + REBALANCE_EVERY
        return draft

    def _rescue(self, now: float, assignment: Assignment) -> Assignment | None:
        """Return an assignment with a new electorate when the old one is gone.

        Only the platform's word counts here, that it has taken a majority of the
        electors away: electors that are merely cut off may go on confirming leases
        on their side, and a second electorate would then make a second owner.
        """
        core = self._core
        gone = [e for e in assignment.electorate if core.taken_away(now, e)]
        if len(assignment.electorate) - len(gone) >= assignment.majority:
            return None
        if core.elector.is_mute(now):
            return None
        if not core.is_elector() and not self._is_first(now):
            return None
        return with_new_electorate(self._outlook(now), self._write_id())

    def _is_first(self, now: float) -> bool:
        """Tell whether this VM comes first of those that it hears."""
        fleet = self._core.fleet
        fresh = [name for name in fleet.sightings if fleet.fresh(now, name)]
        return min(fresh, default=self._core.name) == self._core.name

    def reply(self, now: float, tag: int, result: StoreResult) -> list[Action]:
        """Take in the result of a call to the store.

        Parameters
        ----------
        now : float
        tag : int
        result : StoreResult

        Returns
        -------
        list of Action
        """
        core = self._core
        self._seen = ()
        written = core.store.reply(now, tag, result)
        actions: list[Action] = []
        if written is not None:
            actions += core.take_assignment(now, written.to_json())
        elif isinstance(result, StoreRead):
            actions += self._take_read(now, result)
        if actions:
            # The proposer's own news; nobody else may read the store for seconds.
            self._evaluate_at = now
            actions += self._conversation.announce(now)
        return actions

    def _take_read(self, now: float, result: StoreRead) -> list[Action]:
        """Put what was read in force."""
        core = self._core
        if result.key == CONFIGURATION_KEY:
            return list(core.take_configuration(now, result.value))
        actions: list[Action] = list(core.take_assignment(now, result.value))
        if not core.elector.caught_up:
            core.elector.raise_floor(core.docs.revision)
            core.elector.caught_up_from_store()
        return actions
