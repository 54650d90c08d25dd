"""Connections to the other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_messages.peer_grpc import PeerStub
from berylstage_messages.peer_pb2 import ControlFrame
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from logbook import Logger

from berylstage_daemon.errors import DaemonError

if TYPE_CHECKING:
    from berylstage_messages.peer_pb2 import ForwardAnswer, ForwardRequest

log = Logger("peers")

# A new connection takes about 1 ms within a region; a tenth of a second tells a dead
# address from a busy one and still leaves time for another VM.
CONNECT_TIMEOUT = 0.1
# Calls in flight on a connection that is given up may still end well.
RETIRE_AFTER = 10.0
# Two lost exchanges in a row condemn a connection: one may be a pause of the peer.
LOST_LIMIT = 2


class PeerNotReached(DaemonError):
    """The peer could not be connected to: nothing was sent."""


class PeerLost(DaemonError):
    """The request was sent to the peer and no answer came."""


class PeerLink:
    """The connection to one peer.

    Parameters
    ----------
    address : str
        ``ip:port`` of the peer.
    """

    def __init__(self, address: str):
        self.address = address
        self._channel = self._open()
        self._lost = 0
        self._retired: set[asyncio.TimerHandle] = set()

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
        channel = self._channel
        try:
            async with asyncio.timeout(timeout):
                reply = await PeerStub(channel).Exchange(frame)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError, ProtocolError):
            self._count_loss(channel)
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
        channel = self._channel
        try:
            async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT)):
                await channel.__connect__()
        except (OSError, TimeoutError) as exc:
            self._count_loss(channel)
            raise PeerNotReached(f"{self.address} cannot be reached") from exc
        try:
            async with asyncio.timeout(timeout):
                return await PeerStub(channel).Forward(message, timeout=timeout)
        except (
            OSError,
            TimeoutError,
            GRPCError,
            StreamTerminatedError,
            ProtocolError,
        ) as exc:
            raise PeerLost(f"{self.address} gave no answer: {exc!r}") from exc

    def close(self) -> None:
        """Close the connection at once."""
        self._channel.close()
        for timer in self._retired:
            timer.cancel()

    def _open(self) -> Channel:
        """Return a channel, which connects when it is first used."""
        host, _, port = self.address.rpartition(":")
        return Channel(host.strip("[]"), int(port))

    def _count_loss(self, channel: Channel) -> None:
        """Take a new connection after losses in a row.

        Something between two VMs can lose track of a connection: every call on it
        then runs into its time-out for as long as the connection stays open, though
        a new one would work. Heartbeats go over the same connection as requests, so
        two lost ones show it within two heartbeats.
        """
        if channel is not self._channel:
            return
        self._lost += 1
        if self._lost < LOST_LIMIT:
            return
        self._lost = 0
        self._channel = self._open()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(RETIRE_AFTER, channel.close)
        self._retired.add(timer)
        loop.call_later(RETIRE_AFTER, self._retired.discard, timer)


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
