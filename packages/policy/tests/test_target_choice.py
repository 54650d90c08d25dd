"""Tests of the choice among the targets of a free service."""

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


def answer(choice, name, at, seconds, number=0):
    choice.sent(name, f"{name}/{number}", at)
    choice.ended(name, f"{name}/{number}", at + seconds, True)


def warm_up(choice, at=0.0, slow=()):
    for number in range(10):
        for name in NAMES:
            seconds = 0.2 if name in slow else 0.02
            answer(choice, name, at + number * 0.1, seconds, number)


def draw(choice, now, count=2000):
    return Counter(choice.choose(NAMES, now) for _ in range(count))


class TestStragglers:
    def test_slow_target_gets_nothing_while_others_are_well(self, choice):
        # One target of ten is ten times slower. A tenth of the callers would meet it.
        warm_up(choice, slow=NAMES[:1])
        assert NAMES[0] not in draw(choice, 1.2)

    def test_stalled_target_is_seen_before_its_first_late_answer(self, choice):
        # The target stops with our request in work. Its load report and its answer
        # both come too late to keep the next callers away.
        warm_up(choice)
        choice.sent(NAMES[0], "stuck", 1.2)
        assert choice.is_straggler(NAMES[0], 1.4)
        assert NAMES[0] not in draw(choice, 1.4)

    def test_recovered_target_is_tried_again(self, choice):
        warm_up(choice, slow=NAMES[:1])
        later = 1.2 + DEFAULTS["choice_memory"]
        assert draw(choice, later)[NAMES[0]] > 0

    def test_when_all_are_slow_all_are_used(self, choice):
        # The whole service slows down. If the rule set every target aside, nothing
        # would be sent, or everything to one.
        warm_up(choice)
        for number in range(50):
            for name in NAMES:
                answer(choice, name, 2.0 + number * 0.3, 0.2, number)
        drawn = Counter()
        for number in range(60):
            name = choice.choose(NAMES, 17.2)
            choice.sent(name, f"more-{number}", 17.2)
            drawn[name] += 1
        assert len(drawn) == 10
        assert max(drawn.values()) <= 12

    def test_failed_target_is_avoided(self, choice):
        warm_up(choice)
        choice.sent(NAMES[3], "lost", 1.2)
        choice.ended(NAMES[3], "lost", 1.25, False)
        assert NAMES[3] not in draw(choice, 1.3)


class TestLoad:
    def test_target_with_more_of_our_requests_gets_less(self, choice):
        warm_up(choice)
        for name in NAMES[:5]:
            for number in range(6):
                choice.sent(name, f"out-{number}", 1.1, "other")
        drawn = draw(choice, 1.2)
        assert sum(drawn[name] for name in NAMES[:5]) < 2000 * 0.3

    def test_report_of_an_idle_target_draws_no_crowd(self, choice):
        # All VMs hear, late, of the same idle target. If they believed it, it would
        # get the traffic of all VMs until the next report.
        warm_up(choice)
        for _ in range(50):
            for name in NAMES[1:]:
                choice.digest(name, 4)
            choice.digest(NAMES[0], 0)
        assert draw(choice, 1.2)[NAMES[0]] < 2000 * 0.13

    def test_worn_target_that_this_vm_leads_is_not_preferred(self, choice):
        # The balancer gives this VM half of all traffic. The targets that it leads
        # would get that half while the others idle.
        warm_up(choice)
        for _ in range(50):
            for name in NAMES:
                choice.digest(name, 2 if name == NAMES[7] else 1)
        drawn = Counter(choice.choose(NAMES, 1.2, [NAMES[7]]) for _ in range(2000))
        assert drawn[NAMES[7]] < 2000 * 0.13

    def test_idle_target_that_this_vm_leads_goes_first(self, choice):
        warm_up(choice)
        assert choice.choose(NAMES, 1.2, [NAMES[7]]) == NAMES[7]

    def test_idle_straggler_that_this_vm_leads_does_not(self, choice):
        warm_up(choice, slow=NAMES[7:8])
        assert choice.choose(NAMES, 1.2, [NAMES[7]]) != NAMES[7]

    def test_single_target_is_chosen_whatever_it_is(self, choice):
        warm_up(choice, slow=NAMES[:1])
        assert choice.choose(NAMES[:1], 1.2) == NAMES[0]
