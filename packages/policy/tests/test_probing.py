"""Tests of asking targets for their load."""

from __future__ import annotations

from collections import Counter

from berylstage_policy.probing import is_due, prober

INF = float("inf")


class TestIsDue:
    def test_busy_target_is_not_asked(self):
        assert not is_due(0.05, 0.0, False)

    def test_target_of_which_nothing_was_heard_for_long_is_asked(self):
        # A machine was slow when it was heard of last, so nobody sends there. It has
        # been fast again for a while and stands idle beside targets with queues.
        assert is_due(0.2, 0.0, False)

    def test_owner_of_keys_is_asked_rarely(self):
        assert not is_due(0.5, 0.0, True)
        assert is_due(1.5, 0.0, True)

    def test_service_without_requests_costs_nothing(self):
        assert not is_due(60.0, 60.0, False)

    def test_new_target_is_asked_before_the_first_request(self):
        assert is_due(INF, INF, True)


class TestProber:
    def test_each_target_has_one_vm_and_each_vm_a_like_share(self):
        vms = [f"vm-{i}" for i in range(10)]
        counts = Counter(prober(f"t-{i}", vms) for i in range(1000))
        assert len(counts) == 10
        assert max(counts.values()) < 150

    def test_loss_of_a_vm_moves_only_its_own_targets(self):
        vms = [f"vm-{i}" for i in range(10)]
        for i in range(200):
            before = prober(f"t-{i}", vms)
            after = prober(f"t-{i}", vms[:-1])
            assert after == before or before == "vm-9"
