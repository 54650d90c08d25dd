"""Tests of which VMs are told what one has heard."""

from __future__ import annotations

from berylstage_policy.relays import FAR_RELAYS, PASSED_OVER, SILENCE, Relays, ranked

NEAR = [f"10.0.0.{n}" for n in range(1, 19)]
FAR = [[f"10.0.{c}.{n}" for n in range(1, 19)] for c in (1, 2, 3)]


def relays(own, near=NEAR, far=FAR):
    each = Relays(own)
    each.know(near, far)
    return each


class TestRelays:
    def test_all_vms_of_a_data_centre_have_the_same_relay(self):
        assert {relays(own).relay(0.0) for own in NEAR} == {ranked(NEAR)[0]}

    def test_few_vms_tell_each_other(self):
        assert relays(NEAR[0], NEAR[:4]).is_mesh
        assert not relays(NEAR[0]).is_mesh

    def test_lost_relay_is_passed_over(self):
        # The relay is killed. Its record stays for as long as its lease, and without
        # another relay the VMs of its data centre hear nothing of load for 20 s.
        first, second = ranked(NEAR)[:2]
        own = next(host for host in NEAR if host not in (first, second))
        each = relays(own)
        each.told(first, 10.0)
        each.told(first, 10.0 + SILENCE + 0.1)
        assert each.relay(10.0 + SILENCE + 0.1) == second
        assert each.relay(10.0 + SILENCE + 0.2 + PASSED_OVER) == first

    def test_relay_that_answers_is_kept(self):
        first = ranked(NEAR)[0]
        own = next(host for host in NEAR if host != first)
        each = relays(own)
        for tick in range(100):
            each.told(first, tick * 0.1)
            each.heard(first)
        assert each.relay(10.0) == first

    def test_lost_relay_of_few_vms_is_passed_over(self):
        # Three VMs tell each other; one of them, which tells the other data centres
        # for all, is killed.
        near = ranked(NEAR[:3])
        each = relays(near[1], near)
        for tick in range(10):
            each.told_all(10 + tick * 0.1)
            each.heard(near[2])
        assert each.relay(11.0) == near[1]

    def test_vm_without_neighbours_is_its_own_relay(self):
        assert relays("10.0.0.1", []).relay(0.0) == "10.0.0.1"

    def test_two_vms_of_another_data_centre_are_told_in_turn(self):
        # One of them may be lost, and nobody answers from there.
        each = relays(NEAR[0])
        told = [tuple(each.far_relays()) for _ in range(10)]
        for centre, hosts in enumerate(FAR):
            assert {t[centre] for t in told} == set(ranked(hosts)[:FAR_RELAYS])

    def test_few_vms_elsewhere_are_told_by_each(self):
        assert relays(NEAR[0], NEAR[:3], [FAR[0][:3], FAR[1][:4]]).is_far_mesh
        assert not relays(NEAR[0]).is_far_mesh

    def test_datagrams_of_a_round_grow_with_the_vms(self):
        # 76 VMs in 4 data centres hear of targets all the time. When each tells each, a
        # round takes 5,700 datagrams.
        near = [relays(own) for own in NEAR]
        sent = 0
        for each, own in zip(near, NEAR, strict=True):
            is_relay = each.relay(0.0) == own
            sent += len(each.neighbours) + len(each.far_relays()) if is_relay else 1
        assert sent <= 3 * len(NEAR)
