"""What the commands are connected to."""

from __future__ import annotations

from asyncio import sleep as asyncio_sleep
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

from berylstage_platform.http import HttpStore, HttpVmList

from berylstage_cli.http import HttpVmClient
from berylstage_cli.settings import Settings

if TYPE_CHECKING:
    from berylstage_platform.store import Store, VmList

    from berylstage_cli.retries import Sleep
    from berylstage_cli.vms import VmClient


class Connections:
    """The store, the platform's list of VMs, and the VMs.

    Parameters
    ----------
    store : Store
    vm_list : VmList
    vms : VmClient
    sleep : callable, optional
        Waits for some seconds.
    clock : callable, optional
        Monotonic time in seconds.
    """

    __slots__ = ("store", "vm_list", "vms", "sleep", "clock")

    def __init__(
        self,
        store: Store,
        vm_list: VmList,
        vms: VmClient,
        sleep: Sleep = asyncio_sleep,
        clock: Callable[[], float] = monotonic,
    ):
        self.store = store
        self.vm_list = vm_list
        self.vms = vms
        self.sleep = sleep
        self.clock = clock

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
    return Connections(
        HttpStore(cfg.platform, cfg.store_timeout),
        HttpVmList(cfg.platform, cfg.store_timeout),
        HttpVmClient(cfg.vm_timeout),
    )
