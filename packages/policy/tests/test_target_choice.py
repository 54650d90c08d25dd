"""Tests of target selection for services without key ownership."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from berylstage_policy.target_choice import TargetChoice
from berylstage_policy.thresholds import DEFAULTS

NAMES = [f"contract-book-{i:02}" for i in range(10)]


@pytest.fixture
def choice():
    found = TargetChoice(DEFAULTS, Random(1))
    for name in NAMES:
        found.set_target(name, 2)
    return found


def complete_request(choice, name, at, seconds, number=0):
    choice.record_sent(name, f"{name}/{number}", at)
    choice.record_end(name, f"{name}/{number}", at + seconds, True)


def record_typical_answers(choice, at=0.0, slow=()):
    for number in range(10):
        for name in NAMES:
            seconds = 0.2 if name in slow else 0.02
            complete_request(choice, name, at + number * 0.1, seconds, number)


def count_choices(choice, now, count=2000):
    return Counter(choice.choose(NAMES, now) for _ in range(count))


class TestStragglers:
    def test_slow_target_is_avoided_while_others_are_healthy(self, choice):
        # One target out of ten is ten times slower; a tenth of the requests would hit
        # it.
        record_typical_answers(choice, slow=NAMES[:1])
        assert NAMES[0] not in count_choices(choice, 1.2)

    def test_stalled_target_is_detected_before_it_answers(self, choice):
        # The target stalls while it runs a request of this VM. Its load report and its
        # answer both arrive too late to protect the next callers.
        record_typical_answers(choice)
        choice.record_sent(NAMES[0], "stuck", 1.2)
        assert choice.is_straggler(NAMES[0], 1.4)
        assert NAMES[0] not in count_choices(choice, 1.4)

    def test_recovered_target_is_tried_again(self, choice):
        record_typical_answers(choice, slow=NAMES[:1])
        later = 1.2 + DEFAULTS["choice_memory"]
        assert count_choices(choice, later)[NAMES[0]] > 0

    def test_when_all_are_slow_all_are_used(self, choice):
        # The whole service slows down. If every target were avoided, nothing would be
        # sent, or all requests would go to one target.
        record_typical_answers(choice)
        for number in range(50):
            for name in NAMES:
                complete_request(choice, name, 2.0 + number * 0.3, 0.2, number)
        choices = Counter()
        for number in range(60):
            name = choice.choose(NAMES, 17.2)
            choice.record_sent(name, f"more-{number}", 17.2)
            choices[name] += 1
        assert len(choices) == 10
        assert max(choices.values()) <= 12

    def test_failed_target_is_avoided(self, choice):
        record_typical_answers(choice)
        choice.record_sent(NAMES[3], "lost", 1.2)
        choice.record_end(NAMES[3], "lost", 1.25, False)
        assert NAMES[3] not in count_choices(choice, 1.3)


class TestLoad:
    def test_target_with_more_of_our_requests_gets_less(self, choice):
        record_typical_answers(choice)
        for name in NAMES[:5]:
            for number in range(6):
                choice.record_sent(name, f"out-{number}", 1.1, "other")
        choices = count_choices(choice, 1.2)
        assert sum(choices[name] for name in NAMES[:5]) < 2000 * 0.3

    def test_report_of_an_idle_target_does_not_attract_all_vms(self, choice):
        # All VMs learn late of the same idle target. If they relied on the report, it
        # would get the traffic of all VMs until the next one.
        record_typical_answers(choice)
        for _ in range(50):
            for name in NAMES[1:]:
                choice.update_queue_length(name, 4)
            choice.update_queue_length(NAMES[0], 0)
        assert count_choices(choice, 1.2)[NAMES[0]] < 2000 * 0.13

    def test_overused_target_that_this_vm_leads_is_not_preferred(self, choice):
        # The load balancer sends half of all traffic to this VM. The targets that it
        # leads would receive that half while the others are idle.
        record_typical_answers(choice)
        for _ in range(50):
            for name in NAMES:
                choice.update_queue_length(name, 2 if name == NAMES[7] else 1)
        choices = Counter(choice.choose(NAMES, 1.2, [NAMES[7]]) for _ in range(2000))
        assert choices[NAMES[7]] < 2000 * 0.13

    def test_idle_target_that_this_vm_leads_is_preferred(self, choice):
        record_typical_answers(choice)
        assert choice.choose(NAMES, 1.2, [NAMES[7]]) == NAMES[7]

    def test_idle_straggler_that_this_vm_leads_is_not_preferred(self, choice):
        record_typical_answers(choice, slow=NAMES[7:8])
        assert choice.choose(NAMES, 1.2, [NAMES[7]]) != NAMES[7]

    def test_single_target_is_chosen_even_if_it_is_slow(self, choice):
        record_typical_answers(choice, slow=NAMES[:1])
        assert choice.choose(NAMES[:1], 1.2) == NAMES[0]
