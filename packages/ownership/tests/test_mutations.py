"""Broken variants of the protocol: each must break what the sound one keeps.

A test that cannot find a fault proves nothing. Every scenario here runs twice, once
with the protocol as it is and once with one rule taken out.
"""

from __future__ import annotations

from berylstage_ownership.constants import LEASE
from berylstage_ownership.elector import Elector
from berylstage_ownership.events import StoreLost
from berylstage_ownership.grants import MILLISECONDS, LedTarget
from berylstage_ownership.proposer import StoreSession
from berylstage_ownership.takeover import Takeover
from ownership_setting import build_world, close, retire


def leader_of(world, target):
    vm = next(vm for vm in world.vms.values() if vm.node)
    return vm.node.leader_of(target).vm


def holder_cut_off_while_its_shards_move():
    world = build_world(vms=6)
    target = world.cfg.targets["visits-0"]
    world.cut_off([leader_of(world, target.name), target.name])
    world.edit(close(target.data_centre))
    world.run(4.0)
    return world.faults


def holder_that_no_document_reaches():
    world = build_world(vms=6)
    target = world.cfg.targets["visits-5"]
    holder = leader_of(world, target.name)
    assert holder not in world.vms["vm-0"].node.assignment.electorate
    world.dropped.add((holder, "fetch"))
    world.edit(retire(target.name))
    world.run(6.0)
    return world.faults


def proposer_paused_over_a_lost_answer():
    world = build_world(vms=6)
    proposer = next(
        vm for vm in world.vms.values() if vm.node.proposing(vm.local(world.time))
    )
    target = world.cfg.targets["visits-1"]
    other = world.cfg.targets["visits-2"]
    world.store.mode = "lost"
    revision = world.stored_revision
    world.edit(close(target.data_centre))
    while world.stored_revision == revision:
        world.run(0.025)
    world.pause(proposer.name, 3.0)
    world.store.mode = "up"
    world.edit(close(other.data_centre))
    world.run(8.0)
    return world.faults


def electors_restart_while_a_holder_is_cut_off():
    world = build_world(vms=6)
    target = world.cfg.targets["visits-0"]
    holder = leader_of(world, target.name)
    world.run(0.1)
    world.cut_off([holder, target.name])
    world.edit(close(target.data_centre))
    for name in world.vms:
        if name != holder:
            world.kill(name)
            world.start(name)
    world.run(4.0)
    return world.faults


def holder_moves_on_and_cannot_revoke():
    return [fault for seed in range(1, 7) for fault in moves_on(seed)]


def moves_on(seed):
    world = build_world(vms=6, seed=seed)
    target = world.cfg.targets["visits-5"]
    holder = leader_of(world, target.name)
    late = {(name, "claim") for name in world.vms}
    world.dropped = {(name, "release") for name in world.vms} | late
    world.edit(retire(target.name))
    world.cuts |= {(holder, target.name), (target.name, holder)}
    world.until_revision(world.stored_revision + 1)
    world.run(0.1)
    world.dropped -= late
    world.run(4.0)
    return world.faults


class TestMemoryOfEarlierRevisions:
    def test_is_needed(self, monkeypatch):
        # A holder learns of its loss at once and is confirmed at the new revision, but
        # cannot reach its target to revoke the grant. The taker's claim comes a little
        # later. An elector that only remembers the latest confirmation tells it that
        # nothing is left to wait for.
        assert holder_moves_on_and_cannot_revoke() == []
        whole = Elector.confirm

        def confirm(self, now, vm, incarnation, revision, *args):
            refusal = whole(self, now, vm, incarnation, revision, *args)
            if not refusal:
                self._confirmations[vm, incarnation] = {revision: now}
            return refusal

        monkeypatch.setattr(Elector, "confirm", confirm)
        assert holder_moves_on_and_cannot_revoke()


class TestWaitForTheOldLease:
    def test_is_needed(self, monkeypatch):
        # A holder is cut off together with its target and works on. A taker that
        # acts as soon as a majority promised makes a second owner, which users see as
        # two versions of one visit history.
        assert holder_cut_off_while_its_shards_move() == []
        whole = Takeover.promised

        def hasty(self, revision, elector, now, remaining):
            whole(self, revision, elector, now - 10.0, [0.0 for _ in remaining])

        monkeypatch.setattr(Takeover, "promised", hasty)
        assert holder_cut_off_while_its_shards_move()


class TestCheckOfTheRevision:
    def test_is_needed(self, monkeypatch):
        # A path lets small messages through and swallows documents, so that one VM
        # never hears that its shards went. Electors that do not look at the revision
        # confirm it for ever, next to its successor.
        assert holder_that_no_document_reaches() == []
        whole = Elector._refusal

        def blind(self, *args):
            refusal = whole(self, *args)
            return "" if refusal == "revision" else refusal

        monkeypatch.setattr(Elector, "_refusal", blind)
        assert holder_that_no_document_reaches()


class TestReadingBackALostWrite:
    def test_is_needed(self, monkeypatch):
        # The answer of a write is lost and its proposer is paused. A deputy goes on
        # from what the store holds; the first wakes and writes the same once more.
        # The deputy's assignment, which VMs act on, is gone from the store.
        assert proposer_paused_over_a_lost_answer() == []
        whole_reply, whole_polls = StoreSession.reply, StoreSession.polls

        def reply(self, now, tag, result):
            call = self._calls.get(tag)
            if isinstance(result, StoreLost) and call and call.written:
                self.blind = call.written
            return whole_reply(self, now, tag, result)

        def polls(self, now, role, behind):
            blind = getattr(self, "blind", None)
            if blind is not None and self.version is not None:
                self.blind = None
                return self.write(now, blind)
            return whole_polls(self, now, role, behind)

        monkeypatch.setattr(StoreSession, "reply", reply)
        monkeypatch.setattr(StoreSession, "polls", polls)
        assert proposer_paused_over_a_lost_answer()


class TestSilenceAfterARestart:
    def test_is_needed(self, monkeypatch):
        # All electors restart while a holder is cut off. They forgot that they
        # confirmed it a moment ago; a promise from them would be worth nothing.
        assert electors_restart_while_a_holder_is_cut_off() == []
        monkeypatch.setattr(Elector, "is_mute", lambda self, now: False)
        assert electors_restart_while_a_holder_is_cut_off()


class TestGrantFromTheAnchor:
    def test_is_needed(self, monkeypatch):
        # Each order grants a whole lease time from when it is sent, though the lease
        # behind it is older. The target works on after its leader's lease has ended.
        assert holder_cut_off_while_its_shards_move() == []
        whole = LedTarget.prepare

        def prepare(self, now, tag, wanted, lease_until):
            self.sent_now = now
            return whole(self, now, tag, wanted, lease_until)

        def lifetime_ms(self, lease_until):
            if self.anchor is None:
                return 0
            age = self.sent_now - self.anchor.heard_at
            return int((age + LEASE) * MILLISECONDS)

        monkeypatch.setattr(LedTarget, "prepare", prepare)
        monkeypatch.setattr(LedTarget, "lifetime_ms", lifetime_ms)
        assert holder_cut_off_while_its_shards_move()
