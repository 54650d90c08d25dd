"""Tests of answers that are no valid HTTP."""

from __future__ import annotations

import pytest
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost, AnswerMalformed
from malformed_answers import (
    BODY,
    MALFORMED_ANSWERS,
    ODD_ANSWERS,
    build_answer,
)
from scripted_calls import CLOSE, OK, make_call, run

# An answer that is refused must not cost the time that its call has.
MAX_SECONDS = 5.0


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
