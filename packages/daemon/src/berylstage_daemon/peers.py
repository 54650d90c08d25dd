"""Connections to the other VMs."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from berylstage_messages.peer_grpc import PeerStub
from berylstage_messages.peer_pb2 import ControlFrame
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from logbook import Logger

from berylstage_daemon.errors import DaemonError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_messages.peer_pb2 import ForwardAnswer, ForwardRequest

log = Logger("peers")

# A new connection takes about 1 ms within a region; a tenth of a second tells a dead
# address from a busy one and still leaves time for another VM.
CONNECT_TIMEOUT = 0.1
# While a call is open, HTTP/2 pings show that the connection still works: a request on
# a silent one would otherwise wait for its whole deadline. A ping a second costs less
# than the call; two seconds without its answer are twice the lease time, after which
# the peer leads nothing any more.
KEEPALIVE = Configuration(
    _keepalive_time=1.0,
    _keepalive_timeout=2.0,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=0.5,
)
# Two lost exchanges in a row condemn a connection: one may be a pause of the peer.
LOST_LIMIT = 2
CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
)


class PeerNotReached(DaemonError):
    """The peer could not be connected to: nothing was sent."""


class PeerLost(DaemonError):
    """The request was sent to the peer and no answer came."""


class Connection:
    """One channel to a peer and the calls on it.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.channel = Channel(host.strip("[]"), int(port), config=KEEPALIVE)
        self._calls = 0
        self._retired = False

    @contextmanager
    def call(self) -> Iterator[PeerStub]:
        """Count a call, so that the channel outlives it."""
        self._calls += 1
        try:
            yield PeerStub(self.channel)
        finally:
            self._calls -= 1
            self._close_if_idle()

    def retire(self) -> None:
        """Close the channel once the calls on it, which all have a deadline, ended."""
        self._retired = True
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        """Close the channel if nobody needs it any more."""
        if self._retired and not self._calls:
            self.channel.close()


class PeerLink:
    """The way to one peer: a connection that is replaced when it is lost.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    """

    def __init__(self, address: str):
        self.address = address
        self._connection = Connection(address)
        self._lost = 0

    async def exchange(
        self,
        sender: str,
        envelope: bytes,
        timeout: float,
    ) -> bytes | None:
        """Send a control message and return the reply.

        Parameters
        ----------
        sender : str
            Name of this VM.
        envelope : bytes
        timeout : float
            Seconds.

        Returns
        -------
        bytes or None
            None when no reply came.
        """
        frame = ControlFrame(sender=sender, envelope=envelope)
        connection = self._connection
        try:
            with connection.call() as stub:
                async with asyncio.timeout(timeout):
                    reply = await stub.Exchange(frame)
        except CALL_ERRORS:
            self._count_loss(connection)
            return None
        self._lost = 0
        return reply.envelope

    async def forward(self, message: ForwardRequest, timeout: float) -> ForwardAnswer:
        """Pass a request to the VM that leads its target.

        Parameters
        ----------
        message : ForwardRequest
        timeout : float
            Seconds.

        Returns
        -------
        ForwardAnswer

        Raises
        ------
        PeerNotReached
            Nothing was sent.
        PeerLost
            The request may have run.
        """
        connection = self._connection
        with connection.call() as stub:
            try:
                async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT)):
                    await connection.channel.__connect__()
            except (OSError, TimeoutError) as exc:
                self._count_loss(connection)
                raise PeerNotReached(f"{self.address} cannot be reached") from exc
            try:
                async with asyncio.timeout(timeout):
                    reply = await stub.Forward(message, timeout=timeout)
            except CALL_ERRORS as exc:
                self._count_loss(connection)
                raise PeerLost(f"{self.address} gave no answer: {exc!r}") from exc
        self._lost = 0
        return reply

    def close(self) -> None:
        """Take no more calls; those under way may end."""
        self._connection.retire()

    def _count_loss(self, connection: Connection) -> None:
        """Take a new connection after losses in a row.

        Something between two VMs can lose track of a connection: every call on it
        then runs into its time-out for as long as the connection stays open, though
        a new one would work. Requests count as well as heartbeats, because a VM
        sends heartbeats to its electors only.
        """
        if connection is not self._connection:
            return
        self._lost += 1
        if self._lost < LOST_LIMIT:
            return
        self._lost = 0
        self._connection = Connection(self.address)
        connection.retire()


class PeerLinks:
    """All connections to other VMs, by address.

    Parameters
    ----------
    sender : str
        Name of this VM.
    """

    def __init__(self, sender: str):
        self.sender = sender
        self._links: dict[str, PeerLink] = {}

    def link(self, address: str) -> PeerLink:
        """Return the connection to an address."""
        if address not in self._links:
            self._links[address] = PeerLink(address)
        return self._links[address]

    def keep_only(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses.

        Parameters
        ----------
        addresses : set of str
            Addresses of the VMs of the cell. Without this a daemon would keep one
            connection for each VM that was ever replaced: 160 a day.
        """
        for address in self._links.keys() - addresses:
            self._links.pop(address).close()

    def close(self) -> None:
        """Close all connections."""
        self.keep_only(set())
