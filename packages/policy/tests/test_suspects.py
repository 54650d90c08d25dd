"""Tests of the evidence against requests that end targets."""

from __future__ import annotations

from berylstage_policy.suspects import (
    CLAIM_SECONDS,
    CONVICTION_SECONDS,
    MAX_CONVICTION_SECONDS,
    MAX_DOUBTED_CONVICTIONS,
    MAX_IDLE_LANES,
    SUSPICION_SECONDS,
    TRIAL_GRACE_SECONDS,
    SuspectRegistry,
    SuspectState,
    TargetEnd,
    TrialId,
    TrialRequest,
    TrialStatus,
)

F, G, H = 1, 2, 3
LANE, OTHER_LANE = 10, 11
SECONDS = 1.0
GRANTED, WAIT = TrialStatus.GRANTED, TrialStatus.WAIT
CLEARED, CONVICTED = TrialStatus.CLEARED, TrialStatus.CONVICTED


class Registry(SuspectRegistry):
    """A registry with a clock and numbered trials and ends."""

    __slots__ = ("_count", "moment")

    def __init__(self):
        super().__init__()
        self.moment = 0.0
        self._count = 0

    def next_number(self):
        self._count += 1
        return self._count

    def lose(self, fingerprint, trial_id=None, target=None):
        """Record the end of a target, a new one if not given."""
        number = self.next_number()
        end = TargetEnd(number if target is None else target, number)
        return self.record_end(fingerprint, end, trial_id, self.moment)

    def ask(self, fingerprint, lane=LANE, trial_id=None, is_keyed=False):
        """Request a trial; return its id and the status."""
        trial_id = trial_id or TrialId("vm-1", self.next_number())
        request = TrialRequest(fingerprint, trial_id, lane, SECONDS, is_keyed)
        return trial_id, self.request_trial(request, self.moment).status

    def convict(self, fingerprint, target=None):
        """End a target in one trial after the other, until it is convicted."""
        if not self.describe(fingerprint, self.moment).ends:
            self.lose(fingerprint, target=target)
        for _ in range(5):
            trial_id, status = self.ask(fingerprint)
            assert status is GRANTED
            if self.lose(fingerprint, trial_id, target):
                return
        raise AssertionError("not convicted")

    def refused_seconds(self, fingerprint):
        return self.describe(fingerprint, self.moment).seconds


