"""The grants that a target holds: fence tokens with an end by its own clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_targets.target import GrantRequest

if TYPE_CHECKING:
    from collections.abc import Callable


class GrantTable:
    """The newest grant, and whether work falls under it.

    Parameters
    ----------
    clock_ms : callable
        The target's clock in whole milliseconds; it starts above 0, since an anchor
        of 0 means that the VM knows none.
    incarnation : callable
        Name of the current run of the target.
    """

    def __init__(
        self, clock_ms: Callable[[], int], incarnation: Callable[[], str]
    ) -> None:
        self._clock_ms = clock_ms
        self._incarnation = incarnation
        self.vm = ""
        self.epoch = 0
        self.version = 0
        self.shards: dict[str, int] = {}
        self.expires_ms = 0

    def accept(self, order: GrantRequest) -> str:
        """Take a grant order.

        Parameters
        ----------
        order : GrantOrder

        Returns
        -------
        str
            Empty when the order is in force, else the reason of the refusal:
            ``epoch`` for an older epoch or version, ``anchor`` when the anchor is not
            a reading of this run's clock or the order has already ended.
        """
        if (order.epoch, order.version) < (self.epoch, self.version):
            return "epoch"
        # An anchor of another run, or of no run, says nothing about this clock: a
        # delayed order could come into force long after its sender lost its lease.
        if not order.anchor or order.incarnation != self._incarnation():
            return "anchor"
        now = self._clock_ms()
        expires = order.anchor + order.lifetime_ms
        if order.anchor > now or expires <= now:
            return "anchor"
        renewed = (order.epoch, order.version) == (self.epoch, self.version)
        self.expires_ms = max(expires, self.expires_ms) if renewed else expires
        self.vm = order.vm
        self.epoch = order.epoch
        self.version = order.version
        self.shards = dict(order.shards)
        return ""

    def covers(self, shard: str, fence: int, epoch: int) -> bool:
        """Tell whether work is under a grant in force.

        Parameters
        ----------
        shard : str
            ``service/number``; empty where keys are not owned, so that only the lead
            of the VM is checked.
        fence : int
        epoch : int

        Returns
        -------
        bool
        """
        if self._clock_ms() >= self.expires_ms or epoch != self.epoch:
            return False
        return not shard or self.shards.get(shard) == fence

    def clear(self) -> None:
        """Forget everything, as a restarted process does."""
        self.epoch = 0
        self.version = 0
        self.shards = {}
        self.expires_ms = 0
