"""Tests of asking all VMs for requests at a target that refuses connections."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.membership import Member
from berylstage_entry.protocols import Record
from berylstage_entry.sent_requests import SentRequests
from berylstage_entry.work_messages import (
    WORK_QUESTION_TYPE,
    WorkQuestion,
    WorkReply,
)
from berylstage_entry.work_survey import DEPARTED_VM_SECONDS, WorkSurvey
from fakes import configuration, target
from virtual_time import virtual_loop

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
OWNER = target("a")
WITHHOLD_SECONDS = 3.0


class FakeMembership:
    def __init__(self):
        self.hosts = list(HOSTS)

    def members(self):
        return [Member(f"vm-{host}", f"{host}:1", "dc", 1.0) for host in self.hosts]


class FakeClients:
    """Clients of a VM that has requests at a target, or not."""

    def __init__(self):
        self.is_busy = False
        self.sent_requests = SentRequests()

    def may_run_requests(self, identity):
        return self.is_busy


class Fleet:
    """VMs that exchange datagrams in virtual time."""

    def __init__(self, loop):
        self.loop = loop
        self.membership = FakeMembership()
        self.clients = {host: FakeClients() for host in HOSTS}
        # Hosts that receive nothing, and the number of datagrams lost before others.
        self.silent = set()
        self.lost = 0
        # Hosts that were asked.
        self.asked = []
        self.view = ClusterView()
        self.view.apply(Record(configuration=configuration()), now(), False)
        self.surveys = {}
        for host in HOSTS:
            self.start(host)
        # Beyond the time for which VMs that have just started cannot tell.
        self.run(10.0)

    def start(self, host):
        survey = WorkSurvey(
            self.clients[host], self.view, self.membership, host, Random(host)
        )
        survey.send = lambda to, data: self._send(host, to, data)
        survey.update_members()
        self.surveys[host] = survey

    def _send(self, sender, host, data):
        if data[0] == WORK_QUESTION_TYPE:
            self.asked.append(host)
        if self.lost:
            self.lost -= 1
        elif host not in self.silent:
            self.loop.call_later(0.001, self._deliver, sender, host, data)

    def _deliver(self, sender, host, data):
        survey = self.surveys[host]
        is_question = data[0] == WORK_QUESTION_TYPE
        take = survey.receive_question if is_question else survey.receive_reply
        take(data, sender)

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def add(self, host):
        """Have a VM's record be written."""
        self.membership.hosts.append(host)
        for survey in self.surveys.values():
            survey.update_members()

    def remove(self, host):
        """Have a VM stop; it is no longer known before its last requests have ended."""
        self.membership.hosts.remove(host)
        for survey in self.surveys.values():
            survey.update_members()

    def is_idle(self):
        """Return what the first VM finds out."""
        survey = self.surveys[HOSTS[0]]
        return self.loop.run_until_complete(survey.is_idle(OWNER, WITHHOLD_SECONDS))


@pytest.fixture
def fleet():
    with virtual_loop() as loop:
        yield Fleet(loop)


