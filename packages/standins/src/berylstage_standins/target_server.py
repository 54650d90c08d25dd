"""The target stand-in's HTTP calls, as ``target-contract.md`` lists them."""

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

# Digits of a digest: enough that no two bodies of a trial look alike.
DIGEST_LENGTH = 16


def body_digest(body: bytes) -> str:
    """Return the digest of a request's body as answers and ledgers name it.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    str
    """
    return hashlib.sha256(body).hexdigest()[:DIGEST_LENGTH]


class CrossedAnswer:
    """An answer that another request got, which a crossed one repeats."""

    __slots__ = ("body", "request_id")

    def __init__(self, request_id: str, body: bytes):
        self.request_id = request_id
        self.body = body


class TargetServer(HTTPServer):
    """Server that limits and remembers its connections."""

    target: Target

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a connection, or close it when there are too many."""
        streams = self.target.streams
        if sum(not s.closed() for s in streams) >= self.target.connections:
            stream.close()
            return
        self.target.accepted += 1
        streams.add(stream)
        super().handle_stream(stream, address)


def make_server(target: Target) -> TargetServer:
    """Return an HTTP server for a target, which listens nowhere yet.

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
    """A call that a freeze or a silent connection can strike."""

    def initialize(self, target: Target) -> None:
        self.target = target
        self.stream = self.request.connection.stream  # type: ignore[union-attr]

    async def prepare(self) -> None:
        await self.wait_out_faults()

    async def wait_out_faults(self) -> None:
        """Wait for the thaw; on a connection that went silent, answer nothing."""
        if not self.is_exempt():
            await self.target.work.thawed.wait()
        if self.stream in self.target.silent:
            await leave_unanswered(self)

    def is_exempt(self) -> bool:
        """Tell whether the call is answered even during a freeze."""
        return False


class _WorkHandler(_Handler):
    """``POST /work/<service>/<kind>/<key>``."""

    job: Job | None = None

    async def post(self, service: str, kind: str, key: str) -> None:
        """Run the job and answer with proof of which one it was."""
        job = self._job(service, kind, key)
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
        await self._answer(job)

    def _job(self, service: str, kind: str, key: str) -> Job:
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
        """End without an answer when the run that took the job is over."""
        if incarnation != self.target.incarnation:
            self.detach().close()
            raise Finish

    async def _answer(self, job: Job) -> None:
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
            await self._answer_half(answer.body)
        self.write(answer.body)

    async def _answer_half(self, body: bytes) -> None:
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.detach().close()
        raise Finish

    def on_connection_close(self) -> None:
        # On a silent connection not even its end comes through.
        if self.job is not None and self.stream not in self.target.silent:
            self.job.dropped.set()


class _GrantsHandler(_Handler):
    """``PUT /grants``."""

    async def put(self) -> None:
        """Take a grant order."""
        try:
            order = GrantRequest(**json.loads(self.request.body))
        except (TypeError, ValueError):
            raise HTTPError(400) from None
        reason = self.target.decide(order)
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
        """Drop a job and answer once the target works on it no more."""
        job = self.target.work.drop(request_id)
        if job is not None:
            await job.ended.wait()
        self.write({"found": job is not None})


class _HealthHandler(_Handler):
    """``GET /health``."""

    def is_exempt(self) -> bool:
        return self.target.faults.frozen_reports

    def get(self) -> None:
        """Answer that the process answers."""
        self.write({"name": self.target.name, "incarnation": self.target.incarnation})


class _LoadHandler(_HealthHandler):
    """``GET /load``."""

    def get(self) -> None:
        """Answer with the load report."""
        self.write(self.target.load_report())


class _FaultsHandler(RequestHandler):
    """``/faults``: never struck by a fault itself."""

    def initialize(self, target: Target) -> None:
        self.target = target

    def get(self) -> None:
        """Answer with the switches."""
        self.write(self.target.faults.as_dict())

    def post(self) -> None:
        """Set switches.

        ``silence_connections``, ``cold_now`` and ``restart_now`` act once.
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
            self.target.work.turn_cold()
        if restart:
            self.finish()
            self.target.restart()
