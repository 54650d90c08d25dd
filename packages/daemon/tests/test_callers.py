"""Contract tests of the callers' interface, over real connections."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from contextlib import nullcontext
from types import SimpleNamespace

import pytest
from berylstage_daemon.answers import Answer, Outcome, not_run
from berylstage_daemon.callers import CallerHandler
from berylstage_sheet.configuration import (
    Configuration,
    Kind,
    Ownership,
    RequestClass,
    Service,
)
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application as WebApplication


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
    (
        "/field-log/record/k",
        {"Idempotency_Key": "a", "Idempotency_Issued_At": "9" * 19},
        400,
        "bad-issue-time",
    ),
    (
        "/field-log/record/k",
        {"Idempotency_Key": "a" * 201, "Idempotency_Issued_At": "1"},
        400,
        "bad-header",
    ),
    ("/field-log/lookup/k", {"Request_Timeout_Ms": "9" * 5000}, 400, "bad-timeout"),
    ("/field-log/lookup/k", {"Request_Id": "r" * 201}, 400, "bad-header"),
    ("/field-log/lookup/k", {"Request_Id": "r\té"}, 400, "bad-header"),
    ("/field-log/lookup/k", {"Caller": "c" * 201}, 400, "bad-header"),
    ("/field-log/lookup/k", {"Content_Type": "t" * 201}, 400, "bad-header"),
    ("/field-log/lookup/%FF", {}, 400, "bad-request"),
]


class Door:
    """The callers' interface alone; the test says how requests end."""

    def __init__(self):
        self.stopping = False
        self.cfg = SimpleNamespace(body_limit=1000)
        self.working = nullcontext
        self.answer = Answer(Outcome.ANSWERED, 200)

    def configuration(self):
        kinds = {"lookup": Kind("lookup", RequestClass.INTERACTIVE, True, 5000)}
        service = Service("field-log", "saryarka", Ownership.OWNED, 8, kinds)
        return Configuration(1, {"field-log": service}, {}, {}, {}, [])

    async def serve(self, req):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    def call(self, **headers):
        """Send a request and return the HTTP response."""

        async def play():
            web = WebApplication([(r"/(.+)/(.+)/(.+)", CallerHandler, {"app": self})])
            server = HTTPServer(web)
            sockets = bind_sockets(0, "127.0.0.1")
            server.add_sockets(sockets)
            port = sockets[0].getsockname()[1]
            client = CurlAsyncHTTPClient(force_instance=True)
            response = await client.fetch(
                f"http://127.0.0.1:{port}/field-log/lookup/k",
                headers=headers,
                raise_error=False,
            )
            client.close()
            server.stop()
            await server.close_all_connections()
            return response

        return asyncio.run(play())


class TestDoor:
    @pytest.mark.parametrize("status", [200, 204, 304, 404, 500])
    def test_status_of_the_target_reaches_the_caller(self, status):
        # A target answers without a body. The HTTP library refuses to write an empty
        # one there, and the caller would read an error though its work was done.
        door = Door()
        door.answer = Answer(Outcome.ANSWERED, status)
        response = door.call()
        assert response.code == status
        assert outcome(response) == "answered"

    def test_answer_is_not_replaced_by_not_modified(self):
        # A caller sends a tag of an earlier answer. Compared by the HTTP library, the
        # caller would get an empty answer that its target never gave.
        door = Door()
        door.answer = Answer(Outcome.ANSWERED, 200, body=b"history")
        assert door.call(**{"If-None-Match": "*"}).code == 200

    def test_error_that_nobody_foresaw_ends_as_unknown(self):
        # A fault of our own. The caller must read that its request may have run.
        door = Door()
        door.answer = KeyError("field-log-01")
        response = door.call()
        assert response.code == 502
        assert outcome(response) == "unknown"

    def test_stopping_vm_sends_callers_elsewhere(self):
        # A VM stops, and a caller goes on to use its open connection. The last of its
        # requests would be cut.
        door = Door()
        door.stopping = True
        assert door.call().headers["Connection"] == "close"

    def test_time_to_come_back_is_never_zero(self):
        door = Door()
        door.answer = not_run("queue-full", 0.0001)
        headers = door.call().headers
        assert int(headers["Retry-After"]) == 1
        assert int(headers["Retry-After-Ms"]) == 1


class TestAnswered:
    @pytest.mark.parametrize("service", ["field-log", "contract-book"])
    def test_answer_is_that_of_this_request(self, path, service):
        response = path.run(path.call(f"/{service}/lookup/visit%207", "GET"))
        assert response.code == 200
        assert outcome(response) == "answered"
        assert json.loads(response.body)["key"] == "visit 7"
        assert response.headers["Berylstage-Target"] == f"{service}-01"

    def test_keys_with_percent_signs_stay_apart(self, path):
        # Two keys differ only in that one has a percent sign where the other has a
        # space. Decoded twice they would be one, and share an owner and a history.
        response = path.run(path.call("/field-log/lookup/visit%25207", "GET"))
        assert json.loads(response.body)["key"] == "visit%207"

    def test_request_id_is_echoed(self, path):
        response = path.run(path.call("/field-log/lookup/k", "GET", Request_Id="r-17"))
        assert response.headers["Request-Id"] == "r-17"

    def test_work_that_may_not_be_repeated_runs_once(self, path):
        key = uuid.uuid4().hex
        response = path.run(path.call("/field-log/record/k", **once(key)))
        assert response.code == 200
        ran = [r for r in path.ledger("field-log") if r.get("idempotency_key") == key]
        assert len(ran) == 1

    def test_a_conditional_request_gets_its_whole_answer(self, path):
        # A caller's library remembers the tag of an answer and sends it along. The
        # work runs, and its caller must get the target's answer, not an empty 304
        # that the router made up.
        first = path.run(path.call("/field-log/lookup/k", "GET", Request_Id="r-18"))
        assert "Etag" not in first.headers
        second = path.run(path.call("/field-log/lookup/k", "GET", If_None_Match="*"))
        assert second.code == 200
        assert json.loads(second.body)["key"] == "k"


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
        async def play():
            await path.idle()
            url = "/field-log/dispatch/k"
            call = path.call(url, Request_Timeout_Ms="1500", **once())
            task = asyncio.ensure_future(call)
            async with asyncio.timeout(20.0):
                while not path.targets["field-log"].work.running:
                    await asyncio.sleep(0.005)
            path.faults("field-log", freeze=True)
            return await task

        try:
            response = path.run(play())
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
        assert names == ["contract-book-01", "field-log-01", "parts-desk-01"]

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
