"""Control messages to one peer, on one lasting stream."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from berylstage_messages.peer_grpc import PeerStub
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

if TYPE_CHECKING:
    from berylstage_messages.peer_pb2 import ControlFrame
    from grpclib.client import Channel, Stream

CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
)


class ExchangeStream:
    """Sends control messages and matches the replies by number.

    A heartbeat goes to each elector four times a second. As a call of its own each
    would open a stream, send headers and trailers both ways and start a task; most of
    what control costs a VM was that.

    Parameters
    ----------
    channel : Channel
    """

    def __init__(self, channel: Channel):
        self._channel = channel
        self._numbers = itertools.count(1)
        self._outgoing: asyncio.Queue[ControlFrame | None] = asyncio.Queue()
        self._replies: dict[int, asyncio.Future[ControlFrame]] = {}
        self._task: asyncio.Task | None = None

    async def exchange(
        self,
        frame: ControlFrame,
        timeout: float,
    ) -> ControlFrame | None:
        """Send a message and return its reply.

        Parameters
        ----------
        frame : ControlFrame
        timeout : float
            Seconds.

        Returns
        -------
        ControlFrame or None
            None when no reply came.
        """
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())
        frame.number = next(self._numbers)
        reply: asyncio.Future[ControlFrame] = asyncio.Future()
        self._replies[frame.number] = reply
        self._outgoing.put_nowait(frame)
        try:
            async with asyncio.timeout(timeout):
                return await reply
        except CALL_ERRORS:
            return None
        finally:
            self._replies.pop(frame.number, None)

    def close(self) -> None:
        """End the stream; who waits for a reply gets none."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Keep the stream open; the next message opens a new one when it broke."""
        try:
            async with PeerStub(self._channel).Exchange.open() as stream:
                await stream.send_request()
                outgoing = self._outgoing
                receiving = asyncio.ensure_future(self._receive(stream))
                receiving.add_done_callback(lambda task: outgoing.put_nowait(None))
                try:
                    await self._send(stream)
                finally:
                    receiving.cancel()
        except CALL_ERRORS:
            return
        finally:
            self._break_off()

    async def _send(self, stream: Stream) -> None:
        """Send what comes until the stream is at its end."""
        while (frame := await self._outgoing.get()) is not None:
            # What nobody waits for any more would only delay what is wanted now.
            if frame.number in self._replies:
                await stream.send_message(frame)

    async def _receive(self, stream: Stream) -> None:
        """Hand each reply to who waits for it."""
        try:
            async for frame in stream:
                reply = self._replies.get(frame.number)
                if reply is not None and not reply.done():
                    reply.set_result(frame)
        except CALL_ERRORS:
            return

    def _break_off(self) -> None:
        """Tell all who wait that no reply will come."""
        self._task = None
        self._outgoing = asyncio.Queue()
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(StreamTerminatedError("the stream ended"))
