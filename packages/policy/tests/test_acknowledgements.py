"""Tests of telling a lost link from a delay of the VM itself."""

from __future__ import annotations

from math import inf

import pytest
from berylstage_policy import acknowledgements
from berylstage_policy.acknowledgements import AcknowledgementWatch

# Seconds between two looks.
STEP = 0.1


def seconds_until_lost(watch, moment=100.0, alive_until=-inf, step=STEP):
    """Look until bytes that appear at a moment are taken for lost."""
    watch.look(moment, min(moment, alive_until))
    since, began = watch.seconds, moment
    while not watch.is_lost(since):
        moment += step
        watch.look(moment, min(moment, alive_until))
    return moment - began


def delayed_watch(delay, moment=50.0):
    """Return a watch that has seen an acknowledgement come late."""
    watch = AcknowledgementWatch()
    watch.look(moment, moment)
    since = watch.seconds
    for _ in range(round(delay / STEP)):
        moment += STEP
        watch.look(moment, moment)
    watch.record_acknowledged(since)
    return watch, moment


class TestAcknowledgementWatch:
    def test_link_is_lost_within_a_fraction_of_a_second(self):
        # Guards against a VM that is cut off and holds requests until their deadlines.
        assert seconds_until_lost(AcknowledgementWatch()) <= 0.35

    def test_cut_right_after_a_sign_of_life(self):
        assert seconds_until_lost(AcknowledgementWatch(), alive_until=100.1) <= 0.45

    def test_bytes_that_wait_while_other_targets_answer(self):
        # Guards against a full link of the VM that passes for a lost one.
        watch = AcknowledgementWatch()
        assert 0.65 <= seconds_until_lost(watch, alive_until=inf) <= 0.85

    def test_time_in_which_the_process_did_not_run_does_not_count(self):
        # Guards against a VM without a core that takes its own delay for a lost link.
        watch = AcknowledgementWatch()
        watch.look(100.0, -inf)
        since = watch.seconds
        watch.look(109.0, -inf)
        assert not watch.is_lost(since)

    @pytest.mark.parametrize("delay", [0.2, 0.4])
    def test_delays_that_were_seen_before_are_waited_for(self, delay):
        # Guards against requests given up on a link that was full for a while.
        watch, moment = delayed_watch(delay)
        assert seconds_until_lost(watch, moment) >= 2 * delay - 1e-6

    def test_delays_are_forgotten(self):
        watch, moment = delayed_watch(0.4)
        for _ in range(25):
            moment += STEP
            watch.look(moment, -inf)
        assert seconds_until_lost(watch, moment) <= 0.35


class TestMutations:
    """Each clause of the decision is needed."""

    @pytest.mark.parametrize(
        ("constant", "value", "limit"),
        [("LOST_BESIDE_LIFE_SECONDS", 0.0, 0.65), ("SILENCE_SECONDS", 0.0, 0.65)],
    )
    def test_finds_that_life_of_others_is_ignored(
        self, monkeypatch, constant, value, limit
    ):
        monkeypatch.setattr(acknowledgements, constant, value)
        assert seconds_until_lost(AcknowledgementWatch(), alive_until=inf) < limit

    def test_finds_that_all_time_counts(self, monkeypatch):
        monkeypatch.setattr(acknowledgements, "MAX_STEP_SECONDS", 10.0)
        watch = AcknowledgementWatch()
        watch.look(100.0, -inf)
        since = watch.seconds
        watch.look(109.0, -inf)
        assert watch.is_lost(since)
