"""Finds out whether a target that refuses connections has terminated.

A VM that has lost its links is refused by all targets, those that hold keys included.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_entry.link_check import CheckResult, check_link

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.peers import PeerClient
    from berylstage_entry.targets import Target

# Path at which a VM tells whether a target refuses it.
REFUSAL_PATH = "/links/refusal"
REFUSED = b"refused"
REACHED = b"reached"
UNKNOWN = b"unknown"
# Other targets that are tried beside the one in question: some of them may have crashed
# with it.
MAX_NEIGHBOURS = 3
# VMs that are asked one after the other until one can tell.
MAX_VMS_ASKED = 3


class TerminationCheck:
    """Compares how this VM and others reach a target.

    Parameters
    ----------
    cluster_view : ClusterView
    peers : PeerClient
    rng : Random
    """

    def __init__(self, cluster_view: ClusterView, peers: PeerClient, rng: Random):
        self._cluster_view = cluster_view
        self._peers = peers
        self._rng = rng
        # Called with a target that another VM reaches although this one does not.
        self.on_reached_by_other: Callable[[Target], None] = lambda target: None
        # Checks whether a target's machine accepts connections.
        self.check_link: Callable[[str], Awaitable[CheckResult]] = check_link

    async def is_terminated(self, target: Target) -> bool:
        """Return whether this VM and another one agree that a target has terminated."""
        own_view = await self._compare(target)
        if own_view == REACHED:
            return False
        addresses = self._peers.other_addresses()
        self._rng.shuffle(addresses)
        for address in addresses[:MAX_VMS_ASKED]:
            answer = await self._peers.call(address, REFUSAL_PATH, _encode(target))
            if answer == REACHED:
                self.on_reached_by_other(target)
                return False
            if answer == REFUSED:
                return own_view == REFUSED
        return own_view == REFUSED and not addresses

    async def answer(self, body: bytes) -> bytes:
        """Return how this VM reaches a target that another VM asks about."""
        name, _, incarnation = body.decode().rpartition(" ")
        known = self._cluster_view.known.get(name)
        if known is None or str(known.target.incarnation) != incarnation:
            return UNKNOWN
        return await self._compare(known.target)

    async def _compare(self, target: Target) -> bytes:
        """Return whether a target refuses this VM while a neighbour of it does not.

        Nothing is known if all neighbours refuse it as well, or the target is silent.
        """
        neighbours = self._choose_neighbours(target)
        result, *controls = await asyncio.gather(
            *(self.check_link(each.address) for each in [target, *neighbours])
        )
        is_linked = not neighbours or CheckResult.ACCEPTED in controls
        if result is CheckResult.ACCEPTED:
            return REACHED
        is_refused = result is CheckResult.REFUSED and is_linked
        return REFUSED if is_refused else UNKNOWN

    def _choose_neighbours(self, target: Target) -> list[Target]:
        """Return a few other targets, of the same data centre if there are any."""
        others = [
            known.target
            for known in self._cluster_view.known.values()
            if known.target.address != target.address
        ]
        near = [other for other in others if other.data_centre == target.data_centre]
        choices = near or others
        return self._rng.sample(choices, min(MAX_NEIGHBOURS, len(choices)))


def _encode(target: Target) -> bytes:
    return f"{target.name} {target.incarnation}".encode()
