"""Tests of closing idle connections while callers may still use them."""

from __future__ import annotations

import asyncio
import socket

from test_server import REQUEST, SlowRouter, shut_down, start_server


class TestIdleClose:
    def test_request_sent_after_the_look_at_an_idle_connection_is_answered(self):
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
                is_open = True
                try:
                    is_open = sock.recv(1) != b""
                except BlockingIOError:
                    sock.sendall(REQUEST)
                # The drain leaves the loop a turn before it counts what is left.
                await asyncio.sleep(0)
                await shut_down(server)
                answer = await loop.sock_recv(sock, 4096) if is_open else b""
                assert not is_open or answer.startswith(b"HTTP/1.1 200")

        asyncio.run(scenario())