class TestTrials:
    def test_unknown_request_needs_none(self):
        assert Registry().ask(F)[1] is CLEARED

    def test_one_attempt_of_a_suspect_is_sent_at_a_time(self):
        registry = Registry()
        registry.lose(F)
        first, status = registry.ask(F)
        assert (status, registry.ask(F)[1]) == (GRANTED, WAIT)
        registry.release(F, first)
        assert registry.ask(F)[1] is GRANTED

    def test_repeated_request_of_a_trial_gets_the_same_decision(self):
        # Guards against a trial that waits for itself after a reply was lost.
        registry = Registry()
        registry.lose(F)
        trial_id, _ = registry.ask(F)
        assert registry.ask(F, trial_id=trial_id)[1] is GRANTED

    def test_trial_of_a_lost_vm_ends_with_its_deadline(self):
        # Guards against a suspect that nobody may send because one VM is gone.
        registry = Registry()
        registry.lose(F)
        registry.ask(F)
        registry.moment += SECONDS + TRIAL_GRACE_SECONDS
        assert registry.ask(F)[1] is GRANTED

    def test_late_outcome_of_an_earlier_trial_ends_no_other(self):
        registry = Registry()
        registry.lose(F)
        first, _ = registry.ask(F)
        registry.release(F, first)
        registry.ask(F)
        registry.release(F, first)
        assert registry.ask(F)[1] is WAIT

    def test_answer_clears_a_suspect(self):
        registry = Registry()
        registry.lose(F)
        registry.ask(F)
        assert registry.record_answer(F)
        assert registry.ask(F)[1] is CLEARED
        assert not registry.record_answer(F)

    def test_suspects_with_one_end_are_tried_together(self):
        # Guards against requests that wait for each other after a crash that took many.
        registry = Registry()
        for fingerprint in (F, G, H):
            registry.lose(fingerprint)
        assert {registry.ask(f)[1] for f in (F, G, H)} == {GRANTED}

    def test_attempts_at_one_owner_do_not_wait_for_each_other(self):
        # Guards against a busy key that is served one request at a time after its owner
        # has ended, although all of them would end the same target.
        registry = Registry()
        registry.lose(F)
        asked = [registry.ask(F, is_keyed=True) for _ in range(3)]
        assert {status for _, status in asked} == {GRANTED}
        for trial_id, _ in asked[:2]:
            registry.release(F, trial_id)
        assert registry.ask(F, OTHER_LANE, is_keyed=True)[1] is WAIT
        registry.release(F, asked[2][0])
        assert registry.ask(F, OTHER_LANE, is_keyed=True)[1] is GRANTED

    def test_suspect_with_two_ends_is_sent_to_its_owner_once(self):
        registry = Registry()
        registry.lose(F)
        registry.lose(F)
        assert registry.ask(F, is_keyed=True)[1] is GRANTED
        assert registry.ask(F, is_keyed=True)[1] is WAIT

    def test_suspect_with_two_ends_is_tried_alone(self):
        registry = Registry()
        for fingerprint in (F, F, G, G):
            registry.lose(fingerprint)
        first, status = registry.ask(F)
        assert (status, registry.ask(G)[1]) == (GRANTED, WAIT)
        registry.release(F, first)
        assert registry.ask(G)[1] is GRANTED

    def test_trial_becomes_exclusive_with_the_second_end(self):
        # Guards against suspects that join the trial of one which was sent by several
        # VMs at once, and end with it.
        registry = Registry()
        registry.lose(F)
        registry.ask(F)
        registry.lose(F)
        registry.lose(G)
        assert registry.ask(G)[1] is WAIT

    def test_trials_in_other_lanes_go_on(self):
        registry = Registry()
        for fingerprint in (F, F, G, G):
            registry.lose(fingerprint)
        registry.ask(F)
        assert registry.ask(G, OTHER_LANE)[1] is GRANTED

    def test_exclusive_trial_is_not_overtaken_for_ever(self):
        # Guards against suspects with one end that keep the lane busy.
        registry = Registry()
        for fingerprint in (F, F, G, H):
            registry.lose(fingerprint)
        under_way, _ = registry.ask(G)
        assert registry.ask(F)[1] is WAIT
        assert registry.ask(H)[1] is WAIT
        registry.release(G, under_way)
        assert registry.ask(F)[1] is GRANTED

    def test_claim_of_a_caller_that_left_lapses(self):
        registry = Registry()
        for fingerprint in (F, F, G, H):
            registry.lose(fingerprint)
        registry.ask(G)
        registry.ask(F)
        registry.moment += CLAIM_SECONDS
        assert registry.ask(H)[1] is GRANTED


