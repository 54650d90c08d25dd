"""UDP messages between the VMs, any of which may be lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.membership import Membership

log = Logger(__name__)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends datagrams, and dispatches received ones to their handlers.

    Parameters
    ----------
    membership : Membership
    host : str
        Host address of this VM.
    port : int
        Port that all VMs use.
    """

    def __init__(self, membership: Membership, host: str, port: int):
        self._membership = membership
        self._host = host
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task | None = None
        # Handlers by first byte; they get the datagram and the sender's host.
        # Returns the hosts of VMs that are sent to although they have no record.
        self.subscriber_hosts: Callable[[], set[str]] = set
        self.handlers: dict[int, Callable[[bytes, str], None]] = {}

    def start(self) -> None:
        """Open the socket."""
        self._task = asyncio.create_task(self._open())

    def close(self) -> None:
        """Close the socket; datagrams sent after that are dropped."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Dispatch a datagram to its handler."""
        taker = self.handlers.get(data[0]) if data else None
        if taker is None:
            log.info(
                "datagram of unknown type ignored",
                extra={"from": addr, "bytes": len(data)},
            )
            return
        taker(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable VM: it will come up, or its record will expire."""
        log.debug("datagram not delivered", extra={"cause": str(exc)})

    def send(self, data: bytes, same_data_centre: bool = False) -> None:
        """Send a datagram to all other VMs.

        Parameters
        ----------
        data : bytes
        same_data_centre : bool
            Whether to send it within this data centre only.
        """
        members = self._membership.members()
        home = {m.data_centre for m in members if m.host == self._host}
        hosts = {
            m.host for m in members if not same_data_centre or m.data_centre in home
        }
        if not same_data_centre:
            hosts |= self.subscriber_hosts()
        for host in hosts - {self._host}:
            self.send_to(host, data)

    def send_to(self, host: str, data: bytes) -> None:
        """Send a datagram to one VM."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(data, (host, self._port))

    def deliver(self, host: str, data: bytes) -> None:
        """Send a datagram to one VM, or handle it at once if that is this one."""
        if host == self._host:
            self.datagram_received(data, (host, self._port))
        else:
            self.send_to(host, data)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )
