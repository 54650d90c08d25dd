"""Grants keys to targets, renews the grants, and moves keys."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.assignment import KeyRange, nobody
from berylstage_entry.balance import KeyLoads, deal, rebalance
from berylstage_entry.clock import now
from berylstage_entry.errors import Conflict, StoreError, StoreRefused, StoreSilent
from berylstage_entry.feed import KEYS_PREFIX
from berylstage_entry.holds import (
    ORDER_TIMEOUT,
    RENEWAL,
    TargetHold,
)
from berylstage_entry.store import Condition, Item, Write
from berylstage_entry.wire import GrantOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.assignment import Assignment
    from berylstage_entry.directory import Directory
    from berylstage_entry.feed import Feed
    from berylstage_entry.office import Office
    from berylstage_entry.store import Store
    from berylstage_entry.targets import Target
    from berylstage_entry.wire import TargetWire

# Seconds between two looks at what has to be done.
TICK = 0.05
# Seconds between two rounds of moves for balance.
BALANCE_PERIOD = 0.35
# Parts into which all keys are cut for each target at the start.
FIRST_PIECES = 1
# Seconds for which the end of a move waits for others to be written with it: moves of
# one round end within 20 ms of each other where no work is under way.
SETTLE_DELAY = 0.02
# Seconds that a release may take: it is answered when the work on the keys has ended.
RELEASE_TIMEOUT = 2.0
# Fences of one move: the highest gives the keys out, each of the others serves one try
# to take them back. A try without an answer may be carried out later, and only a higher
# fence than its own keeps it from bringing the keys back.
FENCES = 8
# Seconds between two questions to a target that has fallen silent.
PROBE_PERIOD = 0.3
# Ranges of one target above which neighbours are granted anew as one.
MANY_RANGES = 8
# Seconds of work of one request while nobody has told better.
FIRST_SERVICE_TIME = 0.1
# Weight of one VM's report in what is known of the speed of targets: all ten VMs report
# three times a second, so that a second of reports outweighs what was known before.
SPEED_GAIN = 0.1
# Rate of requests, relative to what it bears, that a cold target is given keys for.
COLD_USE = 0.5

log = Logger(__name__)


def note_fault(task: asyncio.Task) -> None:
    """Log what ended a task that should not have failed."""
    if not task.cancelled() and task.exception() is not None:
        exc = task.exception()
        log.error("a task failed", extra={"fault": f"{type(exc).__name__}: {exc}"})


class _Service:
    """What the VM with the duty knows of one service with owned keys."""

    __slots__ = (
        "balanced_at",
        "ended",
        "loads",
        "lock",
        "moving",
        "seconds",
        "settling",
        "slowness",
    )

    def __init__(self, moment: float):
        self.loads = KeyLoads(moment)
        # Mean service time, and how slow each target is, as VMs have told.
        self.seconds = FIRST_SERVICE_TIME
        self.slowness: dict[str, float] = {}
        self.balanced_at = moment
        self.moving: dict[tuple[int, int, int], asyncio.Task] = {}
        # Moves that have ended and are yet to be written, and who writes them.
        self.ended: list[KeyRange] = []
        self.settling: asyncio.Task | None = None
        # One change of the assignment at a time, each made from the one before.
        self.lock = asyncio.Lock()


class Granting:
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
        feed: Feed,
        directory: Directory,
        office: Office,
        wire: TargetWire,
    ):
        self._store = store
        self._feed = feed
        self._directory = directory
        self._office = office
        self._wire = wire
        # Called with each assignment that has been written.
        self.listeners: list[Callable[[Item], None]] = []
        self._services: dict[str, _Service] = {}
        self._holds: dict[tuple[str, int], TargetHold] = {}
        self._keepers: dict[tuple[str, int], asyncio.Task] = {}
        # Targets that were granted something, for the time after their records go.
        self._targets_seen: dict[tuple[str, int], Target] = {}
        # Moves whose former owner holds nothing any more, with what it handed over.
        self._let_go: dict[tuple[int, int, int], str] = {}
        # When nothing holds any more that let the former owner of moving keys hold
        # them. Its other keys are renewed all the while.
        self._covered: dict[tuple[int, int, int], float] = {}
        # Fence of the last try to take keys back, by move.
        self._tries: dict[tuple[int, int, int], int] = {}
        # Fences of the moves that were begun in this term.
        self._own_fences: set[int] = set()
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

    def told(
        self,
        service: str,
        counts: dict[int, int],
        mean: float,
        slowness: dict[str, float],
    ) -> None:
        """Take in what a VM has counted.

        Parameters
        ----------
        service : str
        counts : dict of int to int
            Requests for each key since its last report.
        mean : float
            Seconds that a request takes; 0 when unknown.
        slowness : dict of str to float
            How slow each target is, over the typical one.
        """
        state = self._state(service)
        for key, count in counts.items():
            state.loads.add(key, count)
        if mean:
            state.seconds += SPEED_GAIN * (mean - state.seconds)
        for target, value in slowness.items():
            old = state.slowness.get(target, 1.0)
            state.slowness[target] = old + SPEED_GAIN * (value - old)

    async def _run(self) -> None:
        while True:
            try:
                if self._office.holds():
                    await self._look()
                elif self._keepers:
                    self._drop_tasks()
            except StoreError as exc:
                log.info("assignment not written", extra={"cause": str(exc)})
                await asyncio.sleep(RENEWAL / 4)
            await asyncio.sleep(TICK)

    def _drop_tasks(self) -> None:
        for task in self._keepers.values():
            task.cancel()
        self._keepers.clear()
        for state in self._services.values():
            for task in state.moving.values():
                task.cancel()
            state.moving.clear()
            state.ended.clear()

    def _begin_term(self) -> None:
        self._drop_tasks()
        self._term = self._office.term
        if not self._office.follows_itself:
            # Another VM may have gone on with the moves that this one knew.
            self._let_go.clear()
            self._tries.clear()
            self._covered.clear()
            self._own_fences.clear()

    def handed_on(self) -> bytes:
        """Return what the next VM with the duty has to know of moves under way."""
        doc = {
            "lapse_in": max([0.0, *(h.lapse - now() for h in self._holds.values())]),
            "own": sorted(self._own_fences),
            "let_go": [[*move, handed] for move, handed in self._let_go.items()],
            "tries": [[*move, fence] for move, fence in self._tries.items()],
        }
        return json.dumps(doc).encode()

    def inherit(self, body: bytes) -> float | None:
        """Take over what a former holder of the duty knew of moves under way.

        Parameters
        ----------
        body : bytes

        Returns
        -------
        float or None
            Seconds after which nothing holds that it ordered; None when unreadable.
        """
        if self._term != self._office.term:
            self._begin_term()
        try:
            doc = json.loads(body)
            lapse_in = float(doc["lapse_in"])
            self._own_fences.update(doc["own"])
            self._let_go |= {(r[0], r[1], r[2]): r[3] for r in doc["let_go"]}
            self._tries |= {(r[0], r[1], r[2]): r[3] for r in doc["tries"]}
        except (ValueError, KeyError, TypeError, IndexError) as exc:
            # Without it the moves wait until all holds have lapsed.
            log.warning("nothing inherited", extra={"cause": str(exc)})
            return None
        return lapse_in

    async def _look(self) -> None:
        if self._term != self._office.term:
            self._begin_term()
        cfg = self._directory.configuration
        if cfg is None:
            return
        for service in cfg.services.values():
            if service.owns_keys:
                await self._look_at(service.name)

    async def _look_at(self, service: str) -> None:
        state = self._state(service)
        assignment = self._feed.assignments.get(service) or nobody()
        self._keep_renewing(assignment)
        self._start_moves(service, state, assignment)
        if not self._office.holds():
            return
        async with state.lock:
            assignment = self._feed.assignments.get(service) or nobody()
            changed = self._due_changes(service, state, assignment)
            if changed is not None:
                await self._write(service, changed)

    def _due_changes(
        self, service: str, state: _Service, assignment: Assignment
    ) -> Assignment | None:
        """Return the assignment with what must or had better change; None for no."""
        moment = now()
        capacities = self._capacities(service, state)
        homeless = [
            r for r in assignment.ranges if not self._is_fit(r) and self._may_move_on(r)
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
        moves = rebalance(assignment, state.loads.rates(), capacities)
        if moves:
            log.info(
                "keys move for balance",
                extra={"moves": [(m.first, m.last, m.owner) for m in moves]},
            )
            return self._moved(assignment, moves)
        return self._consolidated(assignment)

    def _is_fit(self, r: KeyRange) -> bool:
        """Tell whether the owner of a range can go on to be it."""
        if not r.owner or not self._directory.may_use(r.owner):
            return False
        if self._directory.known[r.owner].target.life != r.life:
            return False
        hold = self._holds.get((r.owner, r.life))
        silent = hold is not None and hold.silent_since
        if not silent:
            return True
        assert hold is not None
        return now() < max(hold.lapse, self._office.others_lapse)

    def _capacities(self, service: str, state: _Service) -> dict[str, float]:
        """Return the requests a second of each target that may take keys."""
        cfg = self._directory.configuration
        assert cfg is not None
        capacities = {}
        for name in self._directory.usable(service):
            entry = self._directory.known[name]
            hold = self._holds.get(entry.target.identity)
            if hold is not None and hold.silent_since:
                continue
            seconds = state.seconds * state.slowness.get(name, 1.0)
            capacities[name] = entry.target.slots / seconds
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
                new.append(self._begun(r, first, last, move.owner, life, fence))
        return assignment.replace(new, fence + 1)

    def _may_move_on(self, r: KeyRange) -> bool:
        """Tell whether it is known who may still hold keys that were on the move."""
        # Of a move that another VM began, nobody here knows whether the new owner has
        # been granted the keys. The former owner is settled first; then the new one
        # is the only one left that may hold them.
        begun_here = r.fence in self._own_fences
        return not r.former or begun_here or (r.first, r.last, r.fence) in self._let_go

    def _begun(
        self, r: KeyRange, first: int, last: int, owner: str, life: int, fence: int
    ) -> KeyRange:
        former, former_life = r.owner, r.life
        if r.former and (r.first, r.last, r.fence) not in self._let_go:
            former, former_life = r.former, r.former_life
        self._own_fences.add(fence)
        hold = self._holds.get((former, former_life))
        if hold is not None:
            self._covered[first, last, fence] = hold.lapse
        return KeyRange(first, last, owner, life, fence, former, former_life)

    def _consolidated(self, assignment: Assignment) -> Assignment | None:
        """Return the assignment with like neighbours under one fence, if many."""
        if len(assignment.ranges) <= MANY_RANGES * max(1, len(self._keepers)):
            return None
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

    async def _write(self, service: str, assignment: Assignment) -> None:
        """Write an assignment, and return once it is known to be in force.

        Raises
        ------
        Conflict
            Another one is in force.
        StoreError
            It is not in force and won't be.
        """
        key = KEYS_PREFIX + service
        revision = self._feed.revisions.get(service, 0)
        conditions = [self._office.condition(), Condition(key, revision)]
        value = assignment.encode()
        doubtful = False
        while True:
            try:
                new = await self._store.write(conditions, [Write(key, value)])
                break
            except StoreRefused:
                if not doubtful:
                    raise
            except Conflict:
                if doubtful:
                    await self._catch_up(service, revision)
                raise
            except StoreSilent as exc:
                # It may be in force, or come into force seconds later. Until that is
                # known nothing may be granted by the one before: the two could give the
                # same keys to two targets.
                doubtful = True
                log.info("assignment in doubt", extra={"cause": str(exc)})
            if not self._office.holds():
                raise Conflict(f"{key}: the duty was lost while a write was in doubt")
            await asyncio.sleep(TICK)
        item = Item(key, value, new)
        self._feed.take_written(item)
        for listener in self.listeners:
            listener(item)
        log.info(
            "assignment written",
            extra={
                "service": service,
                "revision": new,
                "ranges": len(assignment.ranges),
                "moving": sum(1 for r in assignment.ranges if r.former),
            },
        )

    async def _catch_up(self, service: str, revision: int) -> None:
        """Wait until this VM has heard of a newer assignment than it knew."""
        while self._office.holds():
            if self._feed.revisions.get(service, 0) > revision:
                return
            await asyncio.sleep(TICK)

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
        move = (r.first, r.last, r.fence)
        if move not in self._let_go:
            handed = await self._taken_back(r)
            if handed is None:
                return
            # The new owner may have become unfit meanwhile, and the keys may go to yet
            # another one: granting them here would give them two owners (seen for
            # 2.6 s when a data centre was closed in the midst of a move).
            async with self._state(service).lock:
                if self._feed.assignments[service].find(r.first).fence != r.fence:
                    return
                self._let_go[move] = handed
        handover = self._let_go[move]
        known = self._directory.known.get(r.owner)
        if known is None or known.target.life != r.life:
            return
        if not await self._grant(known.target, r, handover):
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
            await self._write(service, new)

    async def _taken_back(self, r: KeyRange) -> str | None:
        """Return the handover once the former owner holds nothing; None if not yet."""
        identity = (r.former, r.former_life)
        hold = self._hold(identity)
        if r.fence not in self._own_fences:
            return await self._waited_for(r)
        known = self._directory.known.get(r.former)
        target = known.target if known is not None else None
        if target is None:
            target = self._past(identity)
        if hold.silent_since and self._lapsed(r):
            return ""
        if target is not None:
            handover = await self._release(target, hold, r)
            if handover is not None:
                return handover
        if self._lapsed(r):
            return ""
        await asyncio.sleep(TICK)
        return None

    def _lapsed(self, r: KeyRange) -> bool:
        """Tell whether nothing ordered by anybody can still hold moving keys."""
        covered = self._covered.get((r.first, r.last, r.fence), float("-inf"))
        return now() >= max(covered, self._office.others_lapse)

    async def _waited_for(self, r: KeyRange) -> str | None:
        """Settle a move that another VM began and said nothing of.

        Its new owner may have been granted the keys already. A grant to the former one,
        which would fence it, could then give the keys to both; so nothing is granted
        until all that the other VM may have ordered has lapsed.
        """
        if self._lapsed(r):
            return ""
        await asyncio.sleep(TICK)
        return None

    async def _release(
        self, target: Target, hold: TargetHold, r: KeyRange
    ) -> str | None:
        """Take keys back from a target that may answer; None when it does not."""
        fence = self._next_try(r)
        if not fence or not self._office.holds():
            return None
        try:
            # A renewal may still be on its way, from this VM or a former holder of the
            # duty, and be carried out after the release: two targets would then hold
            # the keys (seen for 2.5 s). A release leaves no fence behind, a grant does,
            # and a target that has seen it refuses the renewal.
            order = GrantOrder(r.first, r.last, fence, self._office.hold())
            hold.ordered(now(), order.hold)
            self._covered[r.first, r.last, r.fence] = hold.lapse
            await self._wire.grant(target, order, ORDER_TIMEOUT)
            handover = await self._wire.release(
                target, r.first, r.last, fence, RELEASE_TIMEOUT
            )
        except CallFailed as exc:
            log.info(
                "keys not released",
                extra={"target": target.name, "first": r.first, "cause": str(exc)},
            )
            return None
        return handover if target.life == r.former_life else ""

    def _next_try(self, r: KeyRange) -> int:
        """Return the fence for one more try to take keys back; 0 for no more tries."""
        move = (r.first, r.last, r.fence)
        first = r.fence - FENCES + 1
        fence = self._tries.get(move, first - 1) + 1
        self._tries[move] = fence
        return fence if fence < r.fence else 0

    async def _grant(self, target: Target, r: KeyRange, handover: str = "") -> bool:
        """Grant one range; tell whether the target has it now."""
        hold = self._hold(target.identity)
        order = GrantOrder(r.first, r.last, r.fence, self._office.hold(), handover)
        if not self._office.holds():
            return False
        hold.ordered(now(), order.hold)
        try:
            taken = await self._wire.grant(target, order, ORDER_TIMEOUT)
        except CallFailed as exc:
            if not hold.silent_since:
                log.info(
                    "grant without an answer",
                    extra={"target": target.name, "first": r.first, "cause": str(exc)},
                )
            hold.failed(now())
            return False
        hold.answered()
        if not taken:
            log.warning(
                "grant refused: the target has seen a higher fence",
                extra={"target": target.name, "first": r.first, "fence": r.fence},
            )
        return taken

    def _keep_renewing(self, assignment: Assignment) -> None:
        """See to it that each owner has a task that renews its grants."""
        for identity, task in list(self._keepers.items()):
            if task.done():
                note_fault(task)
                del self._keepers[identity]
        for r in assignment.ranges:
            identity = (r.owner, r.life)
            if not r.owner or identity in self._keepers:
                continue
            known = self._directory.known.get(r.owner)
            if known is not None and known.target.life == r.life:
                task = asyncio.create_task(self._keep(known.target))
                self._keepers[identity] = task

    async def _keep(self, target: Target) -> None:
        """Renew what a target owns until it owns nothing."""
        hold = self._hold(target.identity)
        self._targets_seen[target.identity] = target
        granted: set[tuple[int, int, int]] = set()
        while self._office.holds():
            mine = self._owned(target)
            if not mine:
                return
            began = now()
            if hold.silent_since and not await self._wire.is_alive(
                target, ORDER_TIMEOUT
            ):
                await asyncio.sleep(PROBE_PERIOD)
                continue
            await asyncio.gather(*(self._grant(target, r) for r in mine))
            granted = {(r.first, r.last, r.fence) for r in mine}
            prolonged = self._office.prolongs
            while now() - began < RENEWAL and prolonged == self._office.prolongs:
                await asyncio.sleep(TICK)
                ranges = {(r.first, r.last, r.fence) for r in self._owned(target)}
                if ranges - granted or not ranges:
                    break

    def _owned(self, target: Target) -> list[KeyRange]:
        """Return the ranges of a target that are not on the move."""
        assignment = self._feed.assignments.get(target.service)
        if assignment is None:
            return []
        return [
            r
            for r in assignment.ranges
            if (r.owner, r.life) == target.identity and not r.former
        ]

    def _hold(self, identity: tuple[str, int]) -> TargetHold:
        hold = self._holds.get(identity)
        if hold is None:
            hold = self._holds[identity] = TargetHold()
        return hold

    def _past(self, identity: tuple[str, int]) -> Target | None:
        return self._targets_seen.get(identity)

    def _state(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(now())
        return state
