"""Tests of publishing by several operators at once, in every order."""

from __future__ import annotations

from berylstage_cli.errors import RevisionConflict, StoreUnreachable, UnsettledWrite
from berylstage_cli.history import HISTORY_KEY
from berylstage_cli.publication import Publisher
from berylstage_sheet.configuration import CONFIGURATION_KEY, Configuration
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

OPERATORS = st.integers(0, 2)
KEYS = st.sampled_from([CONFIGURATION_KEY, CONFIGURATION_KEY, HISTORY_KEY])
FAULTS = [
    "LOST_AFTER_EFFECT",
    "LOST_BEFORE_EFFECT",
    "DELAYED",
    "RATE_LIMITED",
]


class Turn:
    """Gives the turn back, so that the machine says who goes on."""

    def __await__(self):
        yield


async def give_turn(*_):
    """Give the turn back once."""
    await Turn()


class OperatorsMachine(RuleBasedStateMachine):
    """Operators who publish at once, over a store with faults.

    Each call of the store and each pause gives the turn back, so that the machine
    tries the orders in which the operators' calls can meet.
    """

    def __init__(self, store_class):
        super().__init__()
        self.store = store_class()
        self.store.turn = give_turn
        self.publisher = Publisher(self.store, give_turn, lambda: 1.0)
        self.running = {}
        self.accepted = set()
        self.denied = set()

    async def publish(self, cfg):
        base = await self.publisher.current()
        return await self.publisher.publish(cfg, base, [])

    @rule(operator=OPERATORS)
    def start(self, operator):
        if operator not in self.running:
            cfg = Configuration(0, {}, {}, {}, {}, [], author=str(operator))
            self.running[operator] = (cfg, self.publish(cfg))

    @precondition(lambda self: self.running)
    @rule(operator=OPERATORS, steps=st.integers(1, 8))
    def go_on(self, operator, steps):
        if operator not in self.running:
            return
        cfg, coro = self.running[operator]
        try:
            for _ in range(steps):
                coro.send(None)
        except StopIteration as end:
            assert end.value.cfg is cfg
            self.accepted.add((cfg.revision, cfg.write_id))
            del self.running[operator]
        except (RevisionConflict, StoreUnreachable):
            self.denied.add(cfg.write_id)
            del self.running[operator]
        except UnsettledWrite:
            del self.running[operator]

    @rule(key=KEYS, fault=st.sampled_from(FAULTS))
    def break_a_write(self, key, fault):
        self.store.write_faults[key].append(self.store.Fault[fault])

    @rule(key=KEYS, count=st.integers(1, 7))
    def break_reads(self, key, count):
        self.store.read_faults[key] = count

    @rule(key=KEYS)
    def deliver(self, key):
        self.store.deliver(key)

    @invariant()
    def revisions_grow_by_one(self):
        revisions = [revision for revision, _ in self.store.effects]
        assert revisions == list(range(1, len(revisions) + 1))

    @invariant()
    def operators_were_told_the_truth(self):
        assert self.accepted <= set(self.store.effects)
        assert not self.denied & {write_id for _, write_id in self.store.effects}

    def teardown(self):
        for _, coro in self.running.values():
            coro.close()


class TestOperatorsAtOnce:
    def test_everybody_is_told_the_truth(self, store_class):
        # Operators apply at once while the store loses answers, delays writes and
        # is silent. An operator who is told "accepted" though nothing was written
        # goes home; one who is told "nothing was written" applies a second time.
        run_state_machine_as_test(
            lambda: OperatorsMachine(store_class),
            settings=settings(
                max_examples=250,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
            ),
        )
