"""Tests of the protocol core's answers as the daemon's own."""

from __future__ import annotations

from types import SimpleNamespace

from berylstage_daemon.answers import DEFAULT_RETRY_AFTER
from berylstage_daemon.routes import Routes
from berylstage_ownership.refusals import NoLease, TargetClosed


def answer_to(refusal):
    """Return the answer that a refusal of the core means."""
    node = SimpleNamespace(admission=lambda now, service, shard: refusal)
    return Routes(node, lambda: None).permit("field-log", "field-log/7")


class TestRefusals:
    def test_closed_target_has_an_answer_of_its_own(self):
        # Operators close a data centre while the store is down, so that its keys
        # cannot move. Callers that come back at once would ask in vain all the time.
        answer = answer_to(TargetClosed("field-log-01"))
        assert answer.reason == "closed"
        assert answer.retry_after > DEFAULT_RETRY_AFTER
        assert "closed" in answer.message

    def test_lease_that_lapsed_is_asked_for_again_soon(self):
        assert answer_to(NoLease()).retry_after == DEFAULT_RETRY_AFTER
