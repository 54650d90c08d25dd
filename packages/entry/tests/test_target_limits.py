"""Tests of what a VM knows of the limits that targets name."""

from __future__ import annotations

import asyncio
from random import Random

import logbook
import pytest
from berylstage_entry import quota_server
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.notice_messages import LimitNotice
from berylstage_entry.protocols import Record
from berylstage_entry.quota_client import QuotaClient
from berylstage_entry.target_limits import LIMIT_LINES_PER_SECOND, TargetLimits
from berylstage_entry.targets import TargetNotice
from berylstage_policy.quota_shares import SharePool
from berylstage_policy.target_limits import TargetLimit
from fakes import target
from limit_fleet import LimitFleet
from virtual_time import virtual_loop


def make_limits():
    view = ClusterView()
    view.apply(Record(target=target("a")), now(), False)
    return TargetLimits(view)


def logged(*notices):
    """Return the log lines that answers of one target cause."""
    limits = make_limits()
    with logbook.TestHandler() as lines:
        for notice in notices:
            limits.record_notice(target("a"), notice, now())
    return [(r.message, r.extra["before"], r.extra["limit"]) for r in lines.records]


class TestLog:
    def test_each_change_of_a_limit_is_logged_once(self):
        notices = [TargetNotice(n) for n in (None, 3.0, 3.0, 2.0, None, None)]
        changes = [(None, 3.0), (3.0, 2.0), (2.0, None)]
        assert logged(*notices) == [
            ("limit of a target changed", *change) for change in changes
        ]

    def test_invalid_limit_changes_nothing(self):
        # Guards against a limit that ends because of a garbled header.
        limits = make_limits()
        with logbook.TestHandler() as lines:
            for notice in (TargetNotice(3.0), TargetNotice(is_limit_invalid=True)):
                limits.record_notice(target("a"), notice, now())
        assert limits.rate("a") == 3.0
        assert lines.records[-1].message == "invalid limit of a target ignored"

    def test_number_of_lines_is_bounded(self):
        # Guards against a target that names another limit in each answer.
        lines = logged(*(TargetNotice(float(n)) for n in range(1, 500)))
        assert len(lines) <= 3 * LIMIT_LINES_PER_SECOND


class TestTelling:
    """When a VM tells the others what a target names."""

    def tell(self, rates, vms=11, seconds=0.01):
        """Return the limits told while a target names limits one after the other."""
        with virtual_loop() as loop:
            limits, told = make_limits(), []
            limits.vm_count = vms
            limits.send = lambda data: told.append(LimitNotice.decode(data).rate)
            for rate in rates:
                limits.record_notice(target("a"), TargetNotice(rate), now())
                loop.run_until_complete(asyncio.sleep(seconds))
            return told

    def test_change_is_told_at_once(self):
        assert self.tell([3.0, 3.0, 2.0, 2.0, None]) == [3.0, 2.0, None]

    def test_small_changes_are_told_now_and_then(self):
        # Guards against a datagram to all VMs for each answer.
        rates = [3.0 + n % 2 / 10 for n in range(300)]
        assert len(self.tell(rates)) <= 4

    @pytest.mark.parametrize(("vms", "times"), [(11, 10), (195, 3)])
    def test_standing_limit_is_told_again(self, vms, times):
        # A datagram may have been lost, and a VM may have started since.
        assert len(self.tell([3.0] * 100, vms, 0.1)) == times


class TestPrune:
    """How long a limit is remembered."""

    @pytest.mark.parametrize(
        ("seconds", "returns", "rate"), [(9.0, True, 3.0), (31.0, False, None)]
    )
    def test_record_that_lapses(self, seconds, returns, rate):
        # Guards against a limit that is forgotten because of an outage of the store.
        with virtual_loop() as loop:
            limits = make_limits()
            view = limits._cluster_view
            limits.record_notice(target("a"), TargetNotice(3.0), now())
            view.apply(Record(removed_target="a"), now(), False)
            limits.prune()
            loop.run_until_complete(asyncio.sleep(seconds))
            limits.prune()
            view.apply(Record(target=target("a")), now(), False)
            assert limits.rate("a") == rate

    def test_next_incarnation_has_no_limit(self):
        limits = make_limits()
        limits.record_notice(target("a"), TargetNotice(3.0), now())
        limits._cluster_view.apply(Record(target=target("a", 2)), now(), False)
        assert limits.rate("a") is None


