"""Broken variants of the protocol, each of which the model has to catch.

A model that cannot find a fault proves nothing; these show what it is able to see.
"""

from __future__ import annotations

from berylstage_ownership.constants import LEASE
from berylstage_ownership.elector import Elector
from berylstage_ownership.events import StoreLost, StoreRead
from berylstage_ownership.grants import MILLISECONDS, LedTarget
from berylstage_ownership.proposer import StoreSession
from berylstage_ownership.takeover import Takeover


class TestNoWaitForTheOldLease:
    def test_is_caught(self, monkeypatch, caught):
        # The taker acts as soon as a majority promised, while a holder that is cut
        # off still sends. A user sees two answers from two targets for one key.
        whole = Takeover.promised

        def hasty(self, revision, elector, now, remaining):
            whole(self, revision, elector, now - 10.0, [0.0 for _ in remaining])

        monkeypatch.setattr(Takeover, "promised", hasty)
        assert caught()


class TestNoCheckOfTheRevision:
    def test_is_caught(self, monkeypatch, caught):
        # Electors go on confirming a holder whose shards were taken over. It renews
        # for ever next to its successor.
        whole = Elector._refusal

        def blind(self, *args):
            refusal = whole(self, *args)
            return "" if refusal == "revision" else refusal

        monkeypatch.setattr(Elector, "_refusal", blind)
        assert caught()


class TestBlindSecondWrite:
    def test_is_caught(self, monkeypatch, caught):
        # The answer of a write is lost, and the proposer writes the same again over
        # whatever the store holds by then. VMs then act on an assignment that the
        # store does not hold any more, and two targets own a shard.
        whole_reply = StoreSession.reply
        whole_polls = StoreSession.polls

        def reply(self, now, tag, result):
            call = self._calls.get(tag)
            if isinstance(result, StoreLost) and call and call.written:
                self.blind = call.written
            if isinstance(result, StoreRead) and result.key == self.assignment_key:
                self.blind_version = result.version
            return whole_reply(self, now, tag, result)

        def polls(self, now, role, behind):
            blind = getattr(self, "blind", None)
            if blind is not None and self.version is not None:
                self.blind = None
                return self.write(now, blind)
            return whole_polls(self, now, role, behind)

        monkeypatch.setattr(StoreSession, "reply", reply)
        monkeypatch.setattr(StoreSession, "polls", polls)
        assert caught()


class TestConfirmingRightAfterARestart:
    def test_is_caught(self, monkeypatch, caught):
        # A restarted elector forgot what it promised and confirms the old holder,
        # or promises a taker without knowing whom it confirmed a moment ago.
        monkeypatch.setattr(Elector, "is_mute", lambda self, now: False)
        assert caught()


class TestGrantFromTheSendingTime:
    def test_is_caught(self, monkeypatch, caught):
        # Each order grants a whole lease time from when it is sent, though the lease
        # behind it is older. The target works on after the leader's lease ended.
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
        assert caught()
