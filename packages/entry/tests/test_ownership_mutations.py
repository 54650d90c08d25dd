"""Mutation tests: without any one of its rules, granting must violate an invariant.

Every scenario runs twice in virtual time, once with the original code and once with a
rule removed. This proves that the scenario can detect the fault.
"""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.coordinator_election import CoordinatorElection
from berylstage_entry.grant_expiry import GRANT_TIMEOUT_SECONDS, TargetGrants
from berylstage_entry.grant_renewer import CHECK_INTERVAL_SECONDS, GrantRenewer
from berylstage_entry.key_moves import KeyMoves
from berylstage_entry.store_watcher import StoreWatcher
from cluster_simulation import VMS, ClusterSimulation
from virtual_time import virtual_loop


def get_coordinator(cluster):
    return next(n for n, vm in cluster.vms.items() if vm.election.is_coordinator())


def draining_target_becomes_unresponsive(cluster):
    # Its keys should move to other targets, but it still serves them and does not
    # answer.
    cluster.protocol.silent.add("a")
    cluster.write_record("a", is_draining=True)
    cluster.run(8.0)


def target_becomes_unresponsive(cluster):
    cluster.protocol.silent.add("a")
    cluster.run(8.0)


def target_refuses_connections(cluster):
    cluster.protocol.refusing.add("a")
    cluster.run(1.0)
    cluster.protocol.refusing.clear()
    cluster.run(4.0)


def coordinator_fails_in_an_outage_with_an_unresponsive_target(cluster):
    # The store is unavailable, so the coordinator has extended all grants. It
    # fails, a target becomes unresponsive, and the store returns.
    cluster.store.is_unreachable = True
    cluster.run(1.5)
    cluster.kill(get_coordinator(cluster))
    cluster.protocol.silent.add("a")
    cluster.run(0.5)
    cluster.store.is_unreachable = False
    cluster.run(14.0)


def coordinator_restarts_in_an_outage(cluster):
    # The process that extended all grants is killed and restarts at once at its
    # address. It knows nothing of its earlier grants, and a target becomes
    # unresponsive.
    cluster.store.is_unreachable = True
    cluster.run(1.5)
    name = get_coordinator(cluster)
    cluster.protocol.silent.add("a")
    cluster.kill(name)
    cluster.start(name)
    cluster.run(0.5)
    cluster.store.is_unreachable = False
    cluster.run(14.0)


def hot_keys_move_while_renewals_are_in_transit(cluster):
    cluster.protocol.grant_delay = 0.3
    for round_number in range(24):
        cluster.report_hot_keys(100 + round_number, 8)
        cluster.run(0.15)


def unresponsive_target_answers_as_its_keys_move(cluster):
    # The target answers a probe while its keys move to another one.
    cluster.protocol.probe_delay = 0.35
    cluster.protocol.silent.add("a")
    end = now() + 8.0
    while now() < end and not any(r.previous_owner == "a" for r in ranges(cluster)):
        cluster.run(0.01)
    cluster.protocol.silent.clear()
    cluster.run(2.0)


def ranges(cluster):
    return [
        r
        for vm in cluster.vms.values()
        for r in vm.store_watcher.assignments["s"].ranges
    ]


async def renew_outdated_ranges(self, target):
    """Renew what a target owned before it was probed."""
    grants = self.get_grants(target.identity)
    while self._election.is_coordinator() and not grants.is_terminated:
        due = self._stable_ranges(target)
        if grants.unresponsive_since and not await self._probe(target):
            await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
            continue
        await asyncio.gather(*(self.grant(target, r) for r in due))
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)


async def release_without_grant(self, target, grants, r):
    """Release keys without a fence that rejects renewals in transit."""
    fence = self._next_revocation_fence(r)
    if not fence or not self._election.is_coordinator():
        return None
    return await self._protocol.release(
        target, r.first, r.last, fence, GRANT_TIMEOUT_SECONDS
    )


def coordinator_stops_after_a_move(cluster):
    # The other VMs have not read of the move. The target is reached again, and has seen
    # no higher fence for the keys that have moved.
    cluster.move_keys_of_unreachable_target("a")
    cluster.protocol.unreachable.clear()
    cluster.stop(get_coordinator(cluster))
    cluster.run(4.0)


def terminate_on_failure(self, now):
    """Take a call without an answer for the end of the target's process."""
    self.record_termination(now)


async def had_contact(self, former):
    return True


def assume_no_other_grants(self):
    return now()


MUTATIONS = [
    pytest.param(
        target_refuses_connections,
        TargetGrants,
        "record_failure",
        terminate_on_failure,
        id="refused connections taken for the end of a process",
    ),
    pytest.param(
        draining_target_becomes_unresponsive,
        KeyMoves,
        "_have_grants_expired",
        lambda self, r: True,
        id="no wait for the holds of a silent owner",
    ),
    pytest.param(
        target_becomes_unresponsive,
        TargetGrants,
        "record_sent",
        lambda self, now, seconds, first, last: None,
        id="orders without an answer forgotten",
    ),
    pytest.param(
        coordinator_stops_after_a_move,
        StoreWatcher,
        "knows_changes_until",
        lambda self, revision: True,
        id="a term that begins before its changes are known",
    ),
    pytest.param(
        coordinator_fails_in_an_outage_with_an_unresponsive_target,
        CoordinatorElection,
        "_had_contact",
        had_contact,
        id="contact with the store taken for granted",
    ),
    pytest.param(
        coordinator_fails_in_an_outage_with_an_unresponsive_target,
        CoordinatorElection,
        "other_grants_expire_at",
        property(lambda self: 0.0, lambda self, value: None),
        id="holds of former holders forgotten",
    ),
    pytest.param(
        coordinator_restarts_in_an_outage,
        CoordinatorElection,
        "may_export_state",
        lambda self, body: True,
        id="a new process speaks for the former one",
    ),
    pytest.param(
        unresponsive_target_answers_as_its_keys_move,
        GrantRenewer,
        "_renew",
        renew_outdated_ranges,
        id="renewals worked out before a move",
    ),
    pytest.param(
        hot_keys_move_while_renewals_are_in_transit,
        KeyMoves,
        "_release",
        release_without_grant,
        id="release without a fence",
    ),
]


def find_violations(scenario):
    with virtual_loop() as loop:
        cluster = ClusterSimulation(loop)
        try:
            scenario(cluster)
            return cluster.violations()
        finally:
            for name in VMS:
                cluster.kill(name)


class TestMutations:
    @pytest.mark.parametrize(("scenario", "owner", "rule", "mutant"), MUTATIONS)
    def test_mutation_is_detected(self, scenario, owner, rule, mutant, monkeypatch):
        assert not find_violations(scenario)
        monkeypatch.setattr(owner, rule, mutant, raising=False)
        assert find_violations(scenario)
