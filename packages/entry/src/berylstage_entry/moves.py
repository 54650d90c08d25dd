"""Tracks ongoing moves of keys, and revokes keys from their previous owners."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed, NeverSent, NothingListens
from logbook import Logger

from berylstage_entry.assignment import KeyRange
from berylstage_entry.clock import now
from berylstage_entry.errors import TargetEnded
from berylstage_entry.holds import ORDER_TIMEOUT
from berylstage_entry.wire import GrantOrder

if TYPE_CHECKING:
    from berylstage_entry.directory import Directory
    from berylstage_entry.holds import TargetHold
    from berylstage_entry.office import Office
    from berylstage_entry.renewals import Renewals
    from berylstage_entry.targets import Target
    from berylstage_entry.wire import TargetWire

# Seconds between two attempts to revoke keys.
TICK = 0.05
# Fences of one move: the highest is for the grant to the new owner, each of the others
# for one attempt to revoke the keys. An attempt without an answer may be applied later,
# and only a higher fence prevents it from returning the keys to the previous owner.
FENCES = 8
# Timeout in seconds of a release, which is answered once requests for the keys are
# complete.
RELEASE_TIMEOUT = 2.0

log = Logger(__name__)


class Moves:
    """Revokes keys from their previous owners while this VM is the coordinator.

    Parameters
    ----------
    directory : Directory
    office : Office
    wire : TargetWire
    renewals : Renewals
    """

    def __init__(
        self,
        directory: Directory,
        office: Office,
        wire: TargetWire,
        renewals: Renewals,
    ):
        self._directory = directory
        self._office = office
        self._wire = wire
        self._renewals = renewals
        # Moves whose previous owner no longer holds the keys, with its handover.
        self._let_go: dict[tuple[int, int, int], str] = {}
        # Fence of the last attempt to revoke keys, by move.
        self._tries: dict[tuple[int, int, int], int] = {}
        # Fences of the moves that were started in this term.
        self._own_fences: set[int] = set()

    def forget(self) -> None:
        """Discard all state, since another VM may have continued the moves."""
        self._let_go.clear()
        self._tries.clear()
        self._own_fences.clear()

    def handover(self, r: KeyRange) -> str | None:
        """Return the previous owner's handover; None while it may hold keys."""
        return self._let_go.get((r.first, r.last, r.fence))

    def let_go(self, r: KeyRange, handover: str) -> None:
        """Record that the previous owner no longer holds a moving range."""
        self._let_go[r.first, r.last, r.fence] = handover

    def handed_on(self) -> bytes:
        """Return the state of ongoing moves for the next coordinator."""
        doc = {
            "lapse_in": self._renewals.lapse_in(),
            "own": sorted(self._own_fences),
            "let_go": [[*move, handed] for move, handed in self._let_go.items()],
            "tries": [[*move, fence] for move, fence in self._tries.items()],
        }
        return json.dumps(doc).encode()

    def inherit(self, body: bytes) -> float | None:
        """Import a former coordinator's state of ongoing moves.

        Parameters
        ----------
        body : bytes

        Returns
        -------
        float or None
            Seconds until all its grants have expired; None if the state cannot be
            parsed.
        """
        try:
            doc = json.loads(body)
            lapse_in = float(doc["lapse_in"])
            self._own_fences.update(doc["own"])
            self._let_go |= {(r[0], r[1], r[2]): r[3] for r in doc["let_go"]}
            self._tries |= {(r[0], r[1], r[2]): r[3] for r in doc["tries"]}
        except (ValueError, KeyError, TypeError, IndexError) as exc:
            # Without the state, moves wait until all grants have expired.
            log.warning(
                "state of the former coordinator not imported",
                extra={"cause": str(exc)},
            )
            return None
        return lapse_in

    def may_move_on(self, r: KeyRange) -> bool:
        """Tell whether it is known which targets may hold keys that are being moved."""
        # This VM cannot know whether a move that another VM started has granted the
        # keys to the new owner. It deals with the previous owner first; then the new
        # owner is the only one that may hold them.
        begun_here = r.fence in self._own_fences
        return not r.former or begun_here or (r.first, r.last, r.fence) in self._let_go

    def begun(
        self, r: KeyRange, first: int, last: int, owner: str, life: int, fence: int
    ) -> KeyRange:
        """Return part of a range as it is while it moves to a new owner.

        Parameters
        ----------
        r : KeyRange
            The range before the move.
        first, last : int
        owner : str
        life : int
        fence : int
            The highest of the move.

        Returns
        -------
        KeyRange
        """
        former, former_life = r.owner, r.life
        if r.former and (r.first, r.last, r.fence) not in self._let_go:
            former, former_life = r.former, r.former_life
        self._own_fences.add(fence)
        return KeyRange(first, last, owner, life, fence, former, former_life)

    async def take_back(self, r: KeyRange) -> str | None:
        """Return the handover once the previous owner holds no keys, else None."""
        identity = (r.former, r.former_life)
        hold = self._renewals.hold(identity)
        if r.fence not in self._own_fences:
            return await self._waited_for(r)
        known = self._directory.known.get(r.former)
        target = known.target if known is not None else None
        if target is None:
            target = self._renewals.past(identity)
        if hold.has_ended or (hold.silent_since and self._lapsed(r)):
            return ""
        if target is not None and await self._renewals.is_back(target):
            handover = await self._release(target, hold, r)
            if handover is not None:
                return handover
        if self._lapsed(r):
            return ""
        await asyncio.sleep(TICK)
        return None

    def _lapsed(self, r: KeyRange) -> bool:
        """Tell whether all grants of moving keys by any VM have expired."""
        hold = self._renewals.hold((r.former, r.former_life))
        ordered = hold.lapse_on(r.first, r.last)
        return now() >= max(ordered, self._office.others_lapse)

    async def _waited_for(self, r: KeyRange) -> str | None:
        """Wait out a move that another VM started, and whose state is unknown.

        Its new owner may already have been granted the keys. Granting them to the
        previous owner in order to set a fence there could then give the keys to both,
        so nothing is granted until all grants that the other VM may have made have
        expired.
        """
        if self._lapsed(r):
            return ""
        await asyncio.sleep(TICK)
        return None

    async def _release(
        self, target: Target, hold: TargetHold, r: KeyRange
    ) -> str | None:
        """Release keys from a target that may answer; None if it does not."""
        fence = self._next_try(r)
        if not fence or not self._office.holds():
            return None
        try:
            # A renewal from this VM or a former coordinator may still be in transit and
            # be applied after the release; two targets would then hold the keys (for
            # 2.5 s in one case). Unlike a release, a grant sets a fence, so the target
            # then rejects the renewal.
            order = GrantOrder(r.first, r.last, fence, self._office.hold())
            noted = hold.ordered(now(), order.hold, r.first, r.last)
            try:
                await self._wire.grant(target, order, ORDER_TIMEOUT)
            except NeverSent:
                hold.unsent(noted)
                raise
            hold.answered()
            handover = await self._wire.release(
                target, r.first, r.last, fence, RELEASE_TIMEOUT
            )
        except CallFailed as exc:
            log.info(
                "keys not released",
                extra={"target": target.name, "first": r.first, "cause": str(exc)},
            )
            if isinstance(exc, NothingListens):
                hold.refused(now())
            hold.failed(now())
            return None
        except TargetEnded:
            # Another target has the address, so this one has terminated and holds no
            # keys. Waiting for its grants to expire would cost 3.3 s for a data
            # centre's targets that restart under other names.
            hold.ended(now())
            return ""
        return handover if target.life == r.former_life else ""

    def _next_try(self, r: KeyRange) -> int:
        """Return the fence for the next attempt to revoke keys; 0 if none is left."""
        move = (r.first, r.last, r.fence)
        first = r.fence - FENCES + 1
        fence = self._tries.get(move, first - 1) + 1
        self._tries[move] = fence
        return fence if fence < r.fence else 0
