"""What the command line asks VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_platform.store import VmRecord


class VmFault(Exception):
    """A VM gave no answer, or one that cannot be used."""


class UnknownKey(VmFault):
    """A VM answered that it knows no such service, or no owner of the key."""


class VmStatus:
    """What a VM says of itself.

    Parameters
    ----------
    vm : str
    data_centre : str
    configuration_revision : int
        Revision of the configuration in force there; 0 when it has none.
    assignment_revision : int
    ready : bool
        Whether the VM takes requests from callers.
    lease_until_ms : int or None
        Time left of its lease, in milliseconds; 0 or None when it holds none.
    targets : int
        Number of targets that it leads.
    """

    __slots__ = (
        "vm",
        "data_centre",
        "configuration_revision",
        "assignment_revision",
        "ready",
        "lease_until_ms",
        "targets",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        configuration_revision: int,
        assignment_revision: int = 0,
        ready: bool = False,
        lease_until_ms: int | None = None,
        targets: int = 0,
    ):
        self.vm = vm
        self.data_centre = data_centre
        self.configuration_revision = configuration_revision
        self.assignment_revision = assignment_revision
        self.ready = ready
        self.lease_until_ms = lease_until_ms
        self.targets = targets


class KeyOwner:
    """Who answers for a key, as one VM sees it.

    Parameters
    ----------
    service, key : str
    shard : str
    target : str or None
        None when no target holds the shard now, or any target may answer.
    vm : str or None
        VM that leads the target.
    fence : int or None
        Fence token of the shard.
    told_by : str
        VM that gave the answer.
    """

    __slots__ = ("service", "key", "shard", "target", "vm", "fence", "told_by")

    def __init__(
        self,
        service: str,
        key: str,
        shard: str,
        target: str | None,
        vm: str | None,
        fence: int | None,
        told_by: str = "",
    ):
        self.service = service
        self.key = key
        self.shard = shard
        self.target = target
        self.vm = vm
        self.fence = fence
        self.told_by = told_by


class VmClient(ABC):
    """Asks VMs; every method raises :class:`VmFault`."""

    @abstractmethod
    async def status(self, record: VmRecord) -> VmStatus:
        """Return what a VM says of itself."""

    @abstractmethod
    async def owner(self, record: VmRecord, service: str, key: str) -> KeyOwner:
        """Return who answers for a key.

        Raises
        ------
        UnknownKey
            The VM knows no such service, or no owner of the key.
        """

    async def close(self) -> None:
        """Let go of connections."""
