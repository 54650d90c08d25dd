"""Tests of the rest that targets ask of a VM, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.notice_messages import RestNotice
from berylstage_entry.permit_messages import checksum
from berylstage_entry.protocols import Record
from berylstage_entry.target_admission import TargetAdmission
from berylstage_entry.target_rests import TargetRests
from berylstage_policy.target_rests import TargetRest
from fakes import target
from notice_fleet import NoticeFleet
from test_router import ScriptedPermits
from virtual_time import virtual_loop

OWNER = "t-0"


@pytest.fixture
def loop():
    with virtual_loop() as loop:
        yield loop


class TestOwnerAtRest:
    @pytest.mark.parametrize("max_delay", [0.002, 0.05, 0.2])
    def test_owner_gets_its_rest(self, loop, max_delay):
        fleet = NoticeFleet(loop)
        fleet.max_delay = max_delay
        fleet.targets[OWNER].rest_seconds = 3.0
        fleet.run(8.0, 60.0)
        assert len(fleet.rests) > 3
        assert fleet.find_disturbed_rests() == []

    def test_request_is_refused_at_once_with_a_time_to_return(self, loop):
        # Guards against callers that wait for a target which takes nothing.
        fleet = NoticeFleet(loop)
        fleet.targets[OWNER].rest_seconds = 3.0
        fleet.run(1.0, 60.0)
        fleet.outcomes.clear()
        fleet.run(1.0, 60.0)
        assert max(seconds for seconds, _, _ in fleet.outcomes) < 0.01
        refusals = [exc for _, _, exc in fleet.outcomes]
        assert {exc.reason for exc in refusals} == {"target-rest"}
        assert all(0.05 <= exc.retry_after <= 0.4 for exc in refusals)

    def test_owner_is_used_again_after_its_rest(self, loop):
        fleet = NoticeFleet(loop)
        fleet.targets[OWNER].rest_seconds = 2.0
        fleet.run(1.0, 60.0)
        fleet.targets[OWNER].rest_seconds = 0.0
        fleet.run(2.2, 60.0)
        fleet.outcomes.clear()
        fleet.run(1.0, 60.0)
        assert {status for _, status, _ in fleet.outcomes} == {200}

    def test_rest_is_asked_of_one_vm_alone(self, loop):
        # Guards against VMs that give up a target which serves them.
        fleet = NoticeFleet(loop, vms=2)
        fleet.vms[0].router.target_notices.rests.record(target(OWNER), 3.0)
        fleet.run(1.0, 60.0)
        served = {a.vm for a in fleet.arrivals}
        assert served == {fleet.vms[1]}

    def test_new_incarnation_needs_no_rest(self, loop):
        fleet = NoticeFleet(loop, vms=1)
        vm = fleet.vms[0]
        vm.router.target_notices.rests.record(target(OWNER), 3.0)
        vm.view.apply(Record(target=target(OWNER, 2)), now(), False)
        fleet.run(0.5, 20.0)
        assert fleet.arrivals

    def test_request_that_waits_for_a_permit_does_not_disturb_the_rest(self, loop):
        fleet = NoticeFleet(loop, vms=1)
        router = fleet.vms[0].router

        class Waiting(ScriptedPermits):
            async def acquire(self, ctx, queue, data_centre=""):
                router.target_notices.rests.record(target(OWNER), 3.0)
                return await super().acquire(ctx, queue, data_centre)

        router.permit_client = permits = Waiting(*[OWNER] * 99)
        fleet.run(0.5, 20.0)
        assert fleet.arrivals == []
        assert len(permits.released) == len(permits.queues) == 1


class TestServiceWithATargetAtRest:
    def test_requests_go_to_another_target(self, loop):
        # Guards against refusing requests that another target would serve.
        fleet = NoticeFleet(loop, owns_keys=False)
        fleet.targets[OWNER].rest_seconds = 3.0
        fleet.run(6.0, 60.0)
        assert fleet.find_disturbed_rests() == []
        assert {status for _, status, _ in fleet.outcomes} == {200}

    def test_all_targets_at_rest(self, loop):
        fleet = NoticeFleet(loop, owns_keys=False)
        for played in fleet.targets.values():
            played.rest_seconds = 3.0
        fleet.run(6.0, 60.0)
        assert fleet.find_disturbed_rests() == []
        refusals = [exc for _, _, exc in fleet.outcomes]
        # The first requests ask all targets.
        first, later = refusals[:10], refusals[10:]
        assert {exc.reason for exc in first} <= {"targets-ask-for-less", "budget"}
        assert {exc.reason for exc in later} == {"targets-ask-for-less"}
        assert max(exc.retry_after for exc in refusals) <= 1.25

    def test_permit_for_a_target_at_rest_is_released(self, loop):
        # The permit server does not know of this VM's rest.
        fleet = NoticeFleet(loop, owns_keys=False, vms=1)
        router = fleet.vms[0].router
        router.target_notices.rests.record(target(OWNER), 3.0)
        router.permit_client = permits = ScriptedPermits(*[OWNER] * 99)
        fleet.run(1.0, 20.0)
        assert {a.target for a in fleet.arrivals} == {"t-1"}
        assert len(permits.released) == len(permits.queues)


class TestRestsAtRandom:
    @pytest.mark.parametrize("seed", range(8))
    def test_targets_rest_and_vms_start_again(self, loop, seed):
        rng = Random(f"rests {seed}")
        fleet = NoticeFleet(loop, rng.random() < 0.7, rng.choice([2, 5]), 3, seed)
        for _ in range(8):
            played = fleet.targets[f"t-{rng.randrange(3)}"]
            played.rest_seconds = rng.choice([0.0, 0.8, 3.0, 6.0])
            if rng.random() < 0.4:
                fleet.restart(rng.randrange(len(fleet.vms)))
            fleet.max_delay = rng.choice([0.002, 0.05, 0.2])
            fleet.run(rng.uniform(0.3, 3.0), 60.0)
        assert fleet.find_disturbed_rests() == []


class TestRestMutations:
    """Without a rule, a play finds requests in a rest."""

    def play(self, loop):
        fleet = NoticeFleet(loop)
        fleet.targets[OWNER].rest_seconds = 3.0
        fleet.run(8.0, 60.0)
        return fleet.find_disturbed_rests()

    def test_finds_a_rest_that_is_forgotten(self, loop, monkeypatch):
        monkeypatch.setattr(TargetRest, "extend", lambda rest, seconds, at: None)
        assert self.play(loop)

    def test_finds_a_rest_that_a_later_answer_shortens(self, loop, monkeypatch):
        def extend(rest, seconds, at):
            rest.until = at + seconds / 2

        monkeypatch.setattr(TargetRest, "extend", extend)
        assert self.play(loop)

    def test_finds_owners_that_are_not_checked(self, loop, monkeypatch):
        monkeypatch.setattr(
            TargetAdmission, "_check_rest", lambda admission, name: None
        )
        monkeypatch.setattr(
            TargetAdmission, "is_valid", lambda admission, ctx, name: True
        )
        assert self.play(loop)


class TestCoordinator:
    """What the coordinator knows of the rests of other VMs."""

    @pytest.fixture
    def rests(self):
        view = ClusterView()
        view.apply(Record(target=target("a")), now(), False)
        rests = TargetRests(view)
        rests.vm_count = 4
        return rests

    def notice(self, seconds, incarnation=1):
        return RestNotice(checksum("a"), incarnation, seconds).encode()

    def test_share_of_vms_that_may_send(self, rests):
        assert rests.available_share("a") == 1.0
        rests.record(target("a"), 3.0)
        for host in ("10.0.0.2", "10.0.0.3", "10.0.0.3"):
            rests.receive_notice(self.notice(3.0), host)
        assert rests.available_share("a") == 0.25
        assert rests.available_share("b") == 1.0

    def test_rest_that_is_over_does_not_count(self, rests):
        rests.receive_notice(self.notice(0.0), "10.0.0.2")
        assert rests.available_share("a") == 1.0

    @pytest.mark.parametrize("data", [b"", b"\x20x"])
    def test_invalid_notice_is_ignored(self, rests, data):
        rests.receive_notice(data, "10.0.0.2")
        assert rests.available_share("a") == 1.0

    def test_notice_of_an_earlier_incarnation_is_ignored(self, rests):
        rests.receive_notice(self.notice(3.0, 7), "10.0.0.2")
        assert rests.available_share("a") == 1.0

    def test_coordinator_is_told_once_of_a_rest(self, rests):
        # Guards against a datagram for each request that a target turns away.
        sent = []
        rests.send_to_coordinator = sent.append
        for _ in range(20):
            rests.record(target("a"), 3.0)
        assert len(sent) == 1
        assert RestNotice.decode(sent[0]).seconds == pytest.approx(3.0, abs=0.01)

    def test_rest_is_remembered_while_a_record_lapses(self, rests):
        # Guards against a rest that is forgotten because of an outage of the store.
        rests.record(target("a"), 3.0)
        rests._cluster_view.apply(Record(removed_target="a"), now(), False)
        rests.prune()
        rests._cluster_view.apply(Record(target=target("a")), now(), False)
        assert rests.seconds_left("a") > 2.9

    def test_rest_that_is_over_is_dropped(self, loop, rests):
        rests.record(target("a"), 1.0)
        loop.run_until_complete(asyncio.sleep(1.1))
        rests.prune()
        assert rests._rests == rests._by_vm == {}
