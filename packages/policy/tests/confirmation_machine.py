"""Plays VMs that confirm each other's configuration in any order of events."""

from __future__ import annotations

from berylstage_policy.confirmation import Confirmation
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    precondition,
    rule,
)

REVOCATION_SECONDS = 5.0
VMS = 2
# Versions after the first one. More do not make a play more telling.
MAX_CHANGES = 2
VM = st.integers(0, VMS - 1)


class Reading:
    """A VM's call to the store; the version is set when the store answers."""

    def __init__(self, vm, process, asked_at):
        self.vm, self.process, self.asked_at = vm, process, asked_at
        self.version = None


class Question:
    """A question on its way to another VM."""

    def __init__(self, vm, receiver, number):
        self.vm, self.receiver, self.number = vm, receiver, number


class Answer:
    """An answer on its way back."""

    def __init__(self, vm, number, version, age):
        self.vm, self.number, self.version, self.age = vm, number, version, age


class ConfirmationMachine(RuleBasedStateMachine):
    """Messages and calls take any time, and VMs stand still between any two steps.

    Every version takes a key away that the one before it held. No VM may serve a key
    later than the time allowed after it was taken away.
    """

    confirmation_class = Confirmation
    # Whether the numbers of a new process differ from those of the earlier one.
    has_fresh_numbers = True

    readings = Bundle("readings")
    questions = Bundle("questions")
    answers = Bundle("answers")

    def __init__(self):
        super().__init__()
        self.now = 100.0
        # Time at which each version replaced the one before it.
        self.stored_at = [0.0]
        self.versions = [0] * VMS
        self.processes = [0] * VMS
        self.confirmations = [self._start(vm) for vm in range(VMS)]

    def _start(self, vm):
        first = 1000 * self.processes[vm] if self.has_fresh_numbers else 0
        return self.confirmation_class(REVOCATION_SECONDS, first)

    @rule(seconds=st.sampled_from([0.5, 2.0, 4.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @precondition(lambda self: len(self.stored_at) <= MAX_CHANGES)
    @rule()
    def take_a_key_away(self):
        self.stored_at.append(self.now)

    # Whole readings and exchanges, which random steps seldom put together.
    @rule(vm=VM)
    def read(self, vm):
        reading = self.begin_reading(vm)
        self.store_answers(reading)
        self.finish_reading(reading)

    @rule(vm=VM)
    def ask_and_take_the_answer(self, vm):
        question = self.ask(vm, 1 - vm)
        self.take_answer(self.answer(question))

    @rule(target=readings, vm=VM)
    def begin_reading(self, vm):
        return Reading(vm, self.processes[vm], self.now)

    @rule(reading=readings)
    def store_answers(self, reading):
        if reading.version is None:
            reading.version = len(self.stored_at) - 1

    @rule(reading=consumes(readings))
    def finish_reading(self, reading):
        if reading.version is None or reading.process != self.processes[reading.vm]:
            return
        self._learn(reading.vm, reading.version)
        self.confirmations[reading.vm].record_reading(self._reading_time(reading))

    def _reading_time(self, reading):
        return reading.asked_at

    @rule(target=questions, vm=VM, receiver=VM)
    def ask(self, vm, receiver):
        return Question(vm, receiver, self.confirmations[vm].ask(self.now))

    # A datagram may arrive twice, or never.
    @rule(target=answers, question=questions)
    def answer(self, question):
        vm = question.receiver
        confirmation = self.confirmations[vm]
        if not confirmation.is_recent(self.now):
            return Answer(question.vm, -1, 0, 0.0)
        age = confirmation.age(self.now)
        return Answer(question.vm, question.number, self.versions[vm], age)

    @rule(answer=answers)
    def take_answer(self, answer):
        vm = answer.vm
        self.confirmations[vm].accept(
            answer.number, answer.version, answer.age, self.versions[vm]
        )

    @rule(sender=VM, receiver=VM)
    def push_configuration(self, sender, receiver):
        self._learn(receiver, self.versions[sender])

    @rule(vm=VM, is_told=st.booleans())
    def restart(self, vm, is_told):
        """A new process, which may be told the configuration by the other VM."""
        self.processes[vm] += 1
        self.versions[vm] = self.versions[1 - vm] if is_told else 0
        self.confirmations[vm] = self._start(vm)

    def _learn(self, vm, version):
        self.versions[vm] = max(self.versions[vm], version)

    @invariant()
    def check(self):
        """No VM serves a key that was taken away too long ago."""
        for vm, confirmation in enumerate(self.confirmations):
            newer = self.stored_at[self.versions[vm] + 1 :]
            if newer and confirmation.is_recent(self.now):
                assert self.now - newer[0] <= REVOCATION_SECONDS
