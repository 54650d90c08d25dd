"""Tests of the load generator."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from berylstage_standins.call_record import CallOutcome, CallRecord
from berylstage_standins.load import Load
from berylstage_standins.load_result import Availability
from berylstage_standins.load_settings import LoadSettings, Share
from berylstage_standins.target_server import body_digest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


class Handler(RequestHandler):
    """Answers like a VM, with the outcomes that a test specifies."""

    def initialize(self, script, seen):
        self.script = script
        self.seen = seen

    def post(self, service, kind, key):
        """Send the next outcome."""
        self.seen.append(self.request)
        outcome = self.script.pop(0) if self.script else "answered"
        digest = body_digest(self.request.body)
        if outcome == "mixed up":
            outcome, digest = "answered", "another"
        self.set_header("Berylstage-Outcome", outcome)
        self.set_header("Berylstage-Reason", "because")
        self.set_header("Retry-After", "0")
        self.write({"key": key, "digest": digest})


@asynccontextmanager
async def vm(*script):
    """Run a VM that sends the given outcomes, then ``answered``."""
    seen = []
    state = {"script": list(script), "seen": seen}
    server = HTTPServer(Application([(r"/([^/]+)/([^/]+)/(.+)", Handler, state)]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        yield "127.0.0.1:{}".format(sockets[0].getsockname()[1]), seen
    finally:
        server.stop()
        await server.close_all_connections()


def run_load(*script, once=False, retries=0, **settings):
    """Send one request; return the result and the attempts that the VM received."""

    async def scenario():
        async with vm(*script) as (address, seen):
            mix = [Share("parts-desk", "order", once, 1.0)]
            load = Load(LoadSettings([address], mix, retries=retries, **settings))
            await load._send(load._make_request(), "caller-1")
            load.close()
            return load.result, seen

    return asyncio.run(asyncio.wait_for(scenario(), 30))


class TestLoad:
    @pytest.mark.parametrize(
        ("script", "outcome", "own"),
        [
            ("answered", CallOutcome.ANSWERED, True),
            ("mixed up", CallOutcome.ANSWERED, False),
            ("not-run", CallOutcome.NOT_RUN, True),
            ("unknown", CallOutcome.UNKNOWN, True),
            ("in-progress", CallOutcome.IN_PROGRESS, True),
            ("no such outcome", CallOutcome.LOST, True),
        ],
    )
    def test_each_outcome_is_recorded(self, script, outcome, own):
        result, _ = run_load(script)
        (record,) = result.records
        assert (record.outcome, record.own) == (outcome, own)
        assert result.wrong_answers() == (not own)

    @pytest.mark.parametrize(
        ("script", "once", "attempts"),
        [
            (["not-run", "answered"], False, 2),
            (["unknown", "answered"], False, 1),
            (["unknown", "in-progress", "answered"], True, 3),
            (["not-run"] * 9, True, 4),
        ],
    )
    def test_retries_carry_the_same_key(self, script, once, attempts):
        # A caller retries only work that did not run or that has an idempotency key.
        # With a new key for each attempt, the work could run twice.
        result, seen = run_load(*script, once=once, retries=3)
        assert len(result.records) == attempts
        keys = {req.headers.get("Idempotency-Key") for req in seen}
        assert len(keys) == 1
        assert (None not in keys) == once

    def test_a_failed_key_is_probed_until_it_is_served(self):
        # Most keys are rarely requested. Without probes, a key that failed once would
        # count as unavailable until the next request for it.
        async def scenario():
            async with vm(*["not-run"] * 3) as (address, _):
                mix = [Share("parts-desk", "status", False, 1.0)]
                load = Load(LoadSettings([address], mix))
                await load._send(load._make_request(), "caller-1")
                while load.result.probes < 3:
                    await asyncio.sleep(0.01)
                assert load.result.outcomes[CallOutcome.NOT_RUN] == 1
                assert len(load.result.records) == 4
                last = load.result.records[-1]
                assert last.outcome is CallOutcome.ANSWERED
                times = [load.result.longest_unavailable(last.end + n) for n in (0, 9)]
                assert times[0] == times[1] > 0
                load.close()

        asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_callers_use_every_vm(self):
        async def scenario():
            async with vm() as (one, seen_one), vm() as (two, seen_two):
                mix = [Share("field-log", "lookup", False, 1.0)]
                load = Load(LoadSettings([one, two], mix, callers=3))
                result = await load.run(0.2)
                load.close()
                assert seen_one and seen_two
                doc = json.loads(json.dumps(result.as_dict(0.0)))
                count = doc["latency_ms"]["field-log/lookup"]["count"]
                assert count == len(result.records) == len(seen_one) + len(seen_two)

        asyncio.run(asyncio.wait_for(scenario(), 30))


def attempt(outcome, start, end):
    """Return the record of an attempt on one key."""
    return CallRecord("s", "k", "key", "d", "", "vm", outcome, 0, "", True, start, end)


class TestAvailability:
    def test_unavailability_lasts_from_first_failure_to_next_success(self):
        # A target crashes. Its keys are unavailable from the start of the first failed
        # attempt to the end of the next successful one.
        key = Availability()
        key.add(attempt(CallOutcome.ANSWERED, 0.0, 1.0))
        key.add(attempt(CallOutcome.UNKNOWN, 2.0, 3.0))
        key.add(attempt(CallOutcome.NOT_RUN, 3.0, 3.1))
        key.add(attempt(CallOutcome.ANSWERED, 3.5, 4.0))
        key.add(attempt(CallOutcome.NOT_RUN, 5.0, 5.1))
        assert key.until(5.5) == 2.0
        assert key.until(9.0) == 4.0

    def test_a_call_lost_while_others_are_answered(self):
        # One connection goes silent, and the call on it times out. Meanwhile other
        # callers get answers for the same key.
        key = Availability()
        for second in range(5):
            key.add(attempt(CallOutcome.ANSWERED, second, second + 0.5))
        key.add(attempt(CallOutcome.LOST, 0.0, 5.0))
        key.add(attempt(CallOutcome.ANSWERED, 5.0, 5.5))
        assert key.until(9.0) == 1.0
