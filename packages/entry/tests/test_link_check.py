"""Tests of the check whether a machine accepts connections."""

from __future__ import annotations

import asyncio
import socket

from berylstage_entry.link_check import CheckResult, check_link


def find_address(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


class TestCheckLink:
    def test_machine_that_accepts_connections(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            result = asyncio.run(check_link(find_address(listener)))
        assert result is CheckResult.ACCEPTED

    def test_port_without_a_listener(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = find_address(listener)
        assert asyncio.run(check_link(address)) is CheckResult.REFUSED

    def test_machine_that_drops_packets(self):
        # A listener whose accept queue is full drops opening packets.
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            fillers = [socket.socket() for _ in range(2)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            result = asyncio.run(check_link(find_address(listener)))
            for filler in fillers:
                filler.close()
        assert result is CheckResult.SILENT
