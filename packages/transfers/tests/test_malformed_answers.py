"""Tests of answers that are no valid HTTP."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost, AnswerMalformed
from berylstage_transfers.raw_heads import RawHeads
from malformed_answers import (
    BODY,
    INVALID_FOLDS,
    MALFORMED_ANSWERS,
    ODD_ANSWERS,
    build_answer,
)
from scripted_calls import CLOSE, OK, answer_to, make_call, run

# An answer that is refused must not cost the time that its call has.
MAX_SECONDS = 5.0


class BytewiseServer:
    """A server that sends an answer byte by byte."""

    def __init__(self, raw):
        self._raw = raw
        self.base = ""

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            for byte in answer_to(head, self._raw):
                writer.write(bytes([byte]))
                await asyncio.sleep(0.0005)
            await reader.read(1)
        except ConnectionError:
            # The client has refused the answer.
            pass
        finally:
            writer.close()


@asynccontextmanager
async def serve_bytewise(raw):
    """Run a server that sends one answer byte by byte."""
    script = BytewiseServer(raw)
    server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
    script.base = "http://127.0.0.1:{}".format(server.sockets[0].getsockname()[1])
    try:
        yield script
    finally:
        server.close()


class TestMalformedAnswers:
    @pytest.mark.parametrize("end", [b"", CLOSE], ids=["kept", "closed"])
    @pytest.mark.parametrize("name", MALFORMED_ANSWERS)
    def test_malformed_answer_is_lost(self, open_server, capfd, name, end):
        # Guards against a body that is not the server's, passed on as its answer.
        async def scenario():
            async with open_server(MALFORMED_ANSWERS[name] + end, OK) as script:
                client = CallClient(1)
                call = make_call(
                    script,
                    timeout=2 * MAX_SECONDS,
                    allow_unframed=True,
                    unique_headers=frozenset({b"sum"}),
                )
                with pytest.raises(AnswerLost) as caught:
                    await client.call(call)
                assert "timed out" not in str(caught.value)
                answer = await client.call(make_call(script))
                assert answer.body == b"body"
                assert script.connections == 2
                client.close()

        run(scenario)
        assert "Traceback" not in capfd.readouterr().err

    @pytest.mark.parametrize("raw", INVALID_FOLDS.values(), ids=INVALID_FOLDS)
    def test_folded_lines_that_arrive_byte_by_byte(self, raw):
        # Guards against a fold that is seen only where a head arrives at once.
        async def scenario():
            async with serve_bytewise(raw) as script:
                client = CallClient(1)
                with pytest.raises(AnswerMalformed):
                    await client.call(make_call(script))
                client.close()

        run(scenario)

    @pytest.mark.parametrize("name", ["extension", "two interim answers"])
    def test_valid_answers_that_arrive_byte_by_byte(self, name):
        # Guards against valid answers that are lost because of how they arrive.
        async def scenario():
            async with serve_bytewise(ODD_ANSWERS[name]) as script:
                client = CallClient(1)
                answer = await client.call(make_call(script))
                assert answer.body == BODY
                client.close()

        run(scenario)

    @pytest.mark.parametrize("end", [b"", CLOSE], ids=["kept", "closed"])
    @pytest.mark.parametrize("name", ODD_ANSWERS)
    def test_odd_answer_that_is_valid_is_returned(self, open_server, name, end):
        # Guards against valid answers that are lost.
        async def scenario():
            async with open_server(ODD_ANSWERS[name] + end, OK) as script:
                client = CallClient(1)
                answer = await client.call(make_call(script))
                assert (answer.status, answer.body) == (200, BODY)
                assert (await client.call(make_call(script))).body == b"body"
                assert script.connections == 1 + (end == CLOSE)
                client.close()

        run(scenario)

    def test_error_names_the_line_and_the_cause(self, open_server):
        # Guards against an operator who can't tell what is malformed.
        async def scenario():
            raw = build_answer(b"X Field: a", b"Content-Length: 22")
            async with open_server(raw) as script:
                client = CallClient(1)
                with pytest.raises(AnswerMalformed, match=r"no field: .X Field: a"):
                    await client.call(make_call(script))
                client.close()

        run(scenario)

    def test_name_that_stands_twice_keeps_both_values(self, open_server):
        # Guards against a header of the server that is dropped on the way.
        async def scenario():
            lines = [b"Set-Cookie: a", b"Content-Length: 22", b"set-cookie: b"]
            async with open_server(build_answer(*lines)) as script:
                client = CallClient(1)
                answer = await client.call(make_call(script))
                cookies = [v for n, v in answer.fields if n == b"set-cookie"]
                assert cookies == [b"a", b"b"]
                client.close()

        run(scenario)


class TestMissedHeads:
    """Answers that arrive between sending a call and reading, so that no copy exists.

    A VM that waits for a core at that moment has many of them.
    """

    @pytest.fixture(autouse=True)
    def _miss_all_bytes(self, monkeypatch):
        monkeypatch.setattr(RawHeads, "copy", lambda self, fd: None)

    @pytest.mark.parametrize("end", [b"", CLOSE], ids=["kept", "closed"])
    @pytest.mark.parametrize("raw", INVALID_FOLDS.values(), ids=INVALID_FOLDS)
    def test_folded_lines_are_refused(self, open_server, raw, end):
        # Guards against a part of a body that is passed on as the whole.
        async def scenario():
            async with open_server(OK, raw + end) as script:
                client = CallClient(1)
                await client.call(make_call(script))
                with pytest.raises(AnswerMalformed):
                    await client.call(make_call(script, allow_unframed=True))
                client.close()

        run(scenario)

    @pytest.mark.parametrize("end", [b"", CLOSE], ids=["kept", "closed"])
    @pytest.mark.parametrize("name", ODD_ANSWERS)
    def test_valid_answer_is_returned(self, open_server, name, end):
        # Guards against valid answers that are lost because their heads were missed.
        async def scenario():
            async with open_server(OK, ODD_ANSWERS[name] + end) as script:
                client = CallClient(1)
                await client.call(make_call(script))
                answer = await client.call(make_call(script))
                assert answer.body == BODY
                client.close()

        run(scenario)

    @pytest.mark.parametrize("size", [0, 1, 16_384, 400_000])
    @pytest.mark.parametrize("is_framed", [True, False])
    def test_bodies_of_all_sizes(self, open_server, size, is_framed):
        # Guards against large answers that are lost because of what is not read yet.
        body = b"x" * size
        line = b"Content-Length: %d" % size if is_framed else b"X-Field: a"

        async def scenario():
            async with open_server(build_answer(line, body=body) + CLOSE) as script:
                client = CallClient(1)
                call = make_call(script, allow_unframed=True)
                assert (await client.call(call)).body == body
                client.close()

        run(scenario)

    def test_valid_answer_that_arrives_byte_by_byte(self):
        # Guards against valid answers that are lost because of how they arrive.
        async def scenario():
            async with serve_bytewise(ODD_ANSWERS["two interim answers"]) as script:
                client = CallClient(1)
                answer = await client.call(make_call(script))
                assert answer.body == BODY
                client.close()

        run(scenario)
