"""Tracks ongoing moves of keys, and revokes keys from their previous owners."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed, NeverSent
from logbook import Logger

from berylstage_entry.assignment import KeyRange
from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, TargetReplaced
from berylstage_entry.grant_expiry import GRANT_TIMEOUT_SECONDS
from berylstage_entry.json_documents import parse_json
from berylstage_entry.protocols import GrantRequest

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.grant_expiry import TargetGrants
    from berylstage_entry.grant_renewer import GrantRenewer
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.targets import Target

# Seconds between two attempts to revoke keys.
RETRY_INTERVAL_SECONDS = 0.05
# Fences of one move: the highest is for the grant to the new owner, each of the others
# for one attempt to revoke the keys. An attempt without an answer may be applied later,
# and only a higher fence prevents it from returning the keys to the previous owner.
FENCES_PER_MOVE = 8
# Timeout in seconds of a release, which is answered once requests for the keys are
# complete.
RELEASE_TIMEOUT_SECONDS = 2.0

log = Logger(__name__)


class KeyMoves:
    """Revokes keys from their previous owners while this VM is the coordinator.

    Parameters
    ----------
    cluster_view : ClusterView
    election : CoordinatorElection
    protocol : TargetProtocol
    grant_renewer : GrantRenewer
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        election: CoordinatorElection,
        protocol: TargetProtocol,
        grant_renewer: GrantRenewer,
    ):
        self._cluster_view = cluster_view
        self._election = election
        self._protocol = protocol
        self._grant_renewer = grant_renewer
        # Moves whose previous owner no longer holds the keys, with its handover.
        self._released: dict[tuple[int, int, int], str] = {}
        # Fence of the last attempt to revoke keys, by move.
        self._last_fences: dict[tuple[int, int, int], int] = {}
        # Fences of the moves that were started in this term.
        self._term_fences: set[int] = set()

    def reset(self) -> None:
        """Discard all state, since another VM may have continued the moves."""
        self._released.clear()
        self._last_fences.clear()
        self._term_fences.clear()

    def get_handover(self, r: KeyRange) -> str | None:
        """Return the previous owner's handover; None while it may hold keys."""
        return self._released.get((r.first, r.last, r.fence))

    def record_release(self, r: KeyRange, handover: str) -> None:
        """Record that the previous owner no longer holds a moving range."""
        self._released[r.first, r.last, r.fence] = handover

    def export_state(self) -> bytes:
        """Return the state of ongoing moves for the next coordinator."""
        doc = {
            "lapse_in": self._grant_renewer.seconds_until_expiry(),
            "own": sorted(self._term_fences),
            "let_go": [[*move, handover] for move, handover in self._released.items()],
            "tries": [[*move, fence] for move, fence in self._last_fences.items()],
        }
        return json.dumps(doc).encode()

    def import_state(self, body: bytes) -> float | None:
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
            doc = parse_json(body)
            seconds_until_expiry = float(doc["lapse_in"])
            self._term_fences.update(doc["own"])
            self._released |= {(r[0], r[1], r[2]): r[3] for r in doc["let_go"]}
            self._last_fences |= {(r[0], r[1], r[2]): r[3] for r in doc["tries"]}
        except (
            InvalidRecord,
            ValueError,
            KeyError,
            TypeError,
            IndexError,
        ) as exc:
            # Without the state, moves wait until all grants have expired.
            log.warning(
                "state of the former coordinator not imported",
                extra={"cause": str(exc)},
            )
            return None
        return seconds_until_expiry

    def may_reassign(self, r: KeyRange) -> bool:
        """Tell whether it is known which targets may hold keys that are being moved."""
        # This VM cannot know whether a move that another VM started has granted the
        # keys to the new owner. It deals with the previous owner first; then the new
        # owner is the only one that may hold them.
        started_here = r.fence in self._term_fences
        return (
            not r.previous_owner
            or started_here
            or (r.first, r.last, r.fence) in self._released
        )

    def start_move(
        self,
        r: KeyRange,
        first: int,
        last: int,
        owner: str,
        incarnation: int,
        fence: int,
    ) -> KeyRange:
        """Return part of a range as it is while it moves to a new owner.

        Parameters
        ----------
        r : KeyRange
            The range before the move.
        first, last : int
        owner : str
        incarnation : int
        fence : int
            The highest of the move.

        Returns
        -------
        KeyRange
        """
        previous_owner, previous_incarnation = r.owner, r.incarnation
        if r.previous_owner and (r.first, r.last, r.fence) not in self._released:
            previous_owner, previous_incarnation = (
                r.previous_owner,
                r.previous_incarnation,
            )
        self._term_fences.add(fence)
        return KeyRange(
            first, last, owner, incarnation, fence, previous_owner, previous_incarnation
        )

    async def revoke(self, r: KeyRange) -> str | None:
        """Return the handover once the previous owner holds no keys, else None."""
        identity = (r.previous_owner, r.previous_incarnation)
        grants = self._grant_renewer.get_grants(identity)
        if r.fence not in self._term_fences:
            return await self._wait_for_expiry(r)
        known = self._cluster_view.known.get(r.previous_owner)
        target = known.target if known is not None else None
        if target is None:
            target = self._grant_renewer.get_granted_target(identity)
        if grants.is_terminated:
            self._log_proof(r, "terminated")
            return ""
        if grants.unresponsive_since and self._have_grants_expired(r):
            self._log_proof(r, "expired")
            return ""
        if target is not None and await self._grant_renewer.is_responsive(target):
            handover = await self._release(target, grants, r)
            if handover is not None:
                return handover
        if self._have_grants_expired(r):
            self._log_proof(r, "expired")
            return ""
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return None

    def _log_proof(self, r: KeyRange, proof: str) -> None:
        """Log why a previous owner that has not released keys holds none."""
        log.info(
            "previous owner holds no keys",
            extra={
                "target": r.previous_owner,
                "first": r.first,
                "last": r.last,
                "fence": r.fence,
                "proof": proof,
            },
        )

    def _have_grants_expired(self, r: KeyRange) -> bool:
        """Tell whether all grants of moving keys by any VM have expired."""
        grants = self._grant_renewer.get_grants(
            (r.previous_owner, r.previous_incarnation)
        )
        expires_at = grants.expiry_for(r.first, r.last)
        return now() >= max(expires_at, self._election.other_grants_expire_at)

    async def _wait_for_expiry(self, r: KeyRange) -> str | None:
        """Wait out a move that another VM started, and whose state is unknown.

        Its new owner may already have been granted the keys. Granting them to the
        previous owner in order to set a fence there could then give the keys to both,
        so nothing is granted until all grants that the other VM may have made have
        expired.
        """
        if self._have_grants_expired(r):
            self._log_proof(r, "moved by another coordinator, expired")
            return ""
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return None

    async def _release(
        self, target: Target, grants: TargetGrants, r: KeyRange
    ) -> str | None:
        """Revoke keys from a target that may answer; None if it does not."""
        fence = self._next_revocation_fence(r)
        if not fence or not self._election.is_coordinator():
            return None
        try:
            # A renewal from this VM or a former coordinator may still be in transit and
            # be applied after the release; two targets would then hold the keys (for
            # 2.5 s in one case). Unlike a release, a grant sets a fence, so the target
            # then rejects the renewal.
            request = GrantRequest(
                r.first,
                r.last,
                fence,
                self._election.grant_seconds(),
                sets_fence=True,
            )
            sent = grants.record_sent(now(), request.seconds, r.first, r.last)
            try:
                await self._protocol.grant(target, request, GRANT_TIMEOUT_SECONDS)
            except NeverSent:
                grants.record_unsent(sent)
                raise
            grants.record_answer()
            handover = await self._protocol.release(
                target, r.first, r.last, fence, RELEASE_TIMEOUT_SECONDS
            )
        except CallFailed as exc:
            log.info(
                "keys not released",
                extra={"target": target.name, "first": r.first, "cause": str(exc)},
            )
            grants.record_failure(now())
            return None
        except TargetReplaced:
            # Another target has the address, so this one has terminated and holds no
            # keys. Waiting for its grants to expire would cost 3.3 s for a data
            # centre's targets that restart under other names.
            grants.record_termination(now())
            self._log_proof(r, "replaced")
            return ""
        return handover if target.incarnation == r.previous_incarnation else ""

    def _next_revocation_fence(self, r: KeyRange) -> int:
        """Return the fence for the next attempt to revoke keys; 0 if none is left."""
        move = (r.first, r.last, r.fence)
        first = r.fence - FENCES_PER_MOVE + 1
        fence = self._last_fences.get(move, first - 1) + 1
        self._last_fences[move] = fence
        return fence if fence < r.fence else 0
