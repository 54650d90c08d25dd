"""Broken variants of granting: each must break what the sound one keeps.

A test that cannot find a fault proves nothing. Every scenario here is played twice in
virtual time, once with granting as it is and once with one rule taken out.
"""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.coordinator_election import CoordinatorElection
from berylstage_entry.grant_expiry import ORDER_TIMEOUT, TargetGrants
from berylstage_entry.grant_renewer import TICK, GrantRenewer
from berylstage_entry.key_moves import KeyMoves
from granting_world import VMS, World
from virtual_time import virtual_loop


def holder(world):
    return next(n for n, vm in world.vms.items() if vm.office.holds())


def leaving_target_falls_silent(world):
    # Its keys are to go to others, but it serves them on, and nobody hears of it.
    world.wire.silent.add("a")
    world.put("a", leaving=True)
    world.run(8.0)


def target_falls_silent(world):
    world.wire.silent.add("a")
    world.run(8.0)


def holder_lost_in_an_outage_beside_a_silent_target(world):
    # The store is away, so the holder of the duty has prolonged all holds. It is lost
    # with a target falling silent, and the store returns.
    world.store.away = True
    world.run(1.5)
    world.kill(holder(world))
    world.wire.silent.add("a")
    world.run(0.5)
    world.store.away = False
    world.run(14.0)


def holder_starts_anew_in_an_outage(world):
    # The process that prolonged all holds is killed and is back at once under its
    # address. It knows nothing of its orders before, and a target falls silent.
    world.store.away = True
    world.run(1.5)
    name = holder(world)
    world.wire.silent.add("a")
    world.kill(name)
    world.start(name)
    world.run(0.5)
    world.store.away = False
    world.run(14.0)


def busy_keys_move_while_renewals_are_on_their_way(world):
    world.wire.grant_delay = 0.3
    for turn in range(24):
        world.busy(100 + turn, 8)
        world.run(0.15)


def silent_target_answers_as_its_keys_move(world):
    # It answers the question whether it is back while its keys go to another one.
    world.wire.probe_delay = 0.35
    world.wire.silent.add("a")
    end = now() + 8.0
    while now() < end and not any(r.former == "a" for r in ranges(world)):
        world.run(0.01)
    world.wire.silent.clear()
    world.run(2.0)


def ranges(world):
    return [r for vm in world.vms.values() for r in vm.feed.assignments["s"].ranges]


async def renew_what_was_due_before(self, target):
    """Renew what a target owned before it was asked whether it is back."""
    hold = self.hold(target.identity)
    while self._office.holds() and not hold.has_ended:
        due = self._owned(target)
        if hold.silent_since and not await self._answers(target):
            await asyncio.sleep(2 * TICK)
            continue
        await asyncio.gather(*(self.grant(target, r) for r in due))
        await asyncio.sleep(TICK)


async def release_alone(self, target, hold, r):
    """Take keys back without a fence that would keep renewals on their way out."""
    fence = self._next_try(r)
    if not fence or not self._office.holds():
        return None
    return await self._wire.release(target, r.first, r.last, fence, ORDER_TIMEOUT)


async def steady(self, former):
    return True


def knows_of_no_holds_of_others(self):
    return now()


MUTATIONS = [
    pytest.param(
        leaving_target_falls_silent,
        KeyMoves,
        "_lapsed",
        lambda self, r: True,
        id="no wait for the holds of a silent owner",
    ),
    pytest.param(
        target_falls_silent,
        TargetGrants,
        "ordered",
        lambda self, now, hold, first, last: None,
        id="orders without an answer forgotten",
    ),
    pytest.param(
        holder_lost_in_an_outage_beside_a_silent_target,
        CoordinatorElection,
        "_was_steady",
        steady,
        id="contact with the store taken for granted",
    ),
    pytest.param(
        holder_lost_in_an_outage_beside_a_silent_target,
        CoordinatorElection,
        "others_lapse",
        property(lambda self: 0.0, lambda self, value: None),
        id="holds of former holders forgotten",
    ),
    pytest.param(
        holder_starts_anew_in_an_outage,
        CoordinatorElection,
        "may_hand_on",
        lambda self, body: True,
        id="a new process speaks for the former one",
    ),
    pytest.param(
        silent_target_answers_as_its_keys_move,
        GrantRenewer,
        "_renew",
        renew_what_was_due_before,
        id="renewals worked out before a move",
    ),
    pytest.param(
        busy_keys_move_while_renewals_are_on_their_way,
        KeyMoves,
        "_release",
        release_alone,
        id="release without a fence",
    ),
]


def play(scenario):
    with virtual_loop() as loop:
        world = World(loop)
        try:
            scenario(world)
            return world.faults()
        finally:
            for name in VMS:
                world.kill(name)


class TestMutations:
    @pytest.mark.parametrize(("scenario", "owner", "rule", "broken"), MUTATIONS)
    def test_broken_rule_is_found(self, scenario, owner, rule, broken, monkeypatch):
        assert not play(scenario)
        monkeypatch.setattr(owner, rule, broken, raising=False)
        assert play(scenario)
