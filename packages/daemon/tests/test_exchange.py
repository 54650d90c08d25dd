"""Tests of the lasting stream of control messages between two VMs."""

from __future__ import annotations

import asyncio
import socket

import pytest
from berylstage_daemon.exchange import ExchangeStream
from berylstage_messages.peer_grpc import PeerBase
from berylstage_messages.peer_pb2 import ControlFrame
from grpclib.client import Channel
from grpclib.server import Server

LONG_ENOUGH = 10.0
SHORT = 0.05


class Peer(PeerBase):
    """A VM that answers each message, in the way the test wants."""

    def __init__(self):
        self.streams = 0
        self.swallow = 0
        self.break_after = None

    async def Forward(self, stream):
        raise NotImplementedError

    async def Exchange(self, stream):
        self.streams += 1
        async for frame in stream:
            if self.swallow:
                self.swallow -= 1
                continue
            reply = ControlFrame(envelope=frame.envelope * 2, number=frame.number)
            await stream.send_message(reply)
            if frame.envelope == self.break_after:
                return


class Pair:
    """A peer and the stream to it, in one process."""

    async def __aenter__(self):
        self.peer = Peer()
        self.server = Server([self.peer])
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        await self.server.start("127.0.0.1", self.port)
        self.channel = Channel("127.0.0.1", self.port)
        self.exchanges = ExchangeStream(self.channel)
        return self

    async def __aexit__(self, *exc_info):
        self.exchanges.close()
        self.channel.close()
        self.server.close()
        await self.server.wait_closed()

    async def ask(self, text, timeout=LONG_ENOUGH):
        reply = await self.exchanges.exchange(ControlFrame(envelope=text), timeout)
        return None if reply is None else reply.envelope


class TestExchangeStream:
    def test_many_messages_share_a_stream_and_get_their_own_replies(self):
        async def play():
            async with Pair() as pair:
                texts = [str(number).encode() for number in range(20)]
                replies = await asyncio.gather(*(pair.ask(text) for text in texts))
                return pair.peer.streams, texts, replies

        streams, texts, replies = asyncio.run(play())
        assert streams == 1
        assert replies == [text * 2 for text in texts]

    def test_late_reply_never_answers_a_later_message(self):
        # A peer stalls, and the reply to one heartbeat comes after its time-out. Taken
        # for the reply to the next heartbeat, it would confirm a lease too early.
        async def play():
            async with Pair() as pair:
                pair.peer.swallow = 1
                lost = await pair.ask(b"a", SHORT)
                return lost, await pair.ask(b"b")

        assert asyncio.run(play()) == (None, b"bb")

    def test_broken_stream_is_opened_anew(self):
        # A VM is replaced at the same address. Its peers' streams break, and unless
        # they open new ones it would never be heard again.
        async def play():
            async with Pair() as pair:
                pair.peer.break_after = b"a"
                first = await pair.ask(b"a")
                second = None
                while second is None:
                    second = await pair.ask(b"b", SHORT)
                return pair.peer.streams, first, second

        assert asyncio.run(play()) == (2, b"aa", b"bb")

    @pytest.mark.parametrize("closed", ["server", "stream"])
    def test_no_reply_comes_from_what_is_closed(self, closed):
        async def play():
            async with Pair() as pair:
                assert await pair.ask(b"a") == b"aa"
                if closed == "server":
                    pair.server.close()
                    await pair.server.wait_closed()
                else:
                    pair.peer.swallow = 1
                    asyncio.get_running_loop().call_later(SHORT, pair.exchanges.close)
                return await pair.ask(b"b")

        assert asyncio.run(play()) is None
