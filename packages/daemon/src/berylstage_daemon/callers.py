"""The HTTP interface towards callers."""

from __future__ import annotations

import asyncio
import math
import uuid
from contextlib import suppress
from typing import TYPE_CHECKING

from logbook import Logger
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from berylstage_daemon.answers import (
    DEFAULT_RETRY_AFTER,
    REMEDIES,
    Answer,
    Outcome,
    unknown,
)
from berylstage_daemon.clock import now
from berylstage_daemon.errors import RequestError
from berylstage_daemon.requests import (
    CallerRequest,
    find_kind,
    read_issue_time,
    read_name,
    read_timeout_ms,
)

if TYPE_CHECKING:
    from tornado.concurrent import Future

    from berylstage_daemon.application import Application

log = Logger("callers")

STATUS_UNAVAILABLE = 503
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class CallerHandler(RequestHandler):
    """Serves ``METHOD /<service>/<kind>/<key>``."""

    def initialize(self, app: Application) -> None:
        """Keep the application, which owns all parts.

        Parameters
        ----------
        app : Application
        """
        self.app = app
        self._serving: asyncio.Task | None = None

    async def get(self, service: str, kind: str, key: str) -> None:
        """Serve a request, whatever its method.

        Parameters
        ----------
        service, kind, key : str
            Parts of the URL, which tornado has decoded. Decoded once more, keys with
            a percent sign would become one with other keys.
        """
        with self.app.working():
            await self._answer(service, kind, key)

    async def _answer(self, service: str, kind: str, key: str) -> None:
        """Serve a request until its answer has left this VM."""
        request_id = uuid.uuid4().hex
        try:
            request_id = read_name(self.request.headers, "Request-Id") or request_id
            req = self._read_request(request_id, service, kind, key)
        except RequestError as exc:
            await self._refuse(request_id, exc)
            return
        answer = await self._serve(req)
        if answer is None:
            return
        with suppress(StreamClosedError):
            await self._write_answer(request_id, answer)

    post = put = patch = delete = head = get

    def compute_etag(self) -> None:
        """Add no tag of our own.

        Tornado would compare it with the caller's and answer 304 without a body; what
        a status says is for the target to decide.
        """

    def set_default_headers(self) -> None:
        """Leave the content type to the target, also where it names none."""
        self.clear_header("Content-Type")

    def finish(self, chunk: str | bytes | dict | None = None) -> Future[None]:
        """Send callers that keep their connection elsewhere while this VM stops.

        A balancer stops to send new connections, but requests go on to arrive on
        open ones, and the last of them would be cut. The answer tells it, because its
        request may have come before the stop.

        Parameters
        ----------
        chunk : str, bytes, dict or None
            Body.

        Returns
        -------
        Future
            Done when the answer has been written.
        """
        if self.app.stopping:
            self.set_header("Connection", "close")
        return super().finish(chunk)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer a request that the HTTP library refuses before it is served.

        Parameters
        ----------
        status_code : int
        **kwargs : object
            Cause, as tornado gives it.
        """
        self.set_header("Request-Id", uuid.uuid4().hex)
        self.set_header("Berylstage-Outcome", Outcome.NOT_RUN.value)
        self.set_header("Berylstage-Reason", "bad-request")
        self.finish(
            {
                "error": "send GET, HEAD, POST, PUT, PATCH or DELETE to "
                "/<service>/<kind>/<key>, each part percent-encoded UTF-8",
                "reason": "bad-request",
            }
        )

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that went away.

        Without this a caller that gave up still holds a slot of a target, and under
        overload most of the work done would be for nobody.
        """
        if self._serving is not None:
            self._serving.cancel()

    async def _serve(self, req: CallerRequest) -> Answer | None:
        """Return the answer, or None when the caller went away."""
        task = asyncio.ensure_future(self.app.serve(req))
        self._serving = task
        try:
            return await task
        except asyncio.CancelledError:
            return None
        except Exception:
            # Without this the caller would read a page of the HTTP library, from which
            # it cannot tell whether its request ran.
            log.exception("a request failed", extra={"request_id": req.request_id})
            return unknown("internal")

    def _read_request(
        self,
        request_id: str,
        service_name: str,
        kind_name: str,
        key: str,
    ) -> CallerRequest:
        """Return the request after all checks that need no other VM."""
        limit = int(self.app.cfg.body_limit)
        if len(self.request.body) > limit:
            raise RequestError(
                413, "body-too-large", f"send a body of at most {limit} bytes"
            )
        cfg = self.app.configuration()
        service, kind = find_kind(cfg, service_name, kind_name)
        headers = self.request.headers
        caller = read_name(headers, "Caller")
        content_type = read_name(headers, "Content-Type")
        timeout_ms = read_timeout_ms(headers.get("Request-Timeout-Ms"), kind)
        idempotency_key = ""
        issued_at_ms = 0
        if not kind.repeatable:
            idempotency_key = read_name(headers, "Idempotency-Key")
            issued_at = headers.get("Idempotency-Issued-At")
            issued_at_ms = read_issue_time(idempotency_key, issued_at)
        arrived = now()
        return CallerRequest(
            request_id=request_id,
            service=service,
            kind=kind,
            key=key,
            method=self.request.method or "GET",
            body=self.request.body,
            content_type=content_type,
            caller=caller,
            idempotency_key=idempotency_key,
            issued_at_ms=issued_at_ms,
            arrived=arrived,
            deadline=arrived + timeout_ms / 1000,
        )

    async def _refuse(self, request_id: str, exc: RequestError) -> None:
        """Answer a request that cannot be understood."""
        self.set_status(exc.status)
        self.set_header("Request-Id", request_id)
        self.set_header("Berylstage-Outcome", Outcome.NOT_RUN.value)
        self.set_header("Berylstage-Reason", exc.reason)
        if exc.status == STATUS_UNAVAILABLE:
            self._set_comeback(DEFAULT_RETRY_AFTER)
        await self.finish({"error": str(exc), "request_id": request_id})

    async def _write_answer(self, request_id: str, answer: Answer) -> None:
        """Write the end of a request to the caller."""
        self.set_status(answer.status)
        self.set_header("Request-Id", request_id)
        self.set_header("Berylstage-Outcome", answer.outcome.value)
        if answer.target:
            self.set_header("Berylstage-Target", answer.target)
        if answer.outcome is Outcome.ANSWERED:
            if answer.content_type:
                self.set_header("Content-Type", answer.content_type)
            # Tornado refuses any body, even an empty one, where a status allows none.
            has_body = answer.status not in STATUSES_WITHOUT_BODY
            await self.finish(answer.body if has_body else None)
            return
        self.set_header("Berylstage-Reason", answer.reason)
        if answer.retry_after is not None:
            self._set_comeback(answer.retry_after)
        await self.finish(
            {
                "error": answer.message or REMEDIES[answer.outcome],
                "reason": answer.reason,
                "request_id": request_id,
            }
        )

    def _set_comeback(self, seconds: float) -> None:
        """Tell the caller when to come back.

        The header has whole seconds (RFC 9110); the exact time stands beside it, so
        that callers who read it do not all come back together.
        """
        self.set_header("Retry-After", str(max(math.ceil(seconds), 1)))
        self.set_header("Retry-After-Ms", str(max(math.ceil(seconds * 1000), 1)))
