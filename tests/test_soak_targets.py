"""Tests of the soak's targets and of the links to them."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from soak.callers import Request
from soak.configuration import get_loopback_prefix
from soak.target_links import FIRST_LINK_PORT, CutMode, TargetLink
from soak.targets import (
    BODY_MEMORY_BYTES,
    MAX_UPLOAD_BYTES,
    PORT,
    RESTART_SECONDS,
    SLOTS,
    SoakTarget,
)


class TestTargets:
    GRANT = b'{"from": 0, "target": 9, "fence": 1, "hold_ms": 5000}'
    HEAD = b"POST /v1/grant HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"

    def test_crashed_target_accepts_no_grant(self, ledger):
        # The connections of a crashed target close one after the other. A grant that
        # arrives meanwhile would overlap later grants of the same keys to others.
        async def scenario():
            target = SoakTarget(
                "i-1", "s", f"{get_loopback_prefix()}.2", ledger, Random(1)
            )
            target.start()
            ends = [await asyncio.open_connection(target.ip, PORT) for _ in range(8)]
            for reader, writer in ends:
                writer.write(self.HEALTH)
                await reader.readuntil(b"\r\n\r\n")
            for _, writer in ends:
                writer.write(self.HEAD % len(self.GRANT) + self.GRANT)
            await target.crash()
            await asyncio.sleep(0.05)
            return target.holds

        assert asyncio.run(scenario()) == []

    def test_crashed_target_runs_nothing(self, ledger):
        # Orders that waited for a slot at the crash would be recorded as run twice.
        async def scenario():
            target = SoakTarget(
                "i-1", "s", f"{get_loopback_prefix()}.2", ledger, Random(1)
            )
            target.start()
            for n in range(8):
                _, writer = await asyncio.open_connection(target.ip, PORT)
                writer.write(Request(f"order-{n}", None).encode())
            await asyncio.sleep(0.02)
            await target.crash()
            ran = len(ledger.runs)
            await asyncio.sleep(0.5)
            return ran, len(ledger.runs)

        ran, ran_later = asyncio.run(scenario())
        assert ran > 0
        assert ran_later == ran

    def test_full_silent_target_leaves_the_connection_unanswered(self, ledger):
        # Guards against a stand-in that refuses, runs the request later, or answers a
        # later request on that connection.
        async def read_status(reader):
            try:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 0.3)
            except TimeoutError:
                return None
            return int(head.split(b" ")[1])

        async def scenario():
            target = SoakTarget(
                "i-1", "u", f"{get_loopback_prefix()}.2", ledger, Random(1)
            )
            target.is_silent_when_full = True
            target.start()
            reader, writer = await asyncio.open_connection(target.ip, PORT)
            target.is_filled = True
            writer.write(Request("order-1", None).encode())
            seen = [await read_status(reader)]
            target.is_filled = False
            writer.write(self.HEALTH)
            seen.append(await read_status(reader))
            reader, writer = await asyncio.open_connection(target.ip, PORT)
            writer.write(self.HEALTH)
            seen.append(await read_status(reader))
            await target.crash()
            return seen, target.unanswered

        assert asyncio.run(scenario()) == ([None, None, 200], 1)
        assert ledger.runs == {}

    def test_silent_target_is_full_beyond_its_slots_and_queue(self, ledger):
        # Guards against a stand-in whose queue has no bound.
        async def scenario():
            target = SoakTarget(
                "i-1", "u", f"{get_loopback_prefix()}.2", ledger, Random(1)
            )
            target.is_silent_when_full = True
            target.queue_limit = 1
            target.min_service_seconds = 0.05
            target.start()
            ends = []
            for n in range(SLOTS + target.queue_limit + 2):
                ends.append(await asyncio.open_connection(target.ip, PORT))
                ends[-1][1].write(Request(f"order-{n}", None).encode())
            await asyncio.sleep(0.5)
            await target.crash()
            return target.unanswered

        assert asyncio.run(scenario()) == 2
        assert len(ledger.runs) == SLOTS + 1


# Service time that no upload reaches before the bodies of all have arrived.
SLOW_SECONDS = 5.0


class TestUploads:
    """What a target does with the bodies of uploads."""

    async def send_uploads(self, ledger, sizes, service_seconds=0.0):
        """Return the target after uploads of some sizes at once, and their answers."""
        target = SoakTarget("i-1", "w", f"{get_loopback_prefix()}.2", ledger, Random(1))
        target.min_service_seconds = service_seconds
        target.start()
        # Connections close once their writers are discarded.
        ends = []
        for n, size in enumerate(sizes):
            ends.append(await asyncio.open_connection(target.ip, PORT))
            ends[-1][1].write(Request(f"upload-{n}", None, 0, size).encode())
        await asyncio.sleep(0.5)
        answers = []
        for reader, _ in ends:
            try:
                line = await asyncio.wait_for(reader.readline(), 0.1)
            except ConnectionResetError:
                line = b""
            answers.append(line[9:12].decode())
        return target, answers

    def test_bodies_within_the_memory_are_released(self, ledger):
        # Guards against a stand-in that counts bodies of requests that have ended.
        async def scenario():
            target, answers = await self.send_uploads(
                ledger, [MAX_UPLOAD_BYTES] * SLOTS
            )
            bodies = target.bodies, target.max_body_bytes
            await target.crash()
            return answers, bodies

        answers, bodies = asyncio.run(scenario())
        assert answers == ["200"] * SLOTS
        assert bodies == ({}, BODY_MEMORY_BYTES)
        assert ledger.find_violations() == []

    def test_bodies_beyond_the_memory_end_the_target(self, ledger):
        # Guards against a stand-in that holds any number of bodies.
        async def scenario():
            sizes = [MAX_UPLOAD_BYTES] * SLOTS * 2
            target, answers = await self.send_uploads(ledger, sizes, SLOW_SECONDS)
            seen = target.is_running, target.incarnation
            await asyncio.sleep(RESTART_SECONDS)
            seen += target.is_running, target.bodies
            await target.crash()
            return answers, seen

        answers, seen = asyncio.run(scenario())
        assert "200" not in answers
        assert seen == (False, 2, True, {})
        (excess,) = ledger.memory_excesses
        assert excess.startswith("i-1 ended with")

    def test_reported_load_counts_what_runs_and_waits(self, ledger):
        # Guards against a stand-in that reports fewer requests than it runs. Permits
        # are then taken back, and others send more bodies than it has memory for.
        target = SoakTarget("i-1", "w", "127.0.0.1", ledger, Random(1))
        target.in_progress = SLOTS + 1
        assert target.load() == f"{SLOTS},1,{SLOTS},100"
        target.in_progress, target.is_filled = 0, True
        assert target.load() == f"{SLOTS},{target.queue_limit},{SLOTS},100"


class TestTargetLinks:
    """What a VM sees of a target while the link between them is cut."""

    def observe(self, mode):
        """Return what an open and a new connection do in a cut and after it."""
        ip = f"{get_loopback_prefix()}.9"

        async def echo(reader, writer):
            while data := await reader.read(1):
                writer.write(data)

        async def exchange(reader, writer):
            writer.write(b"x")
            try:
                return (await asyncio.wait_for(reader.read(1), 0.3)).decode() or "end"
            except TimeoutError:
                return "silent"
            except ConnectionResetError:
                return "reset"

        async def connect():
            try:
                opening = asyncio.open_connection(ip, FIRST_LINK_PORT)
                return await exchange(*await asyncio.wait_for(opening, 0.3))
            except TimeoutError:
                return "hangs"
            except ConnectionRefusedError:
                return "refused"

        async def scenario():
            server = await asyncio.start_server(echo, ip, PORT)
            link = TargetLink(ip, PORT, 0)
            link.open()
            conn = await asyncio.open_connection(ip, FIRST_LINK_PORT)
            assert await exchange(*conn) == "x"
            link.cut(mode)
            in_cut = await exchange(*conn), await connect()
            link.heal()
            after = await exchange(*conn), await connect()
            link.close()
            server.close()
            return in_cut, after

        return asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("mode", "in_cut", "open_connection_after"),
        [
            (CutMode.SILENT, ("silent", "hangs"), ("reset", "end")),
            (CutMode.RESET, ("reset", "refused"), ("reset", "end")),
            (CutMode.REFUSING, ("x", "refused"), ("x",)),
        ],
    )
    def test_cut_and_heal(self, mode, in_cut, open_connection_after):
        seen, (after, new) = self.observe(mode)
        assert seen == in_cut
        assert after in open_connection_after
        assert new == "x"
