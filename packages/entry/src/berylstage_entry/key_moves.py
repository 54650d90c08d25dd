"""What is known of the moves of keys under way, and the taking back of keys."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed, NeverSent, NothingListens
from logbook import Logger

from berylstage_entry.assignment import KeyRange
from berylstage_entry.clock import now
from berylstage_entry.errors import TargetReplaced
from berylstage_entry.grant_expiry import ORDER_TIMEOUT
from berylstage_entry.protocols import GrantRequest

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.grant_expiry import TargetGrants
    from berylstage_entry.grant_renewer import GrantRenewer
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.targets import Target

# Seconds between two tries to take keys back.
TICK = 0.05
# Fences of one move: the highest gives the keys out, each of the others serves one try
# to take them back. A try without an answer may be carried out later, and only a higher
# fence than its own keeps it from bringing the keys back.
FENCES = 8
# Seconds that a release may take: it is answered when the work on the keys has ended.
RELEASE_TIMEOUT = 2.0

log = Logger(__name__)


class KeyMoves:
    """Takes keys back from their former owners while this VM has the duty.

    Parameters
    ----------
    directory : Directory
    office : Office
    wire : TargetWire
    renewals : Renewals
    """

    def __init__(
        self,
        directory: ClusterView,
        office: CoordinatorElection,
        wire: TargetProtocol,
        renewals: GrantRenewer,
    ):
        self._directory = directory
        self._office = office
        self._wire = wire
        self._renewals = renewals
        # Moves whose former owner holds nothing any more, with what it handed over.
        self._let_go: dict[tuple[int, int, int], str] = {}
        # Fence of the last try to take keys back, by move.
        self._tries: dict[tuple[int, int, int], int] = {}
        # Fences of the moves that were begun in this term.
        self._own_fences: set[int] = set()

    def forget(self) -> None:
        """Forget everything: another VM may have gone on with these moves."""
        self._let_go.clear()
        self._tries.clear()
        self._own_fences.clear()

    def handover(self, r: KeyRange) -> str | None:
        """Return what the former owner handed over; None while it may hold keys."""
        return self._let_go.get((r.first, r.last, r.fence))

    def let_go(self, r: KeyRange, handover: str) -> None:
        """Note that the former owner holds nothing of a moving range any more."""
        self._let_go[r.first, r.last, r.fence] = handover

    def handed_on(self) -> bytes:
        """Return what the next VM with the duty has to know of moves under way."""
        doc = {
            "lapse_in": self._renewals.lapse_in(),
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

    def may_move_on(self, r: KeyRange) -> bool:
        """Tell whether it is known who may still hold keys that were on the move."""
        # Of a move that another VM began, nobody here knows whether the new owner has
        # been granted the keys. The former owner is settled first; then the new one
        # is the only one left that may hold them.
        begun_here = r.fence in self._own_fences
        return not r.former or begun_here or (r.first, r.last, r.fence) in self._let_go

    def begun(
        self, r: KeyRange, first: int, last: int, owner: str, life: int, fence: int
    ) -> KeyRange:
        """Return keys of a range as they are while they move to a new owner.

        Parameters
        ----------
        r : KeyRange
            That they are a part of.
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
        """Return the handover once the former owner holds nothing; None if not yet."""
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
        """Tell whether nothing ordered by anybody can still hold moving keys."""
        hold = self._renewals.hold((r.former, r.former_life))
        ordered = hold.lapse_on(r.first, r.last)
        return now() >= max(ordered, self._office.others_lapse)

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
        self, target: Target, hold: TargetGrants, r: KeyRange
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
            order = GrantRequest(r.first, r.last, fence, self._office.hold())
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
        except TargetReplaced:
            # Another target has the address, so this one has ended with all its holds.
            # Its keys need not wait for them: 3.3 s for a data centre's targets that
            # came back under other names.
            hold.ended(now())
            return ""
        return handover if target.life == r.former_life else ""

    def _next_try(self, r: KeyRange) -> int:
        """Return the fence for one more try to take keys back; 0 for no more tries."""
        move = (r.first, r.last, r.fence)
        first = r.fence - FENCES + 1
        fence = self._tries.get(move, first - 1) + 1
        self._tries[move] = fence
        return fence if fence < r.fence else 0