class TestConvictions:
    def test_third_end_in_a_trial_alone_convicts(self):
        registry = Registry()
        registry.convict(F)
        assert registry.refused_seconds(F) == CONVICTION_SECONDS
        assert registry.ask(F)[1] is CONVICTED

    def test_ends_at_the_same_time_convict_nobody(self):
        # Guards against blaming a popular request for targets that end together.
        registry = Registry()
        assert not any(registry.lose(F) for _ in range(10))
        assert registry.ask(F)[1] is GRANTED

    def test_end_in_a_trial_beside_others_convicts_nobody(self):
        # Guards against convicting what was at the same target as the guilty request.
        registry = Registry()
        registry.lose(F)
        registry.lose(G)
        trials = {f: registry.ask(f)[0] for f in (F, G)}
        for fingerprint in (F, G):
            registry.lose(fingerprint)
            registry.lose(fingerprint)
        assert not any(registry.lose(f, trials[f]) for f in (F, G))

    def test_conviction_is_followed_by_one_trial(self):
        registry = Registry()
        registry.convict(F)
        registry.moment += CONVICTION_SECONDS
        trial_id, status = registry.ask(F)
        assert (status, registry.ask(F)[1]) == (GRANTED, WAIT)
        assert registry.lose(F, trial_id)
        assert registry.refused_seconds(F) == 2 * CONVICTION_SECONDS

    def test_time_of_refusal_is_bounded(self):
        registry = Registry()
        for _ in range(10):
            registry.convict(F)
            registry.moment += registry.refused_seconds(F)
        registry.convict(F)
        assert registry.refused_seconds(F) == MAX_CONVICTION_SECONDS

    def test_answer_to_an_attempt_that_was_under_way_clears(self):
        registry = Registry()
        registry.convict(F)
        registry.record_answer(F)
        assert registry.ask(F)[1] is CLEARED

    def test_end_of_its_target_without_it_earns_a_trial(self):
        # Guards against refusing the busiest request of a target that ends anyway.
        registry = Registry()
        registry.convict(F, target=7)
        registry.lose(G, target=7)
        assert registry.ask(F)[1] is GRANTED

    def test_end_of_another_target_earns_none(self):
        registry = Registry()
        registry.convict(F, target=7)
        registry.lose(G, target=8)
        assert registry.ask(F)[1] is CONVICTED

    def test_fatal_requests_earn_each_other_few_trials(self):
        # Guards against two fatal requests at one target that free each other.
        registry = Registry()
        registry.convict(F, target=7)
        trials = 0
        for _ in range(20):
            registry.lose(G, target=7)
            trial_id, status = registry.ask(F)
            if status is GRANTED:
                trials += 1
                registry.lose(F, trial_id, 7)
        assert trials == MAX_DOUBTED_CONVICTIONS


class TestMemory:
    def test_suspects_without_further_evidence_are_forgotten(self):
        registry = Registry()
        registry.lose(F)
        registry.moment += SUSPICION_SECONDS
        assert registry.ask(F)[1] is CLEARED
        assert len(registry) == 0

    def test_convictions_outlast_a_flood(self):
        # Guards against fatal requests that make VMs forget each other.
        registry = Registry()
        registry.convict(F)
        for fingerprint in range(100, 5000):
            registry.lose(fingerprint)
        assert registry.ask(F)[1] is CONVICTED
        assert len(registry) <= 2000

    def test_lanes_are_forgotten(self):
        registry = Registry()
        registry.lose(F)
        for lane in range(3 * MAX_IDLE_LANES):
            trial_id, _ = registry.ask(F, lane)
            registry.release(F, trial_id)
        assert len(registry._lanes) <= MAX_IDLE_LANES


class TestNews:
    def test_vm_goes_on_from_what_it_was_told(self):
        told, registry = Registry(), Registry()
        told.lose(F)
        told.lose(F)
        registry.adopt(told.describe(F, 0.0), 0.0)
        registry._count = 100
        trial_id, _ = registry.ask(F)
        assert registry.lose(F, trial_id)

    def test_end_that_is_told_and_reported_counts_once(self):
        # Guards against convictions by datagrams that overtake each other.
        told, registry = Registry(), Registry()
        told.lose(F)
        state = told.describe(F, 0.0)
        registry.record_end(F, state.ends[0], None, 0.0)
        registry.adopt(state, 0.0)
        assert registry.describe(F, 0.0).ends == state.ends

    def test_cleared_request_is_forgotten(self):
        registry = Registry()
        registry.lose(F)
        registry.adopt(SuspectState(F), 0.0)
        assert registry.ask(F)[1] is CLEARED

    def test_conviction_is_told_with_its_time(self):
        told, registry = Registry(), Registry()
        told.convict(F)
        registry.adopt(told.describe(F, 0.0), 5.0)
        assert registry.describe(F, 5.0).seconds == CONVICTION_SECONDS

    def test_end_of_a_refusal_is_told(self):
        # Guards against VMs that refuse a request after the one that decides has given
        # it another trial.
        told, registry = Registry(), Registry()
        told.convict(F, target=7)
        registry.adopt(told.describe(F, 0.0), 0.0)
        told.lose(G, target=7)
        registry.adopt(told.describe(F, 0.0), 0.0)
        assert registry.refused_seconds(F) == 0.0

    def test_vm_that_missed_a_conviction_does_not_end_it(self):
        registry = Registry()
        registry.convict(F)
        assert registry.add_ends(F, (TargetEnd(50, 1),), 0.0)
        assert registry.ask(F)[1] is CONVICTED
