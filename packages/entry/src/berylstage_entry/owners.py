"""Resolves the owner of a request's key, and waits for a short time while it moves.

A crashed owner resets each connection within a millisecond, and a new owner may reject
requests until its grant arrives. Without a delay, one request would open hundreds of
connections, or use all its attempts within a few milliseconds of a move that takes a
tenth of a second.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_entry.clock import now
from berylstage_entry.errors import NoOwner
from berylstage_entry.store_access.call_counts import CallCause

if TYPE_CHECKING:
    from berylstage_entry.assignment import KeyRange
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.store_watcher import StoreWatcher

# Interval at which the new owner of a moving key is looked up. A move takes as long as
# the requests in progress on the keys, a few hundred milliseconds.
MOVE_POLL_SECONDS = 0.05
# Bounds of the delay after which an owner that rejected a request is asked again under
# the same assignment. A grant reaches its target within 10 ms, and a crashed target is
# detected by the next grant request to it, at most 0.8 s later.
INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.2
# Time of waiting after which the store is read early. VMs publish an assignment to each
# other within a few milliseconds, so this VM has missed the publication by then.
REFRESH_AFTER_SECONDS = 0.15
# Time for which a request that waits for keys known to be on the move causes no read.
# Nine in ten moves take less than 0.5 s.
MAX_MOVE_SECONDS = 1.0
# Moves whose start is remembered: a hundred keys of a hundred targets move at most.
MAX_MOVES = 1000
# Share of the route's timeout, or of the request's remaining time if that is less, for
# which a request may wait for an owner. Without the second limit, a retried request
# would be refused immediately again, although most moves end within a few times
# MOVE_POLL_SECONDS. The rest is for the request itself, which takes less than half of
# the timeout on all current routes.
OWNER_WAIT_SHARE = 0.5


class OwnerResolver:
    """Resolves the owners of keys for the requests of one VM.

    Parameters
    ----------
    store_watcher : StoreWatcher
    cluster_view : ClusterView
    """

    def __init__(self, store_watcher: StoreWatcher, cluster_view: ClusterView):
        self._store_watcher = store_watcher
        self._cluster_view = cluster_view
        # When a request was first found waiting for a move, by service and fence.
        self._moves: dict[tuple[str, int], float] = {}

    async def find(self, ctx: RequestContext) -> str:
        """Return the target that should receive a request with a key.

        Parameters
        ----------
        ctx : RequestContext

        Returns
        -------
        str

        Raises
        ------
        NoOwner
            No usable owner was found in time.
        """
        started_at = now()
        retry_at = started_at + ctx.retry_delay
        min_left = OWNER_WAIT_SHARE * min(
            ctx.route.timeout, ctx.seconds_left(started_at)
        )
        while True:
            key_range = self._find_range(ctx)
            if key_range is not None and self._is_usable_owner(key_range):
                revision = self._revision(ctx)
                if ctx.rejected_by != (key_range.owner, revision) or now() >= retry_at:
                    return key_range.owner
            if ctx.seconds_left(now()) < min_left:
                raise NoOwner(self._describe(ctx, key_range))
            if now() - started_at >= REFRESH_AFTER_SECONDS and not self._is_recent_move(
                ctx.service.name, key_range
            ):
                self._store_watcher.request_refresh(CallCause.WAIT_FOR_OWNER)
            await asyncio.sleep(MOVE_POLL_SECONDS)

    def is_owner(self, ctx: RequestContext, name: str) -> bool:
        """Tell whether a target is still the owner of a request's key."""
        key_range = self._find_range(ctx)
        return (
            key_range is not None
            and key_range.owner == name
            and self._is_usable_owner(key_range)
        )

    def turned_away(self, ctx: RequestContext, name: str) -> None:
        """Record that an owner rejected a request, and increase its retry delay."""
        ctx.rejected_by = (name, self._revision(ctx))
        ctx.retry_delay = min(
            max(INITIAL_RETRY_DELAY_SECONDS, 2 * ctx.retry_delay),
            MAX_RETRY_DELAY_SECONDS,
        )

    def _find_range(self, ctx: RequestContext) -> KeyRange | None:
        assignment = self._store_watcher.assignments.get(ctx.service.name)
        assert ctx.req.key is not None
        return assignment.find(ctx.req.key) if assignment else None

    def _is_recent_move(self, service: str, key_range: KeyRange | None) -> bool:
        """Tell whether this VM knows that the keys move, and for a short time only.

        The end of a move is published within milliseconds, and once more with the next
        delta. A read by each VM that has a request waiting tells nothing earlier.
        """
        if key_range is None or not key_range.previous_owner:
            return False
        moment = now()
        move = service, key_range.fence
        since = self._moves.setdefault(move, moment)
        if len(self._moves) > MAX_MOVES:
            del self._moves[next(iter(self._moves))]
        return moment - since < MAX_MOVE_SECONDS

    def _revision(self, ctx: RequestContext) -> int:
        return self._store_watcher.assignment_revisions.get(ctx.service.name, 0)

    def _is_usable_owner(self, key_range: KeyRange) -> bool:
        return (
            bool(key_range.owner)
            and not key_range.previous_owner
            and self._cluster_view.is_usable(key_range.owner)
        )

    def _describe(self, ctx: RequestContext, key_range: KeyRange | None) -> str:
        range_text = (
            f"owner {key_range.owner} former {key_range.previous_owner}"
            if key_range is not None
            else ""
        )
        return f"key {ctx.req.key} {range_text} assignment {self._revision(ctx)}"
