"""Contract tests of the callers' interface, over real connections."""

from __future__ import annotations

import asyncio
import json
import time
import uuid

import pytest
from tornado.httpclient import HTTPClientError


def once(key=None, issued_at=None):
    """Return the headers of a request that may not be repeated."""
    moment = time.time() if issued_at is None else issued_at
    return {
        "Idempotency_Key": key or uuid.uuid4().hex,
        "Idempotency_Issued_At": str(int(moment * 1000)),
    }


def outcome(response):
    """Return what berylstage says of a request."""
    return response.headers["Berylstage-Outcome"]


# path, headers, status, reason
BAD_INPUT = [
    ("/no-such/lookup/k", {}, 404, "no-service"),
    ("/field-log/no-such/k", {}, 404, "no-kind"),
    ("/field-log/lookup/k", {"Request_Timeout_Ms": "soon"}, 400, "bad-timeout"),
    ("/field-log/lookup/k", {"Request_Timeout_Ms": "0"}, 400, "bad-timeout"),
    ("/field-log/record/k", {}, 400, "no-idempotency-key"),
    ("/field-log/record/k", {"Idempotency_Key": "a"}, 400, "no-issue-time"),
    (
        "/field-log/record/k",
        {"Idempotency_Key": "a", "Idempotency_Issued_At": "now"},
        400,
        "bad-issue-time",
    ),
]


class TestAnswered:
    @pytest.mark.parametrize("service", ["field-log", "contract-book"])
    def test_answer_is_that_of_this_request(self, path, service):
        response = path.run(path.call(f"/{service}/lookup/visit%207", "GET"))
        assert response.code == 200
        assert outcome(response) == "answered"
        assert json.loads(response.body)["key"] == "visit 7"
        assert response.headers["Berylstage-Target"] == f"{service}-01"

    def test_request_id_is_echoed(self, path):
        response = path.run(path.call("/field-log/lookup/k", "GET", Request_Id="r-17"))
        assert response.headers["Request-Id"] == "r-17"

    def test_work_that_may_not_be_repeated_runs_once(self, path):
        key = uuid.uuid4().hex
        response = path.run(path.call("/field-log/record/k", **once(key)))
        assert response.code == 200
        ran = [r for r in path.ledger("field-log") if r.get("idempotency_key") == key]
        assert len(ran) == 1


class TestRepeats:
    def test_same_key_again_gets_the_first_answer(self, path):
        # A caller lost the answer to its order and sends it again.
        key = uuid.uuid4().hex
        moment = time.time()
        first = path.run(path.call("/field-log/record/k", **once(key, moment)))
        second = path.run(path.call("/field-log/record/k", **once(key, moment)))
        assert first.code == second.code == 200
        assert first.body == second.body
        ran = [r for r in path.ledger("field-log") if r.get("idempotency_key") == key]
        assert len(ran) == 1

    def test_key_issued_before_this_vm_served_the_shard_is_refused(self, path):
        # The order may have run through a VM that is lost now; nobody can tell.
        headers = once(issued_at=time.time() - 3600)
        response = path.run(path.call("/field-log/record/k", **headers))
        assert response.code == 409
        assert outcome(response) == "unknown"
        assert response.headers["Berylstage-Reason"] == "not-fresh"

    def test_clock_ahead_is_told_so(self, path):
        headers = once(issued_at=time.time() + 3600)
        response = path.run(path.call("/field-log/record/k", **headers))
        assert response.code == 400
        assert outcome(response) == "not-run"
        assert response.headers["Berylstage-Reason"] == "clock-ahead"


class TestBadInput:
    @pytest.mark.parametrize("url, headers, status, reason", BAD_INPUT)
    def test_refusal_names_the_remedy(self, path, url, headers, status, reason):
        # A client is set up wrongly. It must read what to change, and be certain that
        # nothing ran.
        response = path.run(path.call(url, **headers))
        assert response.code == status
        assert outcome(response) == "not-run"
        assert response.headers["Berylstage-Reason"] == reason
        assert json.loads(response.body)["error"]

    def test_too_large_a_body_is_refused(self, path):
        # A client sends a scanned document where a short note belongs. Taken in, a
        # few of these would fill the memory of a small VM.
        response = path.run(path.call("/field-log/lookup/k", body=b"x" * 1_000_001))
        assert response.code == 413
        assert outcome(response) == "not-run"


