"""Tests of whoever reads answers with servers that end inside the head of one."""

from __future__ import annotations

import asyncio
import re
import socket
import struct

import pytest
from answer_readers import ALL_CALLS, TARGET_CALLS
from answered_vm import HEALTHY, AnsweredVm, run
from malformed_server import BODY, LENGTH, MalformedServer, build_answer

HEAD_END = b"\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# How the body's end would have been told.
FRAMINGS = {
    "length": build_answer(LENGTH),
    "chunks": build_answer(b"Transfer-Encoding: chunked", body=b"0\r\n\r\n"),
    "none": build_answer(),
}
# Bytes of a caller's body that is still on its way as the answer begins.
EARLY_BODY_BYTES = 300_000
BAD_GATEWAY = 502
# Bytes from one cut to the next where each takes a request through a VM.
VM_STEP = 7


def find_cuts(raw, start=0):
    """Return all places inside the head of an answer, the first byte excluded."""
    return range(start + 1, raw.index(HEAD_END, start) + len(HEAD_END))


class CuttingServer(MalformedServer):
    """A server that sends a part of an answer and ends the connection.

    Attributes
    ----------
    resets : bool
        Whether it resets the connection rather than closing it.
    is_early : bool
        Whether it answers before it has read the request's body.
    """

    resets = False
    is_early = False

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            head = await reader.readuntil(HEAD_END)
            length = re.search(rb"(?i)content-length: (\d+)", head)
            if length is not None and not self.is_early:
                await reader.readexactly(int(length[1]))
            writer.write(self.choose_answer(head))
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if self.resets:
                # What was sent arrives before the reset.
                await asyncio.sleep(0.002)
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()


class TestReaders:
    @pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("name", ALL_CALLS)
    def test_head_that_ends_early(self, name, resets):
        # Guards against an order, a write or a probe that passes for accepted, and a
        # reply that passes for whole, because its server ended inside the head.
        call, error = ALL_CALLS[name]

        async def play():
            accepted = []
            server = CuttingServer()
            server.resets = resets
            async with server.open():
                for raw in FRAMINGS.values():
                    for cut in find_cuts(raw):
                        server.raw = raw[:cut]
                        try:
                            accepted.append((raw[:cut], await call(server.address)))
                        except error:
                            continue
            return accepted

        assert run(play()) == []

    @pytest.mark.parametrize("name", [*TARGET_CALLS, "relay", "call of a VM"])
    def test_whole_answer(self, name):
        # Shows that the test above can fail.
        call, _ = ALL_CALLS[name]

        async def play():
            async with CuttingServer(FRAMINGS["length"]).open() as server:
                await call(server.address)

        run(play())

    def test_head_that_ends_after_an_interim_answer(self):
        # Guards against an interim answer that counts as the answer.
        async def play():
            accepted = []
            async with CuttingServer().open() as server:
                for name, (call, error) in ALL_CALLS.items():
                    for cut in (len(INTERIM), len(INTERIM) + 12, len(INTERIM) + 17):
                        server.raw = (INTERIM + FRAMINGS["length"])[:cut]
                        try:
                            accepted.append((name, cut, await call(server.address)))
                        except error:
                            continue
            return accepted

        assert run(play()) == []


class CuttingTarget(CuttingServer):
    """A target whose health checks are answered well."""

    def choose_answer(self, head):
        """Return the answer to a request."""
        if b"attempt-id" not in head.lower():
            return HEALTHY
        return super().choose_answer(head)


async def find_wrong_answers(environment, body):
    """Return the answers that callers get in place of a 502."""
    wrong = []
    for raw in FRAMINGS.values():
        for cut in find_cuts(raw)[::VM_STEP]:
            for target in environment.targets:
                target.raw = raw[:cut]
            answer, _ = await environment.send("POST", "/o/x", body)
            if int(answer.split()[1]) != BAD_GATEWAY:
                wrong.append((raw[:cut], answer))
    return wrong


class TestVm:
    @pytest.mark.parametrize("is_early", [False, True], ids=["whole", "early"])
    def test_callers_get_no_part_of_an_answer(self, tmp_path, is_early):
        # Guards against a 200 with an empty or short body that is framed as whole, also
        # where a target answers before it has read the body of the request.
        body = b"x" * EARLY_BODY_BYTES if is_early else b""

        async def play():
            async with AnsweredVm(tmp_path, CuttingTarget) as environment:
                for target in environment.targets:
                    target.is_early = is_early
                wrong = await find_wrong_answers(environment, body)
                assert all(target.requests for target in environment.targets)
                for target in environment.targets:
                    target.raw, target.is_early = FRAMINGS["length"], False
                whole, _ = await environment.send("POST", "/o/x", b"")
                environment.vm.log.seek(0)
                return wrong, whole, environment.vm.log.read()

        wrong, whole, log = run(play())
        assert wrong == []
        assert whole.endswith(BODY)
        assert "Traceback" not in log
