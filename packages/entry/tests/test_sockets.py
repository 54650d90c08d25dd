"""Tests of what the kernel tells of a connection."""

from __future__ import annotations

import asyncio
import socket
import struct

from berylstage_entry.sockets import ReceiveState, has_ended, unread, unsent

LINGER_NONE = struct.pack("ii", 1, 0)


async def pair():
    """Return the transport of one side of a connection, and the other side's socket."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        far = socket.create_connection(listening.getsockname())
        near, _ = listening.accept()
    near.setblocking(False)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, sock=near)
    transport.pause_reading()
    return transport, far


class TestUnread:
    def test_nothing_waits(self):
        async def play():
            transport, far = await pair()
            assert unread(transport) is ReceiveState.NOTHING
            far.close()
            transport.abort()

        asyncio.run(play())

    def test_bytes_wait_and_stay(self):
        async def play():
            transport, far = await pair()
            far.send(b"abc")
            assert unread(transport) is ReceiveState.BYTES
            assert unread(transport) is ReceiveState.BYTES
            far.close()
            transport.abort()

        asyncio.run(play())

    def test_other_side_has_closed_or_reset(self):
        async def play():
            for is_reset in (False, True):
                transport, far = await pair()
                if is_reset:
                    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                far.close()
                assert unread(transport) is ReceiveState.END
                transport.abort()

        asyncio.run(play())

    def test_end_behind_unread_bytes_is_seen(self):
        # Guards against taking a caller for there that has left unread bytes behind.
        async def play():
            for is_reset in (False, True):
                transport, far = await pair()
                far.send(b"abc")
                assert not has_ended(transport)
                if is_reset:
                    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                far.close()
                assert has_ended(transport)
                transport.abort()

        asyncio.run(play())

    def test_closed_transport_has_nothing(self):
        async def play():
            transport, far = await pair()
            transport.abort()
            await asyncio.sleep(0.01)
            assert unread(transport) is ReceiveState.NOTHING
            assert unsent(transport) == 0
            far.close()

        asyncio.run(play())


class TestUnsent:
    def test_bytes_that_the_other_side_has_not_taken(self):
        async def play():
            transport, far = await pair()
            transport.write(b"x" * 50_000_000)
            assert unsent(transport) > 0
            far.close()
            transport.abort()

        asyncio.run(play())

    def test_nothing_is_left_when_all_is_acknowledged(self):
        async def play():
            transport, far = await pair()
            transport.write(b"abc")
            await asyncio.sleep(0.01)
            assert unsent(transport) == 0
            far.close()
            transport.abort()

        asyncio.run(play())
