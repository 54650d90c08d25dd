"""Tests of routing requests that end their targets."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import Refused, Unanswered
from berylstage_entry.link_check import CheckResult
from berylstage_entry.peer_datagrams import PeerDatagrams
from berylstage_entry.protocols import CallerRequest, Record, TargetAnswer
from berylstage_entry.router import Router
from berylstage_entry.suspect_client import SuspectClient
from berylstage_entry.suspect_messages import (
    OUTCOME_REPORT_TYPE,
    TRIAL_REPLY_TYPE,
    TRIAL_REQUEST_TYPE,
)
from berylstage_entry.suspect_server import SuspectServer
from berylstage_policy.suspects import (
    CONVICTING_ENDS,
    CONVICTION_SECONDS,
    SuspectRegistry,
)
from berylstage_transfers.errors import ConnectionClosed
from fakes import BOUNDS, configuration, target

OK = TargetAnswer(200, [], b"", False, False, True, None, False)
FULL = TargetAnswer(503, [], b"", True, False, True, None, False)
CLOSED = ConnectionClosed("reset")


class StoreWatcher:
    assignment_revisions: dict[str, int] = {}


class Membership:
    def members(self):
        return []


class Vm:
    """A router that decides about trials itself, and targets with scripted results."""

    def __init__(self, script, refusing=True):
        self.script = list(script)
        self.sent = []
        view = ClusterView()
        view.apply(Record(configuration=configuration(owns_keys=False)), now(), False)
        for name in "abcdefgh":
            view.apply(Record(target=target(name)), now(), False)
        self._names = {target(name).address: name for name in "abcdefgh"}
        self._refusing = refusing
        self.router = Router(view, StoreWatcher(), self, BOUNDS, Random(1))
        self.router.links.check_link = self._check_link
        for _ in range(20):
            self.router.retry_budgets.record_request("s")
        self.registry = SuspectRegistry()
        client = SuspectClient(self.registry, "vm-1")
        self.router.suspect_guard.suspects = client
        server = SuspectServer(self.registry, Membership())
        datagrams = PeerDatagrams(Membership(), "vm-1", 1)
        datagrams.handlers = {
            OUTCOME_REPORT_TYPE: server.receive_report,
            TRIAL_REQUEST_TYPE: server.receive_request,
            TRIAL_REPLY_TYPE: client.receive_reply,
        }
        client.send = server.send = datagrams.deliver

    def get(self, target, connections):
        self._name = target.name
        return self

    def retain(self, names):
        pass

    async def send(self, req, seconds, fresh=False, attempt=None):
        self.sent.append(self._name)
        result = self.script.pop(0) if self.script else OK
        if isinstance(result, Exception):
            raise result
        return result

    async def _check_link(self, address):
        is_ended = self._refusing and self._names[address] in self.sent
        return CheckResult.REFUSED if is_ended else CheckResult.ACCEPTED

    async def serve(self, path="/a/x"):
        """Return the status, or the error."""
        req = CallerRequest("id", "GET", "h", path, {}, 1.0, None)
        try:
            return (await self.router.serve(req)).answer.status
        except (Refused, Unanswered) as exc:
            return exc


def serve_all(vm, *paths):
    async def serve():
        return [await vm.serve(path) for path in paths]

    return asyncio.run(serve())


class TestSuspects:
    def test_request_that_ended_targets_is_refused_at_once(self):
        # Guards against callers that end one target after the other by coming back.
        vm = Vm([CLOSED] * 10)
        outcomes = serve_all(vm, *["/a/x"] * 4)
        assert len(vm.sent) == CONVICTING_ENDS
        # Its last attempt may have run; the next ones have not.
        assert isinstance(outcomes[1], Unanswered)
        assert [type(exc) for exc in outcomes[2:]] == [Refused, Refused]
        assert outcomes[2].reason == "ends-targets"

    def test_refusal_tells_when_it_may_be_sent_again(self):
        # Guards against callers that come back only to be refused again.
        outcome = serve_all(Vm([CLOSED] * 10), *["/a/x"] * 4)[-1]
        assert CONVICTION_SECONDS - 1.0 < outcome.retry_after <= CONVICTION_SECONDS

    def test_others_are_served_beside_it(self):
        vm = Vm([CLOSED] * CONVICTING_ENDS)
        assert serve_all(vm, "/a/x", "/a/x", "/a/y")[-1] == 200

    def test_answer_clears_it(self):
        vm = Vm([CLOSED, OK, CLOSED, OK, CLOSED, OK])
        assert serve_all(vm, *["/a/x"] * 4) == [200] * 4
        assert len(vm.registry) == 0

    def test_cut_connections_make_no_suspects(self):
        # Guards against refusing requests because targets reset connections.
        vm = Vm([CLOSED] * 4, refusing=False)
        serve_all(vm, *["/a/x"] * 4)
        assert len(vm.registry) == 0

    @pytest.mark.parametrize("script", [[CLOSED, FULL], [CLOSED, FULL, FULL]])
    def test_trial_ends_with_its_request(self, script):
        # Guards against a suspect that waits for an attempt that has been given up.
        vm = Vm(script)
        serve_all(vm, "/a/x")
        assert serve_all(vm, "/a/x") == [200]
