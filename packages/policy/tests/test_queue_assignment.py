"""Tests of which VM keeps a queue."""

from __future__ import annotations

from collections import Counter

from berylstage_policy.candidates import Candidate
from berylstage_policy.queue_assignment import TRIED, keepers

QUEUES = [f"q{n}" for n in range(300)]


def equals(count):
    return [Candidate(f"vm-{n}", 1.0) for n in range(count)]


class TestKeepers:
    def test_queues_are_spread(self):
        firsts = Counter(keepers(queue, equals(6))[0] for queue in QUEUES)
        assert len(firsts) == 6
        assert max(firsts.values()) < 2 * 300 / 6

    def test_lost_vm_leaves_its_own_queues_only(self):
        for queue in QUEUES:
            first, second = keepers(queue, equals(6))
            left = [c for c in equals(6) if c.name != first]
            assert keepers(queue, left)[0] == second
            left = [c for c in equals(6) if c.name not in (first, second)]
            assert keepers(queue, [*left, Candidate(first, 1.0)])[0] == first

    def test_small_vms_keep_none_beside_large_ones(self):
        # A VM of half a core answers late when requests crowd it, and all requests of
        # its queues wait for it.
        mixed = [*equals(2), *(Candidate(f"small-{n}", 0.1) for n in range(18))]
        assert {vm for q in QUEUES for vm in keepers(q, mixed)} == {"vm-0", "vm-1"}

    def test_nobody_keeps_a_queue_where_no_vm_is_known(self):
        assert keepers("q", []) == []
        assert len(keepers("q", equals(9))) == TRIED
