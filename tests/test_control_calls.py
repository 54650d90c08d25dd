"""Tests of grants and releases at a target that repeats its answers late."""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from berylstage_adapter.record_reader import PlatformRecordReader
from berylstage_adapter.target_protocol import PlatformTargetProtocol
from berylstage_entry.protocols import GrantRequest
from berylstage_entry.store import Item
from berylstage_transfers.errors import AnswerLost
from test_adapter import SERVER_RECORD

RELEASE_SECONDS = 0.2
RENEWED_FENCE = 1
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n"
GRANTED = OK % b""
RELEASED = OK % b"Berylstage-Handover: 5c0e\r\n"


class CopyingTarget:
    """Repeats each answer when the next call has arrived on its connection."""

    def __init__(self):
        self.connections = 0
        self.released_at = 0.0

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        answer = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.partition(b"Content-Length: ")[2].split()[0])
                await reader.readexactly(size)
                writer.write(answer)
                answer = await self._answer(head.split()[1])
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, path):
        if path != b"/v1/release":
            return GRANTED
        # Work on the keys has to end first.
        await asyncio.sleep(RELEASE_SECONDS)
        self.released_at = time.monotonic()
        return RELEASED


def run(scenario, server=None):
    """Run a scenario with the protocol, a target and its server."""

    async def play(server=server or CopyingTarget()):
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        address = "127.0.0.1:{}".format(listener.sockets[0].getsockname()[1])
        record = json.dumps(SERVER_RECORD | {"address": address}).encode()
        target = PlatformRecordReader().read(Item("servers/i-1", record, 1)).target
        protocol = PlatformTargetProtocol()
        try:
            await scenario(protocol, target, server)
        finally:
            protocol._clients.close()
            listener.close()

    asyncio.run(asyncio.wait_for(play(), 20))


class SilentTarget(CopyingTarget):
    """Answers renewals, and all else with a copy of its last answer, or nothing."""

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        answer = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.partition(b"Content-Length: ")[2].split()[0])
                fence = json.loads(await reader.readexactly(size))["fence"]
                writer.write(GRANTED if fence == RENEWED_FENCE else answer)
                answer = GRANTED
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class TestRevocation:
    def test_copy_of_another_answer_sets_no_fence(self):
        # Guards against a late grant that gives keys back to their former owner, which
        # seemed to have seen a higher fence.
        async def scenario(protocol, target, server):
            await protocol.grant(target, GrantRequest(0, 9, RENEWED_FENCE, 3.0), 1.0)
            order = GrantRequest(0, 9, RENEWED_FENCE + 1, 3.0, sets_fence=True)
            with pytest.raises(AnswerLost):
                await protocol.grant(target, order, 0.3)

        run(scenario, SilentTarget())


class TestRelease:
    def test_copy_of_another_answer_ends_no_release(self):
        # Guards against keys that are granted on while their former owner still works
        # on them.
        async def scenario(protocol, target, server):
            for fence in (1, 3, 5):
                await protocol.grant(target, GrantRequest(0, 9, fence, 3.0), 1.0)
                handover = await protocol.release(target, 0, 9, fence + 1, 1.0)
                assert handover == "5c0e"
                assert time.monotonic() - server.released_at < RELEASE_SECONDS / 2

        run(scenario)

    def test_renewals_keep_their_connection(self):
        # Guards against a new connection for each renewal of a grant.
        async def scenario(protocol, target, server):
            for _ in range(10):
                await protocol.grant(target, GrantRequest(0, 9, 1, 3.0), 1.0)
                # The answer to the call that the copy has answered.
                await asyncio.sleep(0.01)
            assert server.connections <= 5

        run(scenario)
