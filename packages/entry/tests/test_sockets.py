"""Tests of a connection's kernel state."""

from __future__ import annotations

import asyncio
import socket
import struct

from berylstage_entry.sockets import (
    ReceiveState,
    count_unaccepted_connections,
    peek_transport,
    peer_has_closed,
    send_queue_bytes,
)

LINGER_RESET = struct.pack("ii", 1, 0)


async def connected_pair():
    """Return a connected transport and the socket of its peer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        local, _ = listener.accept()
    local.setblocking(False)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, sock=local)
    transport.pause_reading()
    return transport, peer


class TestReceiveQueue:
    def test_empty_receive_queue(self):
        async def scenario():
            transport, peer = await connected_pair()
            assert peek_transport(transport) is ReceiveState.NOTHING
            peer.close()
            transport.abort()

        asyncio.run(scenario())

    def test_peeking_leaves_the_bytes_unread(self):
        async def scenario():
            transport, peer = await connected_pair()
            peer.send(b"abc")
            assert peek_transport(transport) is ReceiveState.BYTES
            assert peek_transport(transport) is ReceiveState.BYTES
            peer.close()
            transport.abort()

        asyncio.run(scenario())

    def test_peer_has_closed_or_reset(self):
        async def scenario():
            for is_reset in (False, True):
                transport, peer = await connected_pair()
                if is_reset:
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                peer.close()
                assert peek_transport(transport) is ReceiveState.END
                transport.abort()

        asyncio.run(scenario())

    def test_close_after_unread_bytes_is_detected(self):
        # Guards against considering a caller connected that has closed after sending
        # bytes which are still unread.
        async def scenario():
            for is_reset in (False, True):
                transport, peer = await connected_pair()
                peer.send(b"abc")
                assert not peer_has_closed(transport)
                if is_reset:
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                peer.close()
                assert peer_has_closed(transport)
                transport.abort()

        asyncio.run(scenario())

    def test_closed_transport_has_empty_queues(self):
        async def scenario():
            transport, peer = await connected_pair()
            transport.abort()
            await asyncio.sleep(0.01)
            assert peek_transport(transport) is ReceiveState.NOTHING
            assert send_queue_bytes(transport) == 0
            peer.close()

        asyncio.run(scenario())


class TestSendQueue:
    def test_unacknowledged_bytes_are_reported(self):
        async def scenario():
            transport, peer = await connected_pair()
            transport.write(b"x" * 50_000_000)
            assert send_queue_bytes(transport) > 0
            peer.close()
            transport.abort()

        asyncio.run(scenario())

    def test_queue_is_empty_when_all_is_acknowledged(self):
        async def scenario():
            transport, peer = await connected_pair()
            transport.write(b"abc")
            await asyncio.sleep(0.01)
            assert send_queue_bytes(transport) == 0
            peer.close()
            transport.abort()

        asyncio.run(scenario())


class TestAcceptQueue:
    def test_connections_that_nobody_has_accepted(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peers = [socket.create_connection(listener.getsockname()) for _ in "abc"]
            assert count_unaccepted_connections(listener) == 3
            listener.accept()[0].close()
            assert count_unaccepted_connections(listener) == 2
            for peer in peers:
                peer.close()

    def test_kernel_that_does_not_report_them(self):
        class OtherSocket:
            def getsockopt(self, level, option, size):
                raise OSError("unsupported")

        assert count_unaccepted_connections(OtherSocket()) is None
