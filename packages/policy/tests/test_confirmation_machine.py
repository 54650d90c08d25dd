"""Random plays of VMs that confirm each other's configuration, and mutations."""

from __future__ import annotations

import pytest
from berylstage_policy.confirmation import Confirmation
from confirmation_machine import ConfirmationMachine
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

SETTINGS = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class CountsFromTheArrival(Confirmation):
    """Takes the age from the arrival of the answer."""

    __slots__ = ("_seen",)

    def is_recent(self, now):
        self._seen = now
        return super().is_recent(now)

    def record_reading(self, asked_at):
        super().record_reading(getattr(self, "_seen", asked_at))


class IgnoresTheVersion(Confirmation):
    """Takes an answer about a newer configuration for one about its own."""

    __slots__ = ()

    def accept(self, number, version, age, own_version):
        return super().accept(number, own_version, age, own_version)


class IgnoresTheAge(Confirmation):
    """Takes the answer for a reading of the store."""

    __slots__ = ()

    def accept(self, number, version, age, own_version):
        return super().accept(number, version, 0.0, own_version)


class NeverTooOld(Confirmation):
    """Serves keys without any limit, once a reading is known."""

    __slots__ = ()

    def is_recent(self, now):
        return self.age(now) < float("inf")


class WithCountsFromTheArrival(ConfirmationMachine):
    confirmation_class = CountsFromTheArrival


class WithIgnoredVersion(ConfirmationMachine):
    confirmation_class = IgnoresTheVersion


class WithIgnoredAge(ConfirmationMachine):
    confirmation_class = IgnoresTheAge


class WithoutLimit(ConfirmationMachine):
    confirmation_class = NeverTooOld


class WithRepeatedNumbers(ConfirmationMachine):
    has_fresh_numbers = False


class WithReadingsFromTheirEnd(ConfirmationMachine):
    def _reading_time(self, reading):
        return self.now


def answer_of_the_store_takes_long(play):
    reading = play.begin_reading(0)
    play.store_answers(reading)
    play.take_a_key_away()
    play.pass_time(4.0)
    play.check()
    play.finish_reading(reading)
    play.pass_time(2.0)


def other_vm_has_the_newer_configuration(play):
    play.read(1)
    play.take_a_key_away()
    play.pass_time(4.0)
    play.read(0)
    play.ask_and_take_the_answer(1)
    play.pass_time(2.0)


def other_vm_read_long_ago(play):
    play.read(0)
    play.push_configuration(0, 1)
    play.take_a_key_away()
    play.pass_time(4.0)
    play.ask_and_take_the_answer(1)
    play.pass_time(2.0)


def nobody_reads_any_more(play):
    play.read(0)
    play.take_a_key_away()
    play.pass_time(4.0)
    play.pass_time(2.0)


def answer_comes_to_a_new_process(play):
    play.read(0)
    answer = play.answer(play.ask(1, 0))
    play.restart(1, is_told=True)
    play.take_a_key_away()
    play.pass_time(4.0)
    play.ask(1, 0)
    play.take_answer(answer)
    play.pass_time(2.0)


class TestConfirmationMachine:
    def test_no_vm_serves_a_key_that_was_taken_away_too_long_ago(self):
        run_state_machine_as_test(ConfirmationMachine, settings=SETTINGS)

    @pytest.mark.parametrize(
        ("machine", "steps"),
        [
            (WithCountsFromTheArrival, answer_of_the_store_takes_long),
            (WithReadingsFromTheirEnd, answer_of_the_store_takes_long),
            (WithIgnoredVersion, other_vm_has_the_newer_configuration),
            (WithIgnoredAge, other_vm_read_long_ago),
            (WithoutLimit, nobody_reads_any_more),
            (WithRepeatedNumbers, answer_comes_to_a_new_process),
        ],
    )
    def test_finds_the_mutation(self, machine, steps):
        # Each play passes with the unchanged code, and breaks the rule with a mutation.
        original, mutated = ConfirmationMachine(), machine()
        steps(original)
        original.check()
        steps(mutated)
        with pytest.raises(AssertionError):
            mutated.check()
