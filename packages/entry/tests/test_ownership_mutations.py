"""Mutation tests: without any one of its rules, granting must violate an invariant.

Every scenario runs twice in virtual time, once with the original code and once with a
rule removed. This proves that the scenario can detect the fault.
"""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.holds import GRANT_TIMEOUT_SECONDS, TargetGrants
from berylstage_entry.moves import Moves
from berylstage_entry.office import Office
from berylstage_entry.renewals import CHECK_INTERVAL_SECONDS, Renewals
from granting_world import VMS, World
from virtual_time import virtual_loop


def holder(world):
    return next(n for n, vm in world.vms.items() if vm.office.holds())


def leaving_target_falls_silent(world):
    # Its keys should move to other targets, but it still serves them and does not
    # answer.
    world.wire.silent.add("a")
    world.put("a", leaving=True)
    world.run(8.0)


def target_falls_silent(world):
    world.wire.silent.add("a")
    world.run(8.0)


def holder_lost_in_an_outage_beside_a_silent_target(world):
    # The store is unavailable, so the coordinator has extended all grants. It
    # fails, a target becomes unresponsive, and the store returns.
    world.store.away = True
    world.run(1.5)
    world.kill(holder(world))
    world.wire.silent.add("a")
    world.run(0.5)
    world.store.away = False
    world.run(14.0)


def holder_starts_anew_in_an_outage(world):
    # The process that extended all grants is killed and restarts at once at its
    # address. It knows nothing of its earlier grants, and a target becomes
    # unresponsive.
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
    # The target answers a probe while its keys move to another one.
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
    """Renew what a target owned before it was probed."""
    grants = self.get_grants(target.identity)
    while self._office.holds() and not grants.is_terminated:
        due = self._stable_ranges(target)
        if grants.unresponsive_since and not await self._probe(target):
            await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
            continue
        await asyncio.gather(*(self.grant(target, r) for r in due))
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)


async def release_alone(self, target, grants, r):
    """Release keys without a fence that rejects renewals in transit."""
    fence = self._next_revocation_fence(r)
    if not fence or not self._office.holds():
        return None
    return await self._wire.release(
        target, r.first, r.last, fence, GRANT_TIMEOUT_SECONDS
    )


async def had_contact(self, former):
    return True


def knows_of_no_holds_of_others(self):
    return now()


MUTATIONS = [
    pytest.param(
        leaving_target_falls_silent,
        Moves,
        "_have_grants_expired",
        lambda self, r: True,
        id="no wait for the holds of a silent owner",
    ),
    pytest.param(
        target_falls_silent,
        TargetGrants,
        "record_sent",
        lambda self, now, seconds, first, last: None,
        id="orders without an answer forgotten",
    ),
    pytest.param(
        holder_lost_in_an_outage_beside_a_silent_target,
        Office,
        "_had_contact",
        had_contact,
        id="contact with the store taken for granted",
    ),
    pytest.param(
        holder_lost_in_an_outage_beside_a_silent_target,
        Office,
        "other_grants_expire_at",
        property(lambda self: 0.0, lambda self, value: None),
        id="holds of former holders forgotten",
    ),
    pytest.param(
        holder_starts_anew_in_an_outage,
        Office,
        "may_hand_on",
        lambda self, body: True,
        id="a new process speaks for the former one",
    ),
    pytest.param(
        silent_target_answers_as_its_keys_move,
        Renewals,
        "_renew",
        renew_what_was_due_before,
        id="renewals worked out before a move",
    ),
    pytest.param(
        busy_keys_move_while_renewals_are_on_their_way,
        Moves,
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