@pytest.fixture(params=[11, 40])
def fleet(request):
    """Return VMs that send to a target, few or more than its limit."""
    with virtual_loop() as loop:
        fleet = LimitFleet(loop, request.param)
        fleet.start()
        yield fleet


@pytest.fixture
def small_fleet():
    with virtual_loop() as loop:
        fleet = LimitFleet(loop)
        fleet.start()
        yield fleet


def assert_within_limit(fleet):
    assert fleet.most_in_a_window() <= fleet.allowed_in_a_window()


class TestLimit:
    """A target gets no more than it accepts from all VMs together."""

    @pytest.mark.parametrize("limit", [0.0, 0.1, 1.0, 3.1, 20.0])
    def test_limit_is_kept_and_used(self, fleet, limit):
        fleet.run(1.0, 40.0)
        fleet.set_limit(limit)
        fleet.run(20.0, 40.0)
        assert_within_limit(fleet)
        assert fleet.served(fleet.named_at + 5.0) >= 0.8 * 15.0 * limit

    def test_limit_is_kept_and_used_by_hundreds_of_vms(self):
        with virtual_loop() as loop:
            fleet = LimitFleet(loop, 195)
            fleet.start()
            fleet.set_limit(3.0)
            fleet.run(7.0, 60.0)
            assert_within_limit(fleet)
            assert fleet.served(fleet.named_at + 3.0) >= 0.8 * 4.0 * 3.0

    def test_limit_of_a_target_with_few_requests_refuses_none(self, small_fleet):
        small_fleet.set_limit(10.0)
        small_fleet.run(20.0, 3.0)
        assert len(small_fleet.refusals) <= 2

    def test_limit_that_is_lowered_and_raised(self, fleet):
        for limit in (20.0, 2.0, 8.0):
            fleet.set_limit(limit)
            fleet.run(8.0, 40.0)
            assert_within_limit(fleet)
        assert fleet.served(fleet.named_at + 4.0) >= 0.8 * 4.0 * limit

    @pytest.mark.parametrize("limit", [0.0, 3.0])
    def test_all_is_sent_again_after_the_end_of_a_limit(self, fleet, limit):
        # Guards against a limit that VMs keep because they may not send and so never
        # see an answer without it.
        fleet.set_limit(limit)
        fleet.run(6.0, 40.0)
        fleet.set_limit(None)
        fleet.run(1 / max(limit, 0.2) + 2.0, 40.0)
        fleet.refusals.clear()
        fleet.run(3.0, 40.0)
        assert fleet.refusals == []

    def test_vm_that_misses_the_end_of_a_limit_learns_of_it(self, small_fleet):
        fleet = small_fleet
        fleet.set_limit(3.0)
        fleet.run(4.0, 40.0)
        fleet.cut_off(fleet.hosts[:2], 1)
        fleet.set_limit(None)
        fleet.run(2.0, 40.0, fleet.hosts[2:])
        fleet.cut_off(fleet.hosts[:2], 0)
        fleet.run(8.0, 40.0)
        fleet.refusals.clear()
        fleet.run(3.0, 40.0)
        assert fleet.refusals == []

    def test_answer_from_before_the_limit_does_not_end_it(self, small_fleet):
        # Guards against answers that overtake each other: each slow one would lift the
        # limit at all VMs.
        fleet = small_fleet
        fleet.answer_seconds = (0.01, 8.0)
        fleet.run(3.0, 100.0)
        fleet.set_limit(2.0)
        fleet.run(10.0, 100.0)
        assert_within_limit(fleet)

    def test_lost_answers(self, small_fleet):
        small_fleet.lost_answer_share = 0.5
        small_fleet.set_limit(2.0)
        small_fleet.run(12.0, 60.0)
        assert_within_limit(small_fleet)

    def test_refused_caller_learns_when_to_return(self, small_fleet):
        small_fleet.set_limit(2.0)
        small_fleet.run(5.0, 60.0)
        reasons = {exc.reason for _, _, exc in small_fleet.refusals}
        assert reasons <= {"target-limit", "quota-unknown"}
        delays = {exc.retry_after for _, _, exc in small_fleet.refusals}
        assert max(delays) <= 1.0
        assert len(delays) > 10


