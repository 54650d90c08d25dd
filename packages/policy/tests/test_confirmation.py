"""Tests of the proof that a VM's configuration is recent."""

from __future__ import annotations

from berylstage_policy.confirmation import (
    CLOCK_MARGIN_SECONDS,
    Confirmation,
    Role,
    should_ask,
    should_read,
)

REVOCATION_SECONDS = 5.0


def confirmation():
    return Confirmation(REVOCATION_SECONDS, 7)


class TestConfirmation:
    def test_is_not_recent_before_any_reading(self):
        # Guards against a VM that serves keys it was told of before it read the store.
        assert not confirmation().is_recent(0.0)

    def test_own_reading_counts_from_its_start(self):
        # Guards against a reading whose answer was on its way for seconds.
        found = confirmation()
        found.record_reading(100.0)
        assert found.age(103.0) == 3.0
        assert found.is_recent(100.0 + REVOCATION_SECONDS - CLOCK_MARGIN_SECONDS)
        assert not found.is_recent(100.0 + REVOCATION_SECONDS)

    def test_answer_counts_from_the_question_and_adds_the_age_it_tells(self):
        # Guards against an answer that was on its way for seconds.
        found = confirmation()
        number = found.ask(100.0)
        assert found.accept(number, 3, 1.5, own_version=3)
        assert found.age(102.0) == 3.5

    def test_answer_with_a_newer_version_confirms_nothing(self):
        # Guards against a VM that missed the configuration that took a key away.
        found = confirmation()
        number = found.ask(100.0)
        assert not found.accept(number, 4, 0.0, own_version=3)
        assert not found.is_recent(100.0)

    def test_answer_with_an_older_version_confirms_the_newer_one(self):
        found = confirmation()
        found.accept(found.ask(100.0), 2, 1.0, own_version=3)
        assert found.age(100.0) == 1.0

    def test_answer_to_no_question_confirms_nothing(self):
        # Guards against an answer to an earlier process, and against repeated ones.
        found = confirmation()
        found.accept(99, 3, 0.0, own_version=3)
        assert not found.is_recent(100.0)

    def test_late_answer_does_not_make_the_configuration_older(self):
        found = confirmation()
        first, second = found.ask(100.0), found.ask(101.0)
        found.accept(second, 3, 0.0, own_version=3)
        found.accept(first, 3, 0.0, own_version=3)
        assert found.age(101.0) == 0.0

    def test_forgets_questions_that_are_not_answered(self):
        found = confirmation()
        number = found.ask(100.0)
        found.ask(110.0)
        found.accept(number, 3, 0.0, own_version=3)
        assert not found.is_recent(100.0)


class TestSteps:
    def test_others_ask_before_they_read(self):
        assert should_ask(1.0)
        assert not should_read(1.0, Role.STANDBY)
        assert not should_read(2.0, Role.OTHER)

    def test_readers_read_before_the_others(self):
        assert should_read(1.0, Role.COORDINATOR)
        assert should_read(2.0, Role.STANDBY)
        assert not should_ask(0.5)
        assert not should_read(0.5, Role.COORDINATOR)