class TestFaultyAnswers:
    def test_crossed_answer_never_reaches_the_caller(self, path):
        # A target mixes up two answers. Passed on, one customer would read the visit
        # history of another.
        path.faults("field-log", cross_answers=1)
        response = path.run(path.call("/field-log/lookup/mine", "GET"))
        assert response.code == 200
        assert json.loads(response.body)["key"] == "mine"

    def test_short_answer_is_not_passed_on(self, path):
        # The connection breaks in the middle of an answer. Passed on, half a price
        # sheet would look like a whole one.
        path.faults("contract-book", short_answers=1)
        response = path.run(path.call("/contract-book/lookup/sheet", "GET"))
        assert response.code == 200
        assert json.loads(response.body)["key"] == "sheet"

    @pytest.mark.parametrize(
        "fault", ["cross_answers", "short_answers", "lost_answers"]
    )
    def test_work_that_may_not_be_repeated_ends_as_unknown(self, path, fault):
        # The target has run a dispatch, and its answer is spoilt on the way back.
        # Called "not run", it would be sent again, and a second motor shipped.
        path.faults("field-log", **{fault: 1})
        key = uuid.uuid4().hex
        response = path.run(path.call("/field-log/record/k", **once(key)))
        assert response.code == 502
        assert outcome(response) == "unknown"
        ran = [r for r in path.ledger("field-log") if r.get("idempotency_key") == key]
        assert len(ran) == 1

    def test_silent_connections_cost_a_lookup_a_bounded_delay(self, path):
        # A firewall forgets the open connections to a target; new ones work. The
        # lookup is given up on the old connection and answered over a new one, well
        # before its deadline.
        async def play():
            await path.call("/field-log/lookup/k", "GET")
            path.targets["field-log"].silence_connections()
            return await path.call("/field-log/lookup/k", "GET")

        assert path.run(play()).code == 200


class TestNotRun:
    def test_shedding_target_is_told_at_once_with_when_to_come_back(self, path):
        # A target sheds all work. The caller must learn at once that nothing ran and
        # when to come back, not wait for its deadline.
        path.faults("contract-book", shed=True)
        response = path.run(path.call("/contract-book/lookup/k", "GET"))
        path.faults("contract-book", shed=False)
        assert response.code == 503
        assert outcome(response) == "not-run"
        assert int(response.headers["Retry-After"]) >= 1
        assert int(response.headers["Retry-After-Ms"]) > 0

    def test_request_that_cannot_make_its_deadline_is_refused(self, path):
        # All slots are taken by long work, and somebody asks for an answer within
        # milliseconds. Waiting would only make the refusal late.
        async def play():
            long = [
                asyncio.ensure_future(
                    path.call("/field-log/long/k", Request_Timeout_Ms="1500")
                )
                for _ in range(2)
            ]
            await asyncio.sleep(0.3)
            response = await path.call(
                "/field-log/long/k2", "GET", Request_Timeout_Ms="300"
            )
            await asyncio.gather(*long)
            return response

        response = path.run(play())
        assert response.code == 503
        assert outcome(response) == "not-run"
        assert response.headers["Berylstage-Reason"] in ("deadline", "queue-full")


class TestUnknown:
    def test_frozen_target_ends_as_unknown(self, path):
        # A target freezes with a dispatch in its hands. Nobody can tell whether it
        # will run when the target thaws, so the caller must not send it as new.
        path.run(path.idle())
        path.faults("field-log", freeze=True)
        try:
            response = path.run(
                path.call("/field-log/record/k", Request_Timeout_Ms="400", **once())
            )
        finally:
            path.faults("field-log", freeze=False)
        assert response.code == 504
        assert outcome(response) == "unknown"


class TestCallerGone:
    def test_work_is_cancelled_at_the_target(self, path):
        # A technician closes the app while long work runs. Left alone it would hold a
        # slot for a minute, for nobody.
        async def play():
            await path.idle()
            with pytest.raises(HTTPClientError):
                await path.call("/field-log/long/gone", timeout=0.5)
            for _ in range(100):
                ended = [
                    row
                    for row in path.ledger("field-log")
                    if row.get("key") == "gone" and row.get("outcome") == "dropped"
                ]
                if ended:
                    return True
                await asyncio.sleep(0.05)
            return False

        assert path.run(play())


class TestOwnPages:
    def test_status_tells_revision_lease_and_targets(self, path):
        response = path.run(path.call("/-/status", "GET"))
        status = json.loads(response.body)
        assert status["vm"] == "almaty-a-1"
        assert status["configuration_revision"] == 1
        names = [row["name"] for row in status["targets"]]
        assert names == ["contract-book-01", "field-log-01"]

    @pytest.mark.parametrize("url", ["/-/live", "/-/ready", "/-/"])
    def test_page_answers(self, path, url):
        assert path.run(path.call(url, "GET")).code == 200

    def test_owner_of_a_key(self, path):
        response = path.run(path.call("/-/owner/field-log/visit%207", "GET"))
        document = json.loads(response.body)
        assert document["target"] == "field-log-01"
        assert document["vm"] == "almaty-a-1"

    @pytest.mark.parametrize("service", ["contract-book", "no-such"])
    def test_no_owner_is_said_so(self, path, service):
        response = path.run(path.call(f"/-/owner/{service}/k", "GET"))
        assert response.code == 404
        assert json.loads(response.body)["error"]