class TestLimitUnderFailure:
    def test_quota_server_is_killed(self, fleet):
        fleet.set_limit(3.0)
        fleet.run(4.0, 40.0)
        for _ in range(4):
            client = next(iter(fleet.running.values())).client
            server = next(s for s in client._servers_for("a") if s not in client._lost)
            fleet.restart([server])
            fleet.run(2.0, 40.0)
        assert_within_limit(fleet)

    def test_all_vms_start_again(self, fleet):
        fleet.set_limit(3.0)
        fleet.run(4.0, 40.0)
        fleet.restart(fleet.hosts)
        fleet.set_limit(3.0)
        fleet.run(8.0, 40.0)
        assert_within_limit(fleet)

    @pytest.mark.parametrize("seed", range(6))
    def test_vms_are_lost_and_cut_off_at_random(self, seed):
        with virtual_loop() as loop:
            rng = Random(seed)
            fleet = LimitFleet(loop, rng.choice([11, 40]))
            fleet.start()
            for _ in range(4):
                fleet.set_limit(rng.choice([0.5, 3.0, 10.0]))
                for _ in range(4):
                    self.strike(fleet, rng)
                    fleet.run(rng.choice([0.5, 1.5, 2.5]), 60.0)
                assert_within_limit(fleet)
                fleet.set_limit(None)
                fleet.run(rng.choice([0.5, 3.0]), 60.0)

    def strike(self, fleet, rng):
        some = rng.sample(fleet.hosts, rng.choice([1, 3, 5]))
        match rng.randrange(4):
            case 0:
                fleet.restart(some)
            case 1:
                fleet.cut_off(some, rng.randrange(1, 3))
            case 2:
                fleet.cut_off(fleet.hosts, 0)
            case 3:
                fleet.max_delay = rng.choice([0.002, 0.1])


class TestLimitMutations:
    """Without a rule of the protocol, a play finds more than the limit."""

    def play(self, limit=3.0, answer_seconds=(0.02, 0.3)):
        with virtual_loop() as loop:
            fleet = LimitFleet(loop)
            fleet.answer_seconds = answer_seconds
            fleet.start()
            fleet.run(2.0, 100.0)
            fleet.set_limit(limit)
            fleet.run(10.0, 100.0)
            return fleet.most_in_a_window() / fleet.allowed_in_a_window()

    def test_limit_is_kept_with_all_rules(self):
        assert self.play() <= 1.0
        assert self.play(2.0, (0.01, 8.0)) <= 1.0

    def test_finds_vms_that_ignore_the_limit(self, monkeypatch):
        monkeypatch.setattr(TargetLimits, "find_quota", lambda limits, name: None)
        assert self.play() > 1.0

    def test_finds_vms_that_keep_the_limit_each_for_itself(self, monkeypatch):
        take_own = QuotaClient._take_own

        def take(client, quota, wanted):
            client.vm_count = 1
            return take_own(client, quota, wanted)

        async def request_tokens(client, quota, wanted):
            return client._take_own(quota, wanted)

        monkeypatch.setattr(QuotaClient, "_take_own", take)
        monkeypatch.setattr(QuotaClient, "_request_tokens", request_tokens)
        monkeypatch.setattr(QuotaClient, "_has_quotas", lambda client: False)
        assert self.play() > 1.0

    def test_finds_a_server_that_counts_each_lender_as_all(self, monkeypatch):
        # Both quota servers would hand out the whole limit.
        monkeypatch.setattr(SharePool, "lenders", lambda pool, group, at: 11)
        servers_for = QuotaClient._servers_for

        def shuffled(client, quota):
            servers = list(servers_for(client, quota))
            return servers[:: client._rng.choice([1, -1])]

        monkeypatch.setattr(QuotaClient, "_servers_for", shuffled)
        assert self.play(20.0) > 1.0

    def play_burst(self):
        with virtual_loop() as loop:
            fleet = LimitFleet(loop)
            fleet.start()
            fleet.set_limit(3.0)
            fleet.run(20.0, 1.0)
            fleet.run(4.0, 100.0)
            return fleet.most_in_a_window() / fleet.allowed_in_a_window()

    def test_limit_is_kept_in_a_burst_after_a_quiet_time(self):
        assert self.play_burst() <= 1.0

    def test_finds_a_server_that_keeps_tokens_for_a_burst(self, monkeypatch):
        monkeypatch.setattr(quota_server, "JITTER_SHARE", 4.0)
        assert self.play_burst() > 1.0

    def test_finds_an_end_that_an_old_answer_brings(self, monkeypatch):
        monkeypatch.setattr(TargetLimit, "is_ended_by", lambda limit, sent_at: True)
        assert self.play(2.0, (0.01, 8.0)) > 1.0
