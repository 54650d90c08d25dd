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
    from berylstage_entry.directory import Directory
    from berylstage_entry.feed import Feed
    from berylstage_entry.journey import Journey

# Seconds between two looks for the new owner of keys on the move. A move takes as long
# as the work under way on the keys, a few hundred milliseconds.
MOVE_POLL_SECONDS = 0.05
# Seconds after which an owner that did not take a request is asked again under the same
# assignment, at first and at most: a grant is at its target within 10 ms, and a target
# that has crashed is found out by the next order to it, 0.8 s later at most.
INITIAL_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.2
# Seconds of waiting after which the store is read ahead of time. An assignment is told
# from VM to VM within a few milliseconds, so by then this VM has been left out.
REFRESH_AFTER_SECONDS = 0.15
# Share of its route's time limit that a request may wait for an owner, or of its own
# time where it has less: one that came back after a refusal would be turned away at
# once again, though most moves end within a few times MOVE_WAIT. The rest is for the
# work, which takes less than half of the limit on all routes of today.
WAIT_SHARE = 0.5


class OwnerResolver:
    """Finds the owners of keys for the requests of one VM.

    Parameters
    ----------
    feed : Feed
    directory : Directory
    """

    def __init__(self, feed: Feed, directory: Directory):
        self._feed = feed
        self._directory = directory

    async def find(self, journey: Journey) -> str:
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
        retry_at = began + journey.pause
        min_left = WAIT_SHARE * min(journey.route.timeout, journey.left(began))
        while True:
            key_range = self._find_range(journey)
            if key_range is not None and self._is_usable_owner(key_range):
                revision = self._revision(journey)
                if (
                    journey.turned_away != (key_range.owner, revision)
                    or now() >= retry_at
                ):
                    return key_range.owner
            if journey.left(now()) < min_left:
                raise NoOwner(self._describe(journey, key_range))
            if now() - began >= REFRESH_AFTER_SECONDS:
                self._feed.hurry()
            await asyncio.sleep(MOVE_POLL_SECONDS)

    def is_owner(self, journey: Journey, name: str) -> bool:
        """Tell whether a target still holds the key of a request."""
        key_range = self._find_range(journey)
        return (
            key_range is not None
            and key_range.owner == name
            and self._is_usable_owner(key_range)
        )

    def turned_away(self, journey: Journey, name: str) -> None:
        """Note that an owner did not take a request, so that it is given a pause."""
        journey.turned_away = (name, self._revision(journey))
        journey.pause = min(
            max(INITIAL_RETRY_DELAY_SECONDS, 2 * journey.pause), MAX_RETRY_DELAY_SECONDS
        )

    def _find_range(self, journey: Journey) -> KeyRange | None:
        assignment = self._feed.assignments.get(journey.service.name)
        assert journey.req.key is not None
        return assignment.find(journey.req.key) if assignment else None

    def _revision(self, journey: Journey) -> int:
        return self._feed.revisions.get(journey.service.name, 0)

    def _is_usable_owner(self, key_range: KeyRange) -> bool:
        return (
            bool(key_range.owner)
            and not key_range.former
            and self._directory.may_use(key_range.owner)
        )

    def _describe(self, journey: Journey, key_range: KeyRange | None) -> str:
        held = (
            f"owner {key_range.owner} former {key_range.former}"
            if key_range is not None
            else ""
        )
        return f"key {journey.req.key} {held} assignment {self._revision(journey)}"
