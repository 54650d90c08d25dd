"""Tests of VMs that lose links to targets, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter

import link_fleet
import pytest
from berylstage_entry import relay_server, target_links
from berylstage_entry.clock import now
from berylstage_policy.link_health import LinkHealth, Way
from berylstage_transfers.errors import NotConnected
from link_fleet import Link, LinkFleet
from virtual_time import virtual_loop

TIMEOUT = NotConnected("timed out")
# Seconds from the beginning of a cut until callers must be served.
CONTACT_SECONDS = 3.0


def play(scenario, **sizes):
    with virtual_loop() as loop:

        async def run():
            return await scenario(LinkFleet(**sizes))

        return loop.run_until_complete(run())


def share_answered(outcomes):
    """Return the share of requests that were answered."""
    return sum(outcome == "answered" for _, _, outcome in outcomes) / len(outcomes)


def find_violations(state, seed, vms=4, targets=5, cut_vms=3):
    """Cut some VMs off from all targets and heal; return what must not happen."""

    async def scenario(fleet):
        found = []
        cut = fleet.rng.sample(sorted(fleet.vms), cut_vms)
        await fleet.play(1.0)
        fleet.matrix.cut(cut, fleet.targets, state)
        await fleet.play(CONTACT_SECONDS)
        during = await fleet.play(4.0)
        if share_answered(during) < 1.0:
            found.append(f"served {share_answered(during):.2f} in the cut")
        fleet.matrix.heal()
        await fleet.play(CONTACT_SECONDS)
        fleet.hops = 0
        after = await fleet.play(2.0)
        if share_answered(after) < 1.0:
            found.append(f"served {share_answered(after):.2f} after the cut")
        if fleet.hops:
            found.append(f"{fleet.hops} requests relayed after the cut")
        counts = Counter(request_id for request_id, _, _ in fleet.runs)
        if max(counts.values()) > 2:
            found.append("a request ran more than twice")
        return found

    return play(scenario, vms=vms, targets=targets, seed=seed)


async def send_over_silent_link(fleet):
    """Send a lookup on an open connection that has gone silent."""
    fleet.opens_connections = False
    fleet.matrix.cut(["vm-0"], ["i-0"], Link.SILENT)
    return await fleet.vms["vm-0"].send(1, "i-0", False)


class TestVmsThatAreCutOff:
    @pytest.mark.parametrize("state", [Link.SILENT, Link.RESET])
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("cut_vms", [1, 3])
    def test_callers_are_served_through_others(self, state, seed, cut_vms):
        # Guards against VMs that take a failure of their links for one of the targets.
        assert find_violations(state, seed, cut_vms=cut_vms) == []

    @pytest.mark.parametrize("state", [Link.SILENT, Link.RESET])
    def test_most_of_many_vms(self, state):
        assert find_violations(state, 1, vms=20, targets=30, cut_vms=17) == []

    def test_lookup_on_a_connection_that_has_gone_silent(self):
        # Guards against waiting for a lost answer until the caller gives up.
        assert play(send_over_silent_link) == "answered"

    def test_lookup_that_a_target_runs_is_not_given_up(self, monkeypatch):
        # Guards against a VM without a free core, whose new connections time out while
        # targets run its requests: hundreds of lookups were lost that way.
        monkeypatch.setattr(link_fleet, "SERVICE_SECONDS", 0.8)

        async def scenario(fleet):
            links = fleet.vms["vm-0"].links
            task = asyncio.create_task(fleet.vms["vm-0"].send(1, "i-0", False))
            await asyncio.sleep(0.3)
            for name in fleet.targets:
                links.record_failure(fleet.vms["vm-0"].view.known[name].target, TIMEOUT)
            return await task, len(fleet.runs)

        assert play(scenario) == ("answered", 1)

    def test_bytes_that_wait_while_other_targets_answer(self):
        # Guards against lookups sent twice, and links taken for lost, while bytes wait
        # behind others on the VM's own link.
        async def scenario(fleet):
            fleet.opens_connections = False
            vm = fleet.vms["vm-0"]
            others = asyncio.create_task(fleet.play(1.5))
            await asyncio.sleep(0.5)
            fleet.acknowledged_at["vm-0", "i-0"] = now() + 0.5
            outcome = await vm.send(1000, "i-0", False)
            await others
            return outcome, fleet.hops, vm.links.health.has_failed("i-0")

        assert play(scenario) == ("answered", 0, False)

    def test_delay_of_an_acknowledgement_is_learned_from_a_fast_target(self):
        # Guards against forgetting how long bytes waited, because the answer came
        # before the next look at the connection.
        async def scenario(fleet):
            fleet.opens_connections = False
            vm = fleet.vms["vm-0"]
            others = asyncio.create_task(fleet.play(1.5))
            await asyncio.sleep(0.5)
            fleet.acknowledged_at["vm-0", "i-0"] = now() + 0.42
            outcome = await vm.send(1000, "i-0", False)
            await others
            return outcome, vm.links._acknowledgements._delay > 0.2

        fast = play(scenario, seed=1)
        assert fast == ("answered", True)

    @pytest.mark.parametrize("state", [Link.SILENT, Link.RESET])
    def test_links_to_some_targets_only(self, state):
        # Guards against one flag for all links: a data centre may be out of reach.
        async def scenario(fleet):
            fleet.matrix.cut(["vm-0"], fleet.targets[:2], state)
            await fleet.play(CONTACT_SECONDS)
            outcomes = await fleet.play(4.0)
            return share_answered(outcomes), fleet.vms["vm-0"].links.is_cut_off

        assert play(scenario) == (1.0, False)

    def test_all_vms_are_cut_off(self):
        # Two VMs must not pass a request to each other until its time is over.
        async def scenario(fleet):
            fleet.matrix.cut(fleet.vms, fleet.targets, Link.RESET)
            await fleet.play(CONTACT_SECONDS)
            fleet.hops = 0
            outcomes = await fleet.play(2.0)
            hops_per_request = fleet.hops / len(outcomes)
            return {o for _, _, o in outcomes}, hops_per_request < 1.0

        assert play(scenario) == ({"unsent"}, True)

    def test_cut_moves_from_one_vm_to_another(self):
        async def scenario(fleet):
            shares = []
            for vm in ("vm-0", "vm-1", "vm-0"):
                fleet.matrix.heal()
                fleet.matrix.cut([vm], fleet.targets, Link.SILENT)
                await fleet.play(CONTACT_SECONDS)
                shares.append(share_answered(await fleet.play(2.0)))
            return shares

        assert play(scenario) == [1.0, 1.0, 1.0]

    def test_vm_that_sends_for_others_ends(self):
        async def scenario(fleet):
            fleet.matrix.cut(["vm-0"], fleet.targets, Link.RESET)
            await fleet.play(CONTACT_SECONDS)
            fleet.vms["vm-1"].has_ended = True
            return share_answered(await fleet.play(3.0))

        assert play(scenario) == 1.0


class TestTargetsThatAreDown:
    def test_crashed_target_is_no_lost_link(self):
        # Guards against a relayed attempt for each request to a crashed target.
        async def scenario(fleet):
            fleet.matrix.down = {"i-0"}
            await fleet.play(1.0)
            fleet.hops = 0
            outcomes = await fleet.play(4.0, rate=30.0)
            failed = {name for _, name, outcome in outcomes if outcome != "answered"}
            requests = sum(name == "i-0" for _, name, _ in outcomes)
            cut_off = any(vm.links.is_cut_off for vm in fleet.vms.values())
            return failed, fleet.hops < requests / 2, cut_off

        assert play(scenario) == ({"i-0"}, True, False)

    def test_all_targets_are_down_and_come_back(self):
        async def scenario(fleet):
            fleet.matrix.down = set(fleet.targets)
            await fleet.play(3.0)
            fleet.matrix.down = set()
            await fleet.play(2.0)
            return share_answered(await fleet.play(2.0))

        assert play(scenario) == 1.0


class TestMutations:
    """Each clause of the decision is needed."""

    def test_finds_requests_that_are_never_relayed(self, monkeypatch):
        monkeypatch.setattr(
            LinkHealth, "choose_way", lambda self, name, moment: Way.DIRECT
        )
        assert find_violations(Link.RESET, 1)

    def test_finds_links_that_are_never_checked(self, monkeypatch):
        monkeypatch.setattr(LinkHealth, "take_due_check", lambda self, moment: "")
        assert find_violations(Link.RESET, 1)

    def test_finds_a_cut_that_no_other_target_reveals(self, monkeypatch):
        monkeypatch.setattr(LinkHealth, "is_cut_off", property(lambda self: False))
        assert find_violations(Link.SILENT, 1, vms=20, targets=30, cut_vms=17)

    def test_finds_vms_that_send_too_few_for_others(self, monkeypatch):
        monkeypatch.setattr(relay_server, "MAX_IN_FLIGHT", 1)
        monkeypatch.setattr(relay_server, "MIN_IN_FLIGHT", 1)
        assert find_violations(Link.RESET, 1)

    def test_finds_hanging_requests_that_are_not_noticed(self, monkeypatch):
        monkeypatch.setattr(
            target_links.TargetLinks, "_watch_attempts", lambda self, moment: None
        )
        assert play(send_over_silent_link) != "answered"
