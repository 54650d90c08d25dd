"""Fakes at the daemon's interfaces, as fixtures."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_daemon.clock import now
from berylstage_daemon.leader import Leader
from berylstage_daemon.requests import CallerRequest
from berylstage_ownership.routing import Permit
from berylstage_policy.thresholds import Thresholds
from berylstage_sheet.configuration import Kind, Ownership, RequestClass, Service
from berylstage_targets.errors import OutcomeUnknown
from berylstage_targets.target import TargetClient, WorkAnswer

LONG_ENOUGH = 30.0


class FakeTarget(TargetClient):
    """A target whose answers the test gives by hand."""

    def __init__(self):
        self.sent = []
        self.cancelled = []
        self.confirms = True
        self._answers = {}

    async def send(self, req):
        self.sent.append(req)
        fut = asyncio.Future()
        self._answers[req.request_id] = fut
        return await fut

    def answer(self, number=0, body=b"done"):
        fut = self._answers[self.sent[number].request_id]
        fut.set_result(WorkAnswer(200, body, "text/plain", "run-1"))

    def fail(self, exc, number=0):
        self._answers[self.sent[number].request_id].set_exception(exc)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)
        return self.confirms

    async def grant(self, order, timeout):
        raise NotImplementedError

    async def report(self, timeout):
        raise NotImplementedError

    async def close(self):
        pass


class FakeControl:
    """Counts the work in flight as the protocol core does."""

    def __init__(self):
        self.in_flight = 0
        self.unwilling = []

    def work_started(self, target, shard, deadline):
        self.in_flight += 1

    def work_ended(self, target, shard):
        self.in_flight -= 1

    def target_unwilling(self, target, reason):
        self.unwilling.append((target, reason))


class FakeLoad:
    """Keeps what was observed."""

    def __init__(self):
        self.observed = []

    def observe(self, service, shard, key, seconds):
        self.observed.append((service, shard, key))


class Rig:
    """A leader of one target with one free slot, and requests for it."""

    def __init__(self):
        self.target = FakeTarget()
        self.control = FakeControl()
        self.permit = Permit("field-log-01", 7, 3)
        self.leader = Leader(
            "field-log-01",
            1,
            self.target,
            self.control,
            FakeLoad(),
            Thresholds(),
            Random(1),
        )
        self.leader.seen("run-1", False)

    def request(self, request_id="r", repeatable=True, seconds=LONG_ENOUGH, **fields):
        kind = Kind("visit", RequestClass.INTERACTIVE, repeatable, 2000)
        kinds = {"visit": kind}
        service = Service("field-log", "saryarka", Ownership.OWNED, 8, kinds)
        values = {
            "request_id": request_id,
            "service": service,
            "kind": kind,
            "key": "visit-7",
            "method": "POST",
            "body": b"",
            "content_type": "",
            "caller": "",
            "idempotency_key": "" if repeatable else "order-1",
            "issued_at_ms": 0,
            "arrived": now(),
            "deadline": now() + seconds,
        }
        return CallerRequest(**{**values, **fields})

    def run(self, req):
        """Start a request and return its task."""
        work = self.leader.run(req, "field-log/7", lambda: self.permit)
        return asyncio.ensure_future(work)

    def lost(self):
        return OutcomeUnknown("no answer came", "no-answer")


async def settle():
    """Let all tasks run until they wait for something."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.fixture
def make_rig():
    return Rig


@pytest.fixture
def let_run():
    return settle
