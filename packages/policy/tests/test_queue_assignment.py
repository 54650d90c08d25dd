"""Tests of the assignment of queues to VMs."""

from __future__ import annotations

from collections import Counter

from berylstage_policy.candidates import Candidate
from berylstage_policy.queue_assignment import MAX_SERVERS_PER_QUEUE, queue_servers

QUEUES = [f"q{n}" for n in range(300)]


def equal_candidates(count):
    return [Candidate(f"vm-{n}", 1.0) for n in range(count)]


class TestKeepers:
    def test_queues_are_spread_over_the_vms(self):
        firsts = Counter(
            queue_servers(queue, equal_candidates(6))[0] for queue in QUEUES
        )
        assert len(firsts) == 6
        assert max(firsts.values()) < 2 * 300 / 6

    def test_loss_of_a_vm_moves_only_its_own_queues(self):
        for queue in QUEUES:
            first, second = queue_servers(queue, equal_candidates(6))
            left = [c for c in equal_candidates(6) if c.name != first]
            assert queue_servers(queue, left)[0] == second
            left = [c for c in equal_candidates(6) if c.name not in (first, second)]
            assert queue_servers(queue, [*left, Candidate(first, 1.0)])[0] == first

    def test_small_vms_serve_no_queue_beside_large_ones(self):
        # A VM of half a core answers late under load, and all requests of its queues
        # wait for it.
        mixed = [
            *equal_candidates(2),
            *(Candidate(f"small-{n}", 0.1) for n in range(18)),
        ]
        assert {vm for q in QUEUES for vm in queue_servers(q, mixed)} == {
            "vm-0",
            "vm-1",
        }

    def test_no_vm_serves_a_queue_if_none_is_known(self):
        assert queue_servers("q", []) == []
        assert len(queue_servers("q", equal_candidates(9))) == MAX_SERVERS_PER_QUEUE
