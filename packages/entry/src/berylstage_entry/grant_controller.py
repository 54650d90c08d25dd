"""Decides which target owns which keys, and sees to it that they get there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment import KeyRange, nobody
from berylstage_entry.assignment_writer import AssignmentWriter
from berylstage_entry.clock import now
from berylstage_entry.coordinator_election import LOOK
from berylstage_entry.errors import Conflict, StoreError
from berylstage_entry.grant_expiry import RENEWAL
from berylstage_entry.grant_renewer import GrantRenewer, note_fault
from berylstage_entry.key_loads import KeyLoads
from berylstage_entry.key_moves import FENCES, KeyMoves
from berylstage_entry.range_placement import deal, mend
from berylstage_entry.rebalancing import CALM_PERIOD, Rebalancer
from berylstage_entry.service_times import TargetServiceTimes

if TYPE_CHECKING:
    from berylstage_entry.assignment import Assignment
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

# Seconds between two looks at what has to be done.
TICK = 0.05
# Seconds between two looks whether keys are to be moved for balance. With 0.35 s a
# queue of half a second grew before the owner of keys that had become busy: the worst
# seconds of 44 targets earn 0.85 with it, and 0.90 with 0.1 s (`make bench-owned`).
BALANCE_PERIOD = 0.1
# Parts into which all keys are cut for each target at the start. Busy keys are close to
# one another, and nobody knows which they will be; in one part a target they have one
# owner for the first second.
FIRST_PIECES = 3
# Seconds for which the end of a move waits for others to be written with it: moves of
# one round end within 20 ms of each other where no work is under way.
SETTLE_DELAY = 0.02
# Ranges of one target, on average, above which neighbours are granted anew as one, and
# narrow ranges go back to the owner on both their sides. Each range is a grant every
# 0.8 s: 46 targets with eight ranges each take 460 a second, a call each.
MANY_RANGES = 3
# Rate of requests, relative to what it bears, that a cold target is given keys for.
COLD_USE = 0.5

log = Logger(__name__)


class _Service:
    """What the VM with the duty knows of one service with owned keys."""

    __slots__ = (
        "balanced_at",
        "ended",
        "loads",
        "lock",
        "mended_at",
        "moving",
        "pending",
        "rounds",
        "settling",
        "speeds",
    )

    def __init__(self, moment: float):
        self.loads = KeyLoads(moment)
        self.speeds = TargetServiceTimes()
        self.rounds = Rebalancer(moment)
        self.balanced_at = self.mended_at = moment
        self.moving: dict[tuple[int, int, int], asyncio.Task] = {}
        # Moves that have ended and are yet to be written, and who writes them.
        self.ended: list[KeyRange] = []
        self.settling: asyncio.Task | None = None
        # One change of the assignment at a time, each made from the one before, and
        # the one that is being written.
        self.lock = asyncio.Lock()
        self.pending: Assignment | None = None


class GrantController:
    """Carries out the duty of granting, while this VM has it.

    Parameters
    ----------
    store : Store
    feed : Feed
    directory : Directory
    office : Office
    wire : TargetWire
    """

    def __init__(
        self,
        store: Store,
        feed: StoreWatcher,
        directory: ClusterView,
        office: CoordinatorElection,
        wire: TargetProtocol,
    ):
        self._feed = feed
        self._directory = directory
        self._office = office
        self.writer = AssignmentWriter(store, feed, office)
        self._renewals = GrantRenewer(feed, directory, office, wire)
        self._moves = KeyMoves(directory, office, wire, self._renewals)
        self._services: dict[str, _Service] = {}
        self._task: asyncio.Task | None = None
        self._term = 0

    def start(self) -> None:
        """Begin to look after grants."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop all orders."""
        if self._task is not None:
            self._task.cancel()
        self._drop_tasks()

    def counted(self, service: str, counts: dict[int, int]) -> None:
        """Take in a VM's requests for each key since it told last."""
        state = self._state(service)
        for key, count in counts.items():
            state.loads.add(key, count)

    def told_speeds(
        self, service: str, mean: float, slowness: dict[str, float]
    ) -> None:
        """Take in how fast a VM has seen targets to be.

        Parameters
        ----------
        service : str
        mean, slowness
            As for :meth:`TargetServiceTimes.told`.
        """
        self._state(service).speeds.told(mean, slowness)

    async def _run(self) -> None:
        while True:
            try:
                if self._office.holds():
                    await self._look()
                elif len(self._renewals):
                    self._drop_tasks()
            except StoreError as exc:
                log.info("assignment not written", extra={"cause": str(exc)})
                if isinstance(exc, Conflict):
                    # The VM before may have ended without a word of what it wrote last.
                    self._feed.hurry()
                await asyncio.sleep(RENEWAL / 4)
            if self._office.holds():
                await asyncio.sleep(TICK)
            else:
                # A lease that is renewed late makes it hold the duty again.
                await asyncio.sleep(LOOK)
                await self._office.wait_for_lease()

    def _drop_tasks(self) -> None:
        self._renewals.drop()
        for state in self._services.values():
            for task in state.moving.values():
                task.cancel()
            state.moving.clear()
            state.ended.clear()

    def _begin_term(self) -> None:
        self._drop_tasks()
        self._term = self._office.term
        if not self._office.follows_itself:
            self._moves.forget()

    def handed_on(self) -> bytes:
        """Return what the next VM with the duty has to know of moves under way."""
        return self._moves.handed_on()

    def inherit(self, body: bytes) -> float | None:
        """Take over what a former holder of the duty knew, as of :class:`KeyMoves`."""
        if self._term != self._office.term:
            self._begin_term()
        return self._moves.inherit(body)

    async def _look(self) -> None:
        if self._term != self._office.term:
            self._begin_term()
        cfg = self._directory.configuration
        if cfg is None:
            return
        self._renewals.ask_ended()
        for service in cfg.services.values():
            if service.owns_keys:
                await self._look_at(service.name)

    async def _look_at(self, service: str) -> None:
        state = self._state(service)
        assignment = self._feed.assignments.get(service) or nobody()
        self._renewals.keep(assignment)
        self._start_moves(service, state, assignment)
        if not self._office.holds():
            return
        async with state.lock:
            assignment = self._feed.assignments.get(service) or nobody()
            changed = self._due_changes(service, state, assignment)
            if changed is not None:
                await self._write(service, state, changed)

    async def _write(self, service: str, state: _Service, new: Assignment) -> None:
        state.pending = new
        try:
            await self.writer.write(service, new)
        finally:
            state.pending = None

    def _due_changes(
        self, service: str, state: _Service, assignment: Assignment
    ) -> Assignment | None:
        """Return the assignment with what must or had better change; None for no."""
        moment = now()
        capacities = self._capacities(service, state)
        homeless = [
            r
            for r in assignment.ranges
            if not self._is_fit(r) and self._moves.may_move_on(r)
        ]
        state.loads.fade(moment)
        if homeless:
            rates = state.loads.rates()
            pieces = FIRST_PIECES * len(capacities)
            moves = deal(homeless, assignment, rates, capacities, pieces)
            return self._moved(assignment, moves) if moves else None
        if moment - state.balanced_at < BALANCE_PERIOD:
            return None
        state.balanced_at = moment
        rates = state.loads.rates()
        many = MANY_RANGES * max(1, len(capacities))
        if len(assignment.ranges) > many and moment - state.mended_at >= CALM_PERIOD:
            # Before any move for balance: under load there is always one that helps,
            # and each cuts ranges up further.
            state.mended_at = moment
            mended = self._mended(assignment, rates, capacities)
            if mended is not None:
                return mended
        moves = state.rounds.moves(moment, assignment, rates, capacities)
        if not moves:
            return None
        log.info(
            "keys move for balance",
            extra={"moves": [(m.first, m.last, m.owner) for m in moves]},
        )
        return self._moved(assignment, moves)

    def _mended(
        self, assignment: Assignment, rates: list, capacities: dict[str, float]
    ) -> Assignment | None:
        """Return the assignment with fewer ranges to be; None when there is no way."""
        moves = mend(assignment, rates, capacities)
        mended = self._moved(assignment, moves) if moves else assignment
        return self._consolidated(mended) or (mended if moves else None)

    def _is_fit(self, r: KeyRange) -> bool:
        """Tell whether the owner of a range can go on to be it."""
        if not r.owner or not self._directory.may_use(r.owner):
            return False
        if self._directory.known[r.owner].target.life != r.life:
            return False
        identity = (r.owner, r.life)
        silent = self._renewals.is_silent(identity)
        return not silent or self._renewals.may_hold(identity)

    def _capacities(self, service: str, state: _Service) -> dict[str, float]:
        """Return the requests a second of each target that may take keys."""
        cfg = self._directory.configuration
        assert cfg is not None
        capacities = {}
        for name in self._directory.usable(service):
            entry = self._directory.known[name]
            if self._renewals.is_silent(entry.target.identity):
                continue
            capacities[name] = entry.target.slots / state.speeds.seconds(name)
            if entry.cold_until > now():
                rate = cfg.services[service].cold_rate
                capacities[name] = min(capacities[name], COLD_USE * rate)
        return capacities

    def _moved(self, assignment: Assignment, moves) -> Assignment:
        """Return the assignment with moves begun."""
        fence = assignment.next_fence
        new = []
        for move in moves:
            life = self._directory.known[move.owner].target.life
            for r in assignment.ranges:
                if r.last < move.first or r.first > move.last:
                    continue
                first, last = max(r.first, move.first), min(r.last, move.last)
                fence += FENCES
                new.append(self._moves.begun(r, first, last, move.owner, life, fence))
        return assignment.replace(new, fence + 1)

    def _consolidated(self, assignment: Assignment) -> Assignment | None:
        """Return the assignment with like neighbours under one fence, if any."""
        fence = assignment.next_fence
        new = []
        ranges = assignment.ranges
        for one, other in zip(ranges[::2], ranges[1::2], strict=False):
            settled = not one.former and not other.former
            if settled and (one.owner, one.life) == (other.owner, other.life):
                new.append(
                    KeyRange(one.first, other.last, one.owner, one.life, fence + 1)
                )
                fence += 1
        return assignment.replace(new, fence + 1) if new else None

    def _start_moves(
        self, service: str, state: _Service, assignment: Assignment
    ) -> None:
        """See to it that each move that was begun goes on."""
        for move, task in list(state.moving.items()):
            if task.done():
                note_fault(task)
                del state.moving[move]
        for r in assignment.ranges:
            move = (r.first, r.last, r.fence)
            if r.former and move not in state.moving:
                state.moving[move] = asyncio.create_task(self._move(service, r))

    async def _move(self, service: str, r: KeyRange) -> None:
        """Take keys from their former owner, give them to the new one, and say so."""
        began = now()
        handover = self._moves.handover(r)
        if handover is None:
            handover = await self._moves.take_back(r)
        if handover is None or not self._goes_on(service, r):
            return
        self._moves.let_go(r, handover)
        known = self._directory.known.get(r.owner)
        if known is None or known.target.life != r.life:
            return
        if not await self._renewals.grant(known.target, r, handover):
            return
        log.info(
            "keys moved",
            extra={
                "service": service,
                "first": r.first,
                "last": r.last,
                "from": r.former,
                "to": r.owner,
                "fence": r.fence,
                "handover": bool(handover),
                "seconds": round(now() - began, 3),
            },
        )
        state = self._state(service)
        state.ended.append(r)
        if state.settling is None or state.settling.done():
            state.settling = asyncio.create_task(self._settle(service, state))
        # A move whose end is not written yet is begun again, which renews the new
        # owner's grant. Without a pause that takes a call a moment for each such move
        # while the store is slow, and the VM gets to nothing else.
        await asyncio.sleep(RENEWAL)

    def _goes_on(self, service: str, r: KeyRange) -> bool:
        """Tell whether keys go to the owner that a move was begun for.

        It may have become unfit meanwhile, and the keys may go to yet another one:
        granting them would give them two owners (seen for 2.6 s when a data centre was
        closed in the midst of a move). A write that is under way counts as if it were
        in force as well; one that leaves these keys alone does not hold them up, though
        its end may be unknown for as long as the store is away.
        """
        pending = self._state(service).pending
        known = [self._feed.assignments[service], *([pending] if pending else [])]
        return all(each.has(r) for each in known)

    async def _settle(self, service: str, state: _Service) -> None:
        """Write that moves have ended: those that end together in one write."""
        while state.ended and self._office.holds():
            await asyncio.sleep(SETTLE_DELAY)
            try:
                async with state.lock:
                    ended, state.ended = state.ended, []
                    await self._write_settled(service, ended)
            except StoreError as exc:
                state.ended += ended
                log.info("end of moves not written", extra={"cause": str(exc)})
                await asyncio.sleep(TICK)

    async def _write_settled(self, service: str, ended: list[KeyRange]) -> None:
        assignment = self._feed.assignments[service]
        done = []
        for r in ended:
            current = assignment.find(r.first)
            if current.fence == r.fence and current.former:
                done.append(KeyRange(r.first, r.last, r.owner, r.life, r.fence))
        if done:
            new = assignment.replace(done, assignment.next_fence)
            await self._write(service, self._state(service), new)

    def _state(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(now())
        return state
