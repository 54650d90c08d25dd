"""What the commands are connected to."""

from __future__ import annotations

from collections.abc import Callable

from berylstage_platform.store import Store, VmList

from berylstage_cli.http import HttpVmClient
from berylstage_cli.settings import Settings
from berylstage_cli.vms import VmClient


class Connections:
    """The store, the platform's list of VMs, and the VMs.

    Parameters
    ----------
    store : Store
    vm_list : VmList
    vms : VmClient
    """

    __slots__ = ("store", "vm_list", "vms")

    def __init__(self, store: Store, vm_list: VmList, vms: VmClient):
        self.store = store
        self.vm_list = vm_list
        self.vms = vms

    async def close(self) -> None:
        """Let go of all connections."""
        await self.store.close()
        await self.vms.close()


Connector = Callable[[Settings], Connections]


def connect_http(cfg: Settings) -> Connections:
    """Return connections over HTTP.

    Parameters
    ----------
    cfg : Settings

    Returns
    -------
    Connections
        Nothing is sent before the first call.
    """
    from berylstage_platform.http import HttpStore, HttpVmList

    return Connections(
        HttpStore(cfg.platform, cfg.store_timeout),
        HttpVmList(cfg.platform, cfg.store_timeout),
        HttpVmClient(cfg.vm_timeout),
    )