class TestIsIdle:
    def test_no_vm_has_requests(self, fleet):
        before = now()
        assert fleet.is_idle()
        assert now() - before < 0.05

    @pytest.mark.parametrize("host", HOSTS)
    def test_any_vm_has_requests(self, fleet, host):
        # Guards against giving on the keys of a target that completes requests.
        fleet.clients[host].is_busy = True
        assert not fleet.is_idle()

    def test_vms_without_requests_send_nothing_more(self, fleet):
        # Guards against a request that is sent over a kept connection once the keys
        # have been granted to another target.
        fleet.is_idle()
        for clients in fleet.clients.values():
            assert not clients.sent_requests.may_send(OWNER)
        fleet.run(WITHHOLD_SECONDS + 0.1)
        for clients in fleet.clients.values():
            assert clients.sent_requests.may_send(OWNER)

    def test_vm_with_requests_may_send_more(self, fleet):
        fleet.clients[HOSTS[1]].is_busy = True
        fleet.is_idle()
        assert fleet.clients[HOSTS[1]].sent_requests.may_send(OWNER)

    def test_vm_that_does_not_answer(self, fleet):
        # Guards against two holders because the VM with requests is cut off or frozen.
        fleet.silent.add(HOSTS[2])
        assert not fleet.is_idle()

    def test_lost_datagram_is_sent_again(self, fleet):
        fleet.lost = 2
        assert fleet.is_idle()

    def test_vm_that_has_just_started(self, fleet):
        # Guards against forgetting the requests of a VM's previous process.
        fleet.start(HOSTS[1])
        assert not fleet.is_idle()
        fleet.run(10.0)
        assert fleet.is_idle()

    def test_vm_that_knows_no_configuration_yet(self, fleet):
        # Guards against the same before it knows how long requests may last.
        fleet.start(HOSTS[1])
        fleet.surveys[HOSTS[1]]._cluster_view = ClusterView()
        fleet.run(10.0)
        assert not fleet.is_idle()

    def test_stopping_vm_that_is_no_longer_known(self, fleet):
        # Guards against passing over the last requests of a VM that stops.
        fleet.remove(HOSTS[1])
        fleet.clients[HOSTS[1]].is_busy = True
        assert not fleet.is_idle()
        fleet.silent.add(HOSTS[1])
        assert not fleet.is_idle()
        fleet.run(DEPARTED_VM_SECONDS)
        assert fleet.is_idle()

    def test_vm_that_returns(self, fleet):
        # Guards against forgetting a VM whose record lapsed and was written again.
        fleet.remove(HOSTS[1])
        fleet.add(HOSTS[1])
        fleet.run(DEPARTED_VM_SECONDS)
        fleet.silent.add(HOSTS[1])
        assert not fleet.is_idle()

    @pytest.mark.parametrize("is_silent", [False, True])
    def test_vm_in_doubt_is_asked_before_all_others(self, fleet, is_silent):
        # Guards against hundreds of questions for each of many targets that crash while
        # one VM cannot be asked.
        if is_silent:
            fleet.silent.add(HOSTS[2])
        else:
            fleet.clients[HOSTS[2]].is_busy = True
        fleet.is_idle()
        fleet.asked.clear()
        fleet.is_idle()
        assert set(fleet.asked) == {HOSTS[2]}
        fleet.silent.clear()
        fleet.clients[HOSTS[2]].is_busy = False
        assert fleet.is_idle()

    def test_vm_alone(self, fleet):
        for host in HOSTS[1:]:
            fleet.remove(host)
        fleet.run(DEPARTED_VM_SECONDS)
        assert fleet.is_idle()
        fleet.clients[HOSTS[0]].is_busy = True
        assert not fleet.is_idle()

    def test_answer_to_an_earlier_question_counts_for_nothing(self, fleet):
        fleet.silent.add(HOSTS[2])
        survey = fleet.surveys[HOSTS[0]]
        old = survey._next_number
        fleet.is_idle()
        asking = fleet.loop.create_task(survey.is_idle(OWNER, WITHHOLD_SECONDS))
        fleet.run(0.01)
        survey.receive_reply(WorkReply(old, False).encode(), HOSTS[2])
        assert not fleet.loop.run_until_complete(asking)


class TestMessages:
    def test_question(self):
        decoded = WorkQuestion.decode(WorkQuestion(7, "i-é", 1 << 40, 3.05).encode())
        assert (decoded.number, decoded.identity) == (7, ("i-é", 1 << 40))
        assert decoded.withhold_seconds == pytest.approx(3.05)

    @pytest.mark.parametrize("may_run", [False, True])
    def test_reply(self, may_run):
        decoded = WorkReply.decode(WorkReply(7, may_run).encode())
        assert (decoded.number, decoded.may_run) == (7, may_run)

    @pytest.mark.parametrize("data", [b"", b"\x22abc", b"\x22" + 16 * b"\0" + b"\xff"])
    def test_invalid_question(self, data):
        with pytest.raises(InvalidRecord, match="work question"):
            WorkQuestion.decode(data)

    @pytest.mark.parametrize("data", [b"", b"\x23abc", b"\x23" + 9 * b"\0"])
    def test_invalid_reply(self, data):
        with pytest.raises(InvalidRecord, match="work reply"):
            WorkReply.decode(data)
