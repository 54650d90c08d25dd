"""Finds the owner of a request's key, and waits a moment while the key moves.

The load it answers: an owner that has crashed resets each connection within a
millisecond, and one that has just been given a key may turn requests away until its
grant is there. Without a pause one request opens hundreds of connections, or uses up
its attempts within a few milliseconds of a move that takes a tenth of a second.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_entry.clock import now
from berylstage_entry.errors import NoOwner

if TYPE_CHECKING:
    from berylstage_entry.assignment import KeyRange
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.store_watcher import StoreWatcher

# Seconds between two looks for the new owner of keys on the move. A move takes as long
# as the work under way on the keys, a few hundred milliseconds.
MOVE_WAIT = 0.05
# Seconds after which an owner that did not take a request is asked again under the same
# assignment, at first and at most: a grant is at its target within 10 ms, and a target
# that has crashed is found out by the next order to it, 0.8 s later at most.
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 0.2
# Seconds of waiting after which the store is read ahead of time. An assignment is told
# from VM to VM within a few milliseconds, so by then this VM has been left out.
HURRY_AFTER = 0.15
# Share of its route's time limit that a request may wait for an owner, or of its own
# time where it has less: one that came back after a refusal would be turned away at
# once again, though most moves end within a few times MOVE_WAIT. The rest is for the
# work, which takes less than half of the limit on all routes of today.
WAIT_SHARE = 0.5


class Owners:
    """Finds the owners of keys for the requests of one VM.

    Parameters
    ----------
    feed : Feed
    directory : Directory
    """

    def __init__(self, feed: StoreWatcher, directory: ClusterView):
        self._feed = feed
        self._directory = directory

    async def find(self, journey: RequestContext) -> str:
        """Return the target that is to get a request with a key.

        Parameters
        ----------
        journey : Journey

        Returns
        -------
        str

        Raises
        ------
        NoOwner
            None was known in time.
        """
        began = now()
        again_at = began + journey.pause
        least = WAIT_SHARE * min(journey.route.timeout, journey.left(began))
        while True:
            r = self._range(journey)
            if r is not None and self._may_ask(r):
                revision = self._revision(journey)
                if journey.turned_away != (r.owner, revision) or now() >= again_at:
                    return r.owner
            if journey.left(now()) < least:
                raise NoOwner(self._describe(journey, r))
            if now() - began >= HURRY_AFTER:
                self._feed.hurry()
            await asyncio.sleep(MOVE_WAIT)

    def holds(self, journey: RequestContext, name: str) -> bool:
        """Tell whether a target still holds the key of a request."""
        r = self._range(journey)
        return r is not None and r.owner == name and self._may_ask(r)

    def turned_away(self, journey: RequestContext, name: str) -> None:
        """Note that an owner did not take a request, so that it is given a pause."""
        journey.turned_away = (name, self._revision(journey))
        journey.pause = min(max(FIRST_PAUSE, 2 * journey.pause), LONGEST_PAUSE)

    def _range(self, journey: RequestContext) -> KeyRange | None:
        assignment = self._feed.assignments.get(journey.service.name)
        assert journey.req.key is not None
        return assignment.find(journey.req.key) if assignment else None

    def _revision(self, journey: RequestContext) -> int:
        return self._feed.revisions.get(journey.service.name, 0)

    def _may_ask(self, r: KeyRange) -> bool:
        return bool(r.owner) and not r.former and self._directory.may_use(r.owner)

    def _describe(self, journey: RequestContext, r: KeyRange | None) -> str:
        held = f"owner {r.owner} former {r.former}" if r is not None else ""
        return f"key {journey.req.key} {held} assignment {self._revision(journey)}"
