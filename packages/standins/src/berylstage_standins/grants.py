"""Grants of a target: fence tokens that expire by the target's own clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_targets.target import GrantRequest

if TYPE_CHECKING:
    from collections.abc import Callable


class GrantTable:
    """Newest grant of a target, against which work is checked.

    Parameters
    ----------
    clock_ms : callable
        Returns the target's clock in whole milliseconds. It starts above 0, since an
        anchor of 0 means that the VM knows no clock reading.
    incarnation : callable
        Returns the name of the target's current incarnation.
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

    def accept(self, request: GrantRequest) -> str:
        """Accept or refuse a grant request.

        Parameters
        ----------
        request : GrantRequest

        Returns
        -------
        str
            Empty if the grant is in force, else the reason for the refusal: ``epoch``
            for an older epoch or version, ``anchor`` when the anchor is not a reading
            of this incarnation's clock or the grant has already expired.
        """
        if (request.epoch, request.version) < (self.epoch, self.version):
            return "epoch"
        # An anchor of another incarnation is unrelated to this clock, as is a missing
        # one: a delayed request could take effect long after its sender lost its lease.
        if not request.anchor or request.incarnation != self._incarnation():
            return "anchor"
        now = self._clock_ms()
        expires = request.anchor + request.lifetime_ms
        if request.anchor > now or expires <= now:
            return "anchor"
        renewed = (request.epoch, request.version) == (self.epoch, self.version)
        self.expires_ms = max(expires, self.expires_ms) if renewed else expires
        self.vm = request.vm
        self.epoch = request.epoch
        self.version = request.version
        self.shards = dict(request.shards)
        return ""

    def covers(self, shard: str, fence: int, epoch: int) -> bool:
        """Return whether work is covered by a grant in force.

        Parameters
        ----------
        shard : str
            ``service/number``; empty for services without key ownership, where only
            the epoch of the coordinator is checked.
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
        """Remove the grant, as a process restart does."""
        self.epoch = 0
        self.version = 0
        self.shards = {}
        self.expires_ms = 0
