"""Tests of closing idle connections while callers may still use them."""

from __future__ import annotations

import asyncio
import socket

from test_server import REQUEST, SlowRouter, start_server


class TestIdleClose:
    def test_connection_ends_in_the_turn_in_which_it_was_idle(self):
        # Guards against a turn of the event loop between the look at a socket and its
        # close, in which a request arrives and is reset unread.
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            loop = asyncio.get_running_loop()
            with socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await loop.sock_sendall(sock, REQUEST)
                assert await loop.sock_recv(sock, 4096)
                server.is_stopping = True
                server.start_draining()
                try:
                    received = sock.recv(1)
                except BlockingIOError:
                    received = None
                await server.close()
                assert received == b"", "the caller may still send"

        asyncio.run(scenario())
