"""Waiting until every VM has a revision in force."""

from __future__ import annotations

from asyncio import Semaphore, gather
from typing import TYPE_CHECKING

from berylstage_platform.errors import PlatformError
from berylstage_sheet.configuration import Configuration, MemberState

from berylstage_cli.vms import VmFault, VmStatus

if TYPE_CHECKING:
    from berylstage_platform.store import VmRecord

    from berylstage_cli.connections import Connections

FIRST_PAUSE = 0.1
MAX_PAUSE = 2.0
MAX_CALLS = 32


class VmState:
    """One VM and whether it has the revision in force.

    Parameters
    ----------
    name : str
    data_centre : str
    status : VmStatus or None
        None when the VM gave no usable answer.
    problem : str
        Why the VM does not count; empty when it has the revision in force.
    """

    __slots__ = ("name", "data_centre", "status", "problem")

    def __init__(
        self, name: str, data_centre: str, status: VmStatus | None, problem: str = ""
    ):
        self.name = name
        self.data_centre = data_centre
        self.status = status
        self.problem = problem


class Rollout:
    """How far a revision has got.

    Parameters
    ----------
    revision : int
    vms : list of VmState
        Each VM of the platform's list.
    unlisted : list of str
        VMs that are active in the sheet but not in the platform's list. They are
        told to the operator and not waited for: a VM that the platform has taken
        away does no work.
    problem : str
        Why the platform's list could not be read; empty when it was.
    """

    __slots__ = ("revision", "vms", "unlisted", "problem")

    def __init__(
        self,
        revision: int,
        vms: list[VmState],
        unlisted: list[str],
        problem: str = "",
    ):
        self.revision = revision
        self.vms = vms
        self.unlisted = unlisted
        self.problem = problem

    @property
    def missing(self) -> list[VmState]:
        """The VMs that do not have the revision in force."""
        return [vm for vm in self.vms if vm.problem]

    @property
    def in_force(self) -> list[str]:
        """Names of the VMs that have the revision in force."""
        return [vm.name for vm in self.vms if not vm.problem]

    @property
    def complete(self) -> bool:
        """Whether the revision is in force on every VM, and on one at least."""
        return bool(self.in_force) and not self.missing and not self.problem


async def look(
    conns: Connections, cfg: Configuration, before: Rollout | None = None
) -> Rollout:
    """Ask every VM once.

    Parameters
    ----------
    conns : Connections
    cfg : Configuration
        The accepted configuration.
    before : Rollout, optional
        Who had the revision in force already. These VMs are not asked again, as
        none goes back; with thousands of VMs, a few late ones would otherwise
        cost thousands of calls each time.

    Returns
    -------
    Rollout
    """
    try:
        records = await conns.vm_list.vms()
    except PlatformError as exc:
        return Rollout(
            cfg.revision, [], [], f"the list of VMs could not be read: {exc}"
        )
    limit = Semaphore(MAX_CALLS)
    listed = {record.name for record in records}
    done = {vm.name: vm for vm in before.vms if not vm.problem} if before else {}
    asked = [record for record in records if record.name not in done]
    found = await gather(*(_ask(conns, limit, r, cfg.revision) for r in asked))
    vms = [vm for name, vm in done.items() if name in listed]
    vms += [vm for vm in found if vm is not None]
    unlisted = [
        vm.name
        for vm in cfg.vms.values()
        if vm.state is MemberState.ACTIVE and vm.name not in listed
    ]
    return Rollout(cfg.revision, sorted(vms, key=lambda vm: vm.name), sorted(unlisted))


async def wait_in_force(
    conns: Connections, cfg: Configuration, timeout: float
) -> Rollout:
    """Ask the VMs until all have a revision in force or the time is up.

    Parameters
    ----------
    conns : Connections
    cfg : Configuration
        The accepted configuration.
    timeout : float
        Seconds to wait.

    Returns
    -------
    Rollout
        As it was when last asked.
    """
    end = conns.clock() + timeout
    pause = FIRST_PAUSE
    rollout = None
    while True:
        rollout = await look(conns, cfg, rollout)
        left = end - conns.clock()
        if rollout.complete or left <= 0:
            return rollout
        await conns.sleep(min(pause, left))
        pause = min(pause * 2, MAX_PAUSE)


async def _ask(
    conns: Connections, limit: Semaphore, record: VmRecord, revision: int
) -> VmState | None:
    """Ask one VM; None when it has left."""
    try:
        async with limit:
            status = await conns.vms.status(record)
    except VmFault as exc:
        if record.leaving:
            return None
        return VmState(record.name, record.data_centre, None, str(exc))
    return VmState(
        record.name, record.data_centre, status, _problem(record, status, revision)
    )


def _problem(record: VmRecord, status: VmStatus, revision: int) -> str:
    """Return why an answer does not show a revision in force; empty when it does."""
    if status.vm != record.name:
        # The platform's list lags: another VM may have got the address since. Its
        # answer would pass for that of a VM which nobody asked.
        return f"{status.vm} answers at its address {record.http_address}"
    if status.configuration_revision < revision:
        return f"revision {status.configuration_revision} is in force"
    return ""
