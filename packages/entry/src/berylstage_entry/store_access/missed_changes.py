"""VMs that have missed published changes ask the publisher for them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.peer_updates import MAX_PUSHED_VALUE_BYTES
from berylstage_entry.responses import Response
from berylstage_entry.store_delta import MAX_INLINE_VALUE_BYTES, StoreDelta

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.peers import PeerClient
    from berylstage_entry.store_watcher import StoreWatcher

# Path at which the publisher returns the changes since a revision.
CHANGES_PATH = "/changes"
# Limit for the answer. With the normal read interval of 1.2 s, it leaves 0.6 s of the
# two seconds within which a change must be in force.
ANSWER_TIMEOUT_SECONDS = 0.2
# Encoded answers that are kept. After a partition, most VMs ask from one revision.
MAX_KEPT_ANSWERS = 8

_STATUS_OK = 200
_STATUS_INVALID = 400
_STATUS_TOO_OLD = 410
_STATUS_NOT_PUBLISHER = 503

log = Logger(__name__)


class ChangeServer:
    """Answers with the changes since a revision while this VM publishes.

    Parameters
    ----------
    store_watcher : StoreWatcher
    """

    def __init__(self, store_watcher: StoreWatcher):
        self._store_watcher = store_watcher
        # Encoded answers by first revision, last revision and view time.
        self._answers: dict[tuple[int, int, float], bytes] = {}

    def handle(self, body: bytes) -> Response:
        """Return the merged changes since the revision in the body.

        A VM that no longer publishes refuses, because it may lack changes that its
        successor has published. The asking VM reads the store then.
        """
        try:
            revision = int(body)
        except ValueError:
            return Response(_STATUS_INVALID)
        if not self._store_watcher.is_publishing():
            return Response(_STATUS_NOT_PUBLISHER)
        delta = self._store_watcher.changes_since(revision)
        if delta is None:
            return Response(_STATUS_TOO_OLD)
        last = max([delta.revision, *(item.revision for item in delta.items)])
        key = (revision, last, self._store_watcher.view_time)
        answer = self._answers.get(key)
        if answer is None:
            _list_too_large_items(delta)
            answer = delta.encode_any_size()
            if len(self._answers) >= MAX_KEPT_ANSWERS:
                del self._answers[next(iter(self._answers))]
            self._answers[key] = answer
        return Response(_STATUS_OK, body=answer)


def _list_too_large_items(delta: StoreDelta) -> None:
    """List values by revision that are too large to be pushed."""
    items = []
    for item in delta.items:
        value = item.value
        if (
            value is not None
            and len(value) > MAX_INLINE_VALUE_BYTES
            and len(zlib.compress(value)) > MAX_PUSHED_VALUE_BYTES
        ):
            delta.large_revisions[item.key] = item.revision
        else:
            items.append(item)
    delta.items = items


class ChangeClient:
    """Asks the publisher for changes.

    Parameters
    ----------
    peers : PeerClient
    publisher_address : callable
        Returns the control address of the publisher, or "" if it is unknown.
    count : callable, optional
        Called with the name of a counter to increment.
    """

    def __init__(
        self,
        peers: PeerClient,
        publisher_address: Callable[[], str],
        count: Callable[[str], None] = lambda name: None,
    ):
        self._count = count
        self._peers = peers
        self._publisher_address = publisher_address

    async def ask(self, revision: int) -> StoreDelta | None:
        """Return the changes since a revision, or None if there is no usable answer.

        The age of the answer counts from the question, so that a delayed answer is not
        taken for a recent one.
        """
        address = self._publisher_address()
        if not address:
            return None
        asked_at = now()
        body = await self._peers.call(
            address, CHANGES_PATH, str(revision).encode(), ANSWER_TIMEOUT_SECONDS
        )
        self._count("changes_answered" if body is not None else "changes_not_answered")
        if body is None:
            log.info(
                "missed changes not answered; reading the store",
                extra={"publisher": address, "revision": revision},
            )
            return None
        try:
            delta = StoreDelta.decode(body)
        except InvalidRecord as exc:
            log.warning("invalid changes ignored", extra={"cause": str(exc)})
            return None
        delta.age += now() - asked_at
        return delta
