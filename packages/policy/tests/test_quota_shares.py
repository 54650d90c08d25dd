"""Tests of lending the shares of quotas."""

from __future__ import annotations

import pytest
from berylstage_policy.quota_shares import (
    GROUPS,
    LOAN_SECONDS,
    RENEWAL_SECONDS,
    QuotaBounds,
    ShareLender,
    SharePool,
    choose_servers,
    group_of,
    rank_for_group,
)

ALL_GROUPS = (1 << GROUPS) - 1


def free_lender():
    lender = ShareLender(0.0)
    lender.free_unlent(0.0)
    return lender


class TestShareLender:
    def test_new_process_waits_for_the_loans_of_the_earlier_one(self):
        # Guards against a share that is used twice after its VM was killed.
        lender = ShareLender(100.0)
        assert not lender.is_free(0, 100.0 + 0.9 * LOAN_SECONDS)
        assert lender.renew(["a"] * GROUPS, 100.1) == {}
        assert lender.is_free(0, 100.0 + LOAN_SECONDS)

    def test_share_moves_only_after_the_loan_has_expired(self):
        # Guards against two servers that hand out the same share.
        lender = free_lender()
        assert lender.renew(["a"] * GROUPS, 100.0) == {"a": ALL_GROUPS}
        assert lender.renew(["b"] * GROUPS, 100.1) == {}
        assert not lender.is_free(3, 100.5)
        assert lender.renew(["b"] * GROUPS, 100.0 + LOAN_SECONDS) == {"b": ALL_GROUPS}

    def test_renewal_prolongs_the_loan(self):
        lender = free_lender()
        lender.renew(["a"] * GROUPS, 100.0)
        lender.renew(["a"] * GROUPS, 100.0 + RENEWAL_SECONDS)
        assert not lender.is_free(0, 100.0 + LOAN_SECONDS)

    def test_returned_share_is_free_at_once(self):
        lender = free_lender()
        lender.renew(["a"] * (GROUPS - 1) + ["b"], 100.0)
        lender.take_back("a", 100.1)
        assert lender.is_free(0, 100.1)
        assert not lender.is_free(GROUPS - 1, 100.1)
        assert not lender.has_lent("a")
        assert lender.has_lent("b")


class TestSharePool:
    def test_loan_counts_from_the_stamp_and_not_from_its_arrival(self):
        # Guards against a renewal that was on its way for seconds.
        pool = SharePool()
        assert pool.renew("vm", ALL_GROUPS, 100.0, 100.4)
        assert pool.lenders(0, 100.5) == 1
        assert pool.lenders(0, 100.0 + LOAN_SECONDS) == 0

    def test_older_renewal_does_not_replace_a_newer_one(self):
        # Guards against a renewal of an earlier process that arrives late.
        pool = SharePool()
        pool.renew("vm", 0, 100.2, 100.3)
        assert not pool.renew("vm", ALL_GROUPS, 100.1, 100.3)
        assert pool.lenders(0, 100.4) == 0

    def test_stamp_from_the_future_is_not_accepted(self):
        # Guards against a stamp from before the machine's start.
        assert not SharePool().renew("vm", ALL_GROUPS, 200.0, 100.0)

    def test_counts_each_group_apart(self):
        pool = SharePool()
        pool.renew("a", 0b01, 100.0, 100.0)
        pool.renew("b", 0b11, 100.0, 100.0)
        assert [pool.lenders(group, 100.1) for group in range(3)] == [2, 1, 0]

    def test_knows_since_when_a_group_has_had_a_lender(self):
        pool = SharePool()
        pool.renew("a", 0b1, 100.0, 100.0)
        pool.renew("a", 0b1, 100.3, 100.3)
        pool.renew("b", 0b1, 100.4, 100.4)
        assert pool.held_since(0) == 100.0
        pool.renew("a", 0b1, 105.0, 105.0)
        assert pool.held_since(0) == 105.0

    def test_closed_pool_uses_nothing(self):
        pool = SharePool()
        pool.renew("a", ALL_GROUPS, 100.0, 100.0)
        pool.close()
        assert pool.lenders(0, 100.0) == 0
        assert not pool.renew("a", ALL_GROUPS, 100.1, 100.1)


class TestChoice:
    def test_number_of_servers_grows_with_the_vms(self):
        hosts = [f"vm-{n}" for n in range(100)]
        assert len(choose_servers(hosts, 10)) == 2
        assert len(choose_servers(hosts, 68)) == 3
        assert len(choose_servers(hosts[:1], 68)) == 1

    def test_groups_are_spread_over_the_servers(self):
        servers = [f"vm-{n}" for n in range(3)]
        first = [rank_for_group(group, servers)[0] for group in range(GROUPS)]
        assert set(first) == set(servers)

    def test_loss_of_a_server_moves_only_its_groups(self):
        servers = [f"vm-{n}" for n in range(4)]
        for group in range(GROUPS):
            ranked = rank_for_group(group, servers)
            rest = rank_for_group(group, [s for s in servers if s != ranked[0]])
            assert rest == ranked[1:]

    def test_group_is_in_range(self):
        assert all(0 <= group_of(f"w-{n}") < GROUPS for n in range(200))


class TestBounds:
    @pytest.mark.parametrize(("rate", "expected"), [(10.0, 26.0), (0.0, 20.0)])
    def test_tolerance_is_a_share_and_a_number_of_requests(self, rate, expected):
        assert QuotaBounds(5.0, 0.1, 20.0).tolerance(rate, rate) == expected
