"""HTTP API of the simulated target, as specified in ``target-contract.md``."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING

from berylstage_targets.target import GrantRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, Finish, HTTPError, RequestHandler

from berylstage_standins.connections import leave_unanswered
from berylstage_standins.job import Job
from berylstage_standins.work import Refused

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from berylstage_standins.target import Target

# Long enough that no two bodies of a test run share a digest.
DIGEST_HEX_DIGITS = 16


def body_digest(body: bytes) -> str:
    """Return the digest of a request's body as used in answers and ledgers.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    str
    """
    return hashlib.sha256(body).hexdigest()[:DIGEST_HEX_DIGITS]


class CrossedAnswer:
    """Answer to an earlier request, sent again by the fault ``cross_answers``."""

    __slots__ = ("body", "request_id")

    def __init__(self, request_id: str, body: bytes):
        self.request_id = request_id
        self.body = body


class TargetServer(HTTPServer):
    """HTTP server that limits and tracks its connections."""

    target: Target

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a connection, or close it if too many are open."""
        streams = self.target.streams
        if sum(not s.closed() for s in streams) >= self.target.connections:
            stream.close()
            return
        self.target.accepted += 1
        streams.add(stream)
        super().handle_stream(stream, address)


def make_server(target: Target) -> TargetServer:
    """Return an HTTP server for a target that does not listen yet.

    Parameters
    ----------
    target : Target

    Returns
    -------
    TargetServer
    """
    state = {"target": target}
    application = Application(
        [
            (r"/work/([^/]+)/([^/]+)/([^/]+)", _WorkHandler, state),
            (r"/grants", _GrantsHandler, state),
            (r"/cancel/([^/]+)", _CancelHandler, state),
            (r"/health", _HealthHandler, state),
            (r"/load", _LoadHandler, state),
            (r"/faults", _FaultsHandler, state),
        ],
        log_function=lambda handler: None,
    )
    server = TargetServer(application)
    server.target = target
    return server


class _Handler(RequestHandler):
    """Base class for calls that are subject to a freeze or a silent connection."""

    def initialize(self, target: Target) -> None:
        self.target = target
        self.stream = self.request.connection.stream  # type: ignore[union-attr]

    async def prepare(self) -> None:
        await self.wait_out_faults()

    async def wait_out_faults(self) -> None:
        """Wait until a freeze ends; on a silent connection, never answer."""
        if not self.is_exempt():
            await self.target.work.thawed.wait()
        if self.stream in self.target.silent:
            await leave_unanswered(self)

    def is_exempt(self) -> bool:
        """Return whether the call is answered during a freeze."""
        return False


class _WorkHandler(_Handler):
    """``POST /work/<service>/<kind>/<key>``."""

    job: Job | None = None

    async def post(self, service: str, kind: str, key: str) -> None:
        """Run the job; the answer identifies the job that it belongs to."""
        job = self._parse_job(service, kind, key)
        self.job = job
        incarnation = self.target.incarnation
        self.set_header("Request-Id", job.request_id)
        self.set_header("Incarnation", incarnation)
        try:
            await self.target.work.run(job)
        except Refused as exc:
            self._close_after_restart(incarnation)
            await self.wait_out_faults()
            self.set_status(503)
            self.set_header("Not-Run", exc.reason)
            return
        self._close_after_restart(incarnation)
        await self.wait_out_faults()
        await self._send_answer(job)

    def _parse_job(self, service: str, kind: str, key: str) -> Job:
        headers = self.request.headers
        try:
            return Job(
                request_id=headers["Request-Id"],
                service=service,
                kind=kind,
                key=key,
                shard=headers.get("Shard", ""),
                fence=int(headers.get("Fence", "0")),
                epoch=int(headers.get("Epoch", "0")),
                vm=headers.get("Vm", ""),
                idempotency_key=headers.get("Idempotency-Key", ""),
                digest=body_digest(self.request.body),
                deadline=int(headers.get("Deadline-Unix-Ms", "0")) / 1000,
            )
        except (KeyError, ValueError):
            raise HTTPError(400) from None

    def _close_after_restart(self, incarnation: str) -> None:
        """Close the connection if the incarnation that accepted the job has ended."""
        if incarnation != self.target.incarnation:
            self.detach().close()
            raise Finish

    async def _send_answer(self, job: Job) -> None:
        doc = {
            "target": self.target.name,
            "key": job.key,
            "request_id": job.request_id,
            "digest": job.digest,
        }
        answer = CrossedAnswer(job.request_id, json.dumps(doc).encode())
        faults = self.target.faults
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            self.detach().close()
            raise Finish
        if faults.cross_answers > 0:
            faults.cross_answers -= 1
            answer = self.target.last_answer
        self.target.last_answer = answer
        self.set_header("Request-Id", answer.request_id)
        self.set_header("Content-Type", "application/json")
        if faults.short_answers > 0:
            faults.short_answers -= 1
            await self._send_half_answer(answer.body)
        self.write(answer.body)

    async def _send_half_answer(self, body: bytes) -> None:
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.detach().close()
        raise Finish

    def on_connection_close(self) -> None:
        # On a silent connection the target does not notice the disconnect either.
        if self.job is not None and self.stream not in self.target.silent:
            self.job.dropped.set()


class _GrantsHandler(_Handler):
    """``PUT /grants``."""

    async def put(self) -> None:
        """Accept or refuse a grant request."""
        try:
            request = GrantRequest(**json.loads(self.request.body))
        except (TypeError, ValueError):
            raise HTTPError(400) from None
        reason = self.target.decide(request)
        self.write(
            {
                "accepted": not reason,
                "reason": reason,
                "clock": self.target.clock_ms(),
                "incarnation": self.target.incarnation,
                "cold": self.target.work.cold,
            }
        )


class _CancelHandler(_Handler):
    """``POST /cancel/<request id>``."""

    async def post(self, request_id: str) -> None:
        """Cancel a job and answer after the target has stopped working on it."""
        job = self.target.work.drop(request_id)
        if job is not None:
            await job.ended.wait()
        self.write({"found": job is not None})


class _HealthHandler(_Handler):
    """``GET /health``."""

    def is_exempt(self) -> bool:
        return self.target.faults.frozen_reports

    def get(self) -> None:
        """Return the target's name and incarnation."""
        self.write({"name": self.target.name, "incarnation": self.target.incarnation})


class _LoadHandler(_HealthHandler):
    """``GET /load``."""

    def get(self) -> None:
        """Return the load report."""
        self.write(self.target.load_report())


class _FaultsHandler(RequestHandler):
    """``/faults``, which is not subject to faults."""

    def initialize(self, target: Target) -> None:
        self.target = target

    def get(self) -> None:
        """Return the values of the switches."""
        self.write(self.target.faults.as_dict())

    def post(self) -> None:
        """Set switches.

        ``silence_connections``, ``cold_now`` and ``restart_now`` act once and are not
        stored.
        """
        doc = json.loads(self.request.body)
        silence = doc.pop("silence_connections", False)
        cold = doc.pop("cold_now", False)
        restart = doc.pop("restart_now", False)
        try:
            self.target.faults.set(doc)
        except ValueError as exc:
            self.set_status(400)
            self.write({"error": str(exc)})
            return
        self.target.apply_faults()
        self.write(self.target.faults.as_dict())
        if silence:
            self.target.silence_connections()
        if cold:
            self.target.work.begin_cold_start()
        if restart:
            self.finish()
            self.target.restart()
