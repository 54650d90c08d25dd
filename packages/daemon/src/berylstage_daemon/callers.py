"""The HTTP interface towards callers."""

from __future__ import annotations

import asyncio
import math
import uuid
from typing import TYPE_CHECKING
from urllib.parse import unquote

from tornado.web import RequestHandler

from berylstage_daemon.answers import REMEDIES, Answer, Outcome
from berylstage_daemon.clock import now
from berylstage_daemon.errors import RequestError
from berylstage_daemon.requests import (
    CallerRequest,
    find_kind,
    read_issue_time,
    read_timeout_ms,
)

if TYPE_CHECKING:
    from berylstage_daemon.application import Application


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
            Parts of the URL, percent-encoded.
        """
        headers = self.request.headers
        request_id = headers.get("Request-Id") or uuid.uuid4().hex
        try:
            req = self._read_request(request_id, service, kind, key)
        except RequestError as exc:
            self._refuse(request_id, exc)
            return
        answer = await self._serve(req)
        if answer is not None:
            self._write_answer(request_id, answer)

    post = put = patch = delete = head = get

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
        service, kind = find_kind(cfg, unquote(service_name), unquote(kind_name))
        headers = self.request.headers
        timeout_ms = read_timeout_ms(headers.get("Request-Timeout-Ms"), kind)
        idempotency_key = ""
        issued_at_ms = 0
        if not kind.repeatable:
            idempotency_key = headers.get("Idempotency-Key", "")
            issued_at = headers.get("Idempotency-Issued-At")
            issued_at_ms = read_issue_time(idempotency_key, issued_at)
        arrived = now()
        return CallerRequest(
            request_id=request_id,
            service=service,
            kind=kind,
            key=unquote(key),
            method=self.request.method or "GET",
            body=self.request.body,
            content_type=headers.get("Content-Type", ""),
            caller=headers.get("Caller", ""),
            idempotency_key=idempotency_key,
            issued_at_ms=issued_at_ms,
            arrived=arrived,
            deadline=arrived + timeout_ms / 1000,
        )

    def _refuse(self, request_id: str, exc: RequestError) -> None:
        """Answer a request that cannot be understood."""
        self.set_status(exc.status)
        self.set_header("Request-Id", request_id)
        self.set_header("Berylstage-Outcome", Outcome.NOT_RUN.value)
        self.set_header("Berylstage-Reason", exc.reason)
        self.finish({"error": str(exc), "request_id": request_id})

    def _write_answer(self, request_id: str, answer: Answer) -> None:
        """Write the end of a request to the caller."""
        self.set_status(answer.status)
        self.set_header("Request-Id", request_id)
        self.set_header("Berylstage-Outcome", answer.outcome.value)
        if answer.target:
            self.set_header("Berylstage-Target", answer.target)
        if answer.outcome is Outcome.ANSWERED:
            if answer.content_type:
                self.set_header("Content-Type", answer.content_type)
            self.finish(answer.body)
            return
        self.set_header("Berylstage-Reason", answer.reason)
        if answer.retry_after is not None:
            # The header has whole seconds (RFC 9110); the exact time stands beside
            # it, so that callers who read it do not all come back together.
            self.set_header("Retry-After", str(math.ceil(answer.retry_after)))
            self.set_header("Retry-After-Ms", str(int(answer.retry_after * 1000)))
        self.finish(
            {
                "error": answer.message or REMEDIES[answer.outcome],
                "reason": answer.reason,
                "request_id": request_id,
            }
        )
