"""Tests of telling ends of targets from connections that were cut."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.link_check import CheckResult
from berylstage_entry.lost_answers import LossCause, LostAnswers
from berylstage_entry.protocols import CallerRequest, Record
from berylstage_entry.request_fingerprint import compute_fingerprint
from berylstage_entry.target_links import TargetLinks
from berylstage_transfers.errors import (
    AnswerLost,
    AnswerMalformed,
    AnswerMismatched,
    ConnectionClosed,
    EndedBy,
)
from fakes import target
from logbook import TestHandler as LogHandler

CLOSED = ConnectionClosed("reset")


def request(request_id="id-1", path="/a/1", body=b"", key=None, time_left=1.0):
    req = CallerRequest(request_id, "GET", "h", path, {}, time_left, key)
    req.body = body
    return req


def make_lost_answers(results, others=("b", "c")):
    """Return lost answers of targets whose links have the given results."""
    view = ClusterView()
    for name in ("a", *others):
        view.apply(Record(target=target(name)), now(), False)
    links = TargetLinks(view, None, Random(1))
    names = {target(name).address: name for name in ("a", *others)}
    checked = []

    async def check_link(address):
        checked.append(names[address])
        await asyncio.sleep(0)
        return results.get(names[address], CheckResult.ACCEPTED)

    links.check_link = check_link
    return LostAnswers(links), checked


def find_cause(results, exc=CLOSED, **others):
    lost_answers, _ = make_lost_answers(results, **others)
    return asyncio.run(lost_answers.find_cause(request(), 1, target("a"), exc))


class TestLostAnswers:
    def test_target_that_refuses_alone_has_ended(self):
        cause = find_cause({"a": CheckResult.REFUSED})
        assert cause is LossCause.TARGET_ENDED

    def test_only_target_that_refuses_has_ended(self):
        cause = find_cause({"a": CheckResult.REFUSED}, others=())
        assert cause is LossCause.TARGET_ENDED

    def test_target_that_accepts_has_not_ended(self):
        # Guards against suspecting requests whose connection was merely reset.
        assert find_cause({}) is LossCause.CONNECTION_CLOSED

    @pytest.mark.parametrize("state", [CheckResult.REFUSED, CheckResult.SILENT])
    def test_vm_without_links_knows_no_end(self, state):
        # Guards against a VM that is cut off and blames its own requests.
        cause = find_cause({name: state for name in "abc"})
        assert cause is LossCause.UNKNOWN

    def test_late_answer_is_no_end(self):
        cause = find_cause({"a": CheckResult.REFUSED}, AnswerLost("timed out"))
        assert cause is LossCause.UNKNOWN

    def test_answer_to_another_request_names_both(self):
        # Guards against a target that repeats answers without a word in the log.
        with LogHandler() as handler:
            cause = find_cause({}, AnswerMismatched("other", "id-7"))
        assert cause is LossCause.OTHER_ANSWER
        extra = handler.records[0].extra
        assert (extra["id"], extra["answered"]) == ("id-1", "id-7")

    def test_malformed_answer_has_its_own_cause(self):
        # Guards against an operator who looks for a broken link.
        with LogHandler() as handler:
            cause = find_cause({}, AnswerMalformed("x", EndedBy.CLIENT, "no field"))
        assert cause is LossCause.MALFORMED_ANSWER
        assert handler.records[0].extra["reason"] == "no field"

    def test_log_says_who_ended_the_call_and_why(self):
        # Guards against a request given up by the VM that looks like a fault outside.
        exc = AnswerLost("x", EndedBy.CLIENT, "the link to the target is lost")
        with LogHandler() as handler:
            find_cause({}, exc)
        extra = handler.records[0].extra
        assert extra["ended_by"] == "client"
        assert extra["reason"] == "the link to the target is lost"

    def test_requests_lost_together_cause_one_check(self):
        # Guards against a connection for each of the requests that a target has lost.
        lost_answers, checked = make_lost_answers({})

        async def lose():
            causes = (
                lost_answers.find_cause(request(f"id-{n}"), n, target("a"), CLOSED)
                for n in range(8)
            )
            return await asyncio.gather(*causes)

        assert set(asyncio.run(lose())) == {LossCause.CONNECTION_CLOSED}
        assert checked == ["a"]


class TestFingerprint:
    def test_attempts_of_one_request_share_it(self):
        first, second = request("id-1", time_left=1.0), request("id-2", time_left=0.4)
        assert compute_fingerprint("s", first) == compute_fingerprint("s", second)

    def test_what_a_target_sees_tells_requests_apart(self):
        others = [
            request(path="/a/2"),
            request(key=1),
            request(body=b"/a/1"),
            request(path="/a/", body=b"1"),
        ]
        prints = {compute_fingerprint("s", req) for req in [request(), *others]}
        assert len(prints) == 1 + len(others)

    def test_services_do_not_share_it(self):
        req = request()
        assert compute_fingerprint("s", req) != compute_fingerprint("t", req)
