"""Finds out whether a target that refuses connections has terminated.

A VM that has lost its links is refused by all targets, those that hold keys included.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.link_check import CheckResult, check_link

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.peers import PeerClient
    from berylstage_entry.targets import Target

# Path at which a VM tells whether a target refuses it.
REFUSAL_PATH = "/links/refusal"
REFUSED = b"refused"
# All of a few targets of the data centre refuse connections, and others do not.
DATA_CENTRE_REFUSED = b"data-centre-refused"
REACHED = b"reached"
UNKNOWN = b"unknown"
# Other targets of the same data centre, and of others, that are tried beside the one in
# question: some of them may have crashed with it.
MAX_NEIGHBOURS = 2
# VMs that are asked one after the other.
MAX_VMS_ASKED = 3

log = Logger(__name__)


class TerminationCheck:
    """Compares how this VM and others reach a target.

    Parameters
    ----------
    cluster_view : ClusterView
    peers : PeerClient
    rng : Random
    is_idle : callable
        Tells whether no VM has requests at a target, and has all VMs send it nothing
        for some seconds if so.
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        peers: PeerClient,
        rng: Random,
        is_idle: Callable[[Target, float], Awaitable[bool]],
    ):
        self._cluster_view = cluster_view
        self._peers = peers
        self._rng = rng
        # Called with a target that another VM reaches although this one does not.
        self.on_reached_by_other: Callable[[Target], None] = lambda target: None
        # Checks whether a target's machine accepts connections.
        self.check_link: Callable[[str], Awaitable[CheckResult]] = check_link
        self._is_idle = is_idle

    async def is_terminated(self, target: Target, grant_seconds: float) -> bool:
        """Return whether a target has certainly terminated.

        All VMs are refused by a target that leaves as by one that has terminated, so
        it must have no requests in addition.

        Parameters
        ----------
        target : Target
        grant_seconds : float
            Seconds until its grants have expired.
        """
        return await self._is_refusing_all(target) and await self._is_idle(
            target, grant_seconds
        )

    async def _is_refusing_all(self, target: Target) -> bool:
        """Return whether this VM and others agree that a target refuses connections.

        One other VM is enough if both reach a neighbour of the target. Where all
        targets of a data centre refuse connections, they have crashed together, or the
        VMs have lost their links to that data centre; then all VMs that are asked have
        to agree.
        """
        own_view = await self._compare(target)
        views: list[bytes] = []
        is_refusing = await self._agree(target, own_view, views)
        log.info(
            "target refuses connections",
            extra={
                "target": target.name,
                "own_view": own_view.decode(),
                "other_views": [view.decode() for view in views],
                "agreed": is_refusing,
            },
        )
        return is_refusing

    async def _agree(self, target: Target, own_view: bytes, views: list[bytes]) -> bool:
        """Return whether others share this VM's view; append theirs to ``views``."""
        if own_view == REACHED:
            return False
        async for view in self._ask_others(target):
            views.append(view)
            if view == REACHED:
                self.on_reached_by_other(target)
                return False
            if view == own_view == REFUSED:
                return True
        if not views and self._peers.other_addresses():
            return False
        agreeing = (REFUSED, DATA_CENTRE_REFUSED)
        return all(view in agreeing for view in [own_view, *views])

    async def _ask_others(self, target: Target) -> AsyncIterator[bytes]:
        """Yield how some other VMs reach a target."""
        addresses = self._peers.other_addresses()
        self._rng.shuffle(addresses)
        count = 0
        for address in addresses[: 2 * MAX_VMS_ASKED]:
            view = await self._peers.call(address, REFUSAL_PATH, _encode(target))
            if view:
                yield view
                count += 1
            if count == MAX_VMS_ASKED:
                return

    async def answer(self, body: bytes) -> bytes:
        """Return how this VM reaches a target that another VM asks about."""
        name, _, incarnation = body.decode().rpartition(" ")
        known = self._cluster_view.known.get(name)
        if known is None or str(known.target.incarnation) != incarnation:
            return UNKNOWN
        return await self._compare(known.target)

    async def _compare(self, target: Target) -> bytes:
        """Return how this VM reaches a target, compared with a few others."""
        near, far = self._choose_others(target)
        results = await asyncio.gather(
            *(self.check_link(each.address) for each in [target, *near, *far])
        )
        if results[0] is CheckResult.ACCEPTED:
            return REACHED
        if results[0] is CheckResult.SILENT:
            return UNKNOWN
        others = results[1:]
        if not others or CheckResult.ACCEPTED in others[: len(near)]:
            return REFUSED
        return DATA_CENTRE_REFUSED if CheckResult.ACCEPTED in others else UNKNOWN

    def _choose_others(self, target: Target) -> tuple[list[Target], list[Target]]:
        """Return a few other targets of the same data centre, and of other ones."""
        near: list[Target] = []
        far: list[Target] = []
        for known in self._cluster_view.known.values():
            other = known.target
            if other.address != target.address:
                is_near = other.data_centre == target.data_centre
                (near if is_near else far).append(other)
        return self._draw(near), self._draw(far)

    def _draw(self, targets: list[Target]) -> list[Target]:
        return self._rng.sample(targets, min(MAX_NEIGHBOURS, len(targets)))


def _encode(target: Target) -> bytes:
    return f"{target.name} {target.incarnation}".encode()
