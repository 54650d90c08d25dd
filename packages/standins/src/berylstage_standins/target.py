"""Stand-in for a target: fenced work over HTTP, with faults to switch on."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import time
import uuid
import weakref
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_targets.target import GrantOrder
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, Finish, RequestHandler

from berylstage_standins.faults import Faults
from berylstage_standins.grants import GrantTable
from berylstage_standins.ledger import STARTED, LedgerWriter
from berylstage_standins.process import run_until_signal
from berylstage_standins.work import Job, Refused, WorkSettings, Workshop

if TYPE_CHECKING:
    from tornado.iostream import IOStream

# Seconds that a target which was told to stop waits for its jobs.
DRAIN_TIMEOUT = 10.0
# Digits of a digest: enough that no two bodies of a trial look alike.
DIGEST_LENGTH = 16


class TargetFaults(Faults):
    """Fault switches of a target.

    ``freeze``: connections are accepted and nothing is answered until it is switched
    off; then all goes on as if nothing had happened. ``slow_factor`` multiplies the
    time of work. ``cross_answers``: that many of the next answers are those of another
    request. ``short_answers``: that many of the next answers break off in the body.
    ``unwilling`` refuses grants. ``shed`` refuses work. ``draining`` refuses both.
    ``report_running``: number of running jobs that the load report claims; -1 for the
    truth. ``report_cold``: ``""`` for the truth, else ``yes`` or ``no``.
    """

    __slots__ = (
        "cross_answers",
        "draining",
        "freeze",
        "report_cold",
        "report_running",
        "shed",
        "short_answers",
        "slow_factor",
        "unwilling",
    )

    DEFAULTS = {
        "freeze": False,
        "slow_factor": 1.0,
        "cross_answers": 0,
        "short_answers": 0,
        "unwilling": False,
        "shed": False,
        "draining": False,
        "report_running": -1,
        "report_cold": "",
    }

    freeze: bool
    slow_factor: float
    cross_answers: int
    short_answers: int
    unwilling: bool
    shed: bool
    draining: bool
    report_running: int
    report_cold: str


class Target:
    """State of the stand-in.

    Parameters
    ----------
    name : str
    settings : WorkSettings
    connections : int
        Connections accepted at once; more are closed.
    ledger : LedgerWriter
    report_lag : float
        Seconds by which the load report is late.
    """

    def __init__(
        self,
        name: str,
        settings: WorkSettings,
        connections: int,
        ledger: LedgerWriter,
        report_lag: float = 0.0,
    ):
        self.name = name
        self.connections = connections
        self.faults = TargetFaults()
        self.incarnation = uuid.uuid4().hex
        self.grants = GrantTable(self.clock_ms, lambda: self.incarnation)
        self.ledger = ledger
        self.work = Workshop(settings, self.grants, ledger)
        self.report_lag = report_lag
        self._born = time.monotonic()
        self._reports: deque[tuple[float, int, bool]] = deque()
        self.silent: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self.streams: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self.last_answer: tuple[str, bytes] = ("another-request", b"{}")
        ledger.append(
            {
                "event": STARTED,
                "wall": time.time(),
                "target": name,
                "incarnation": self.incarnation,
                "checks_fences": settings.checks_fences,
            }
        )

    def clock_ms(self) -> int:
        """Return the target's own clock, in milliseconds; it starts at 1."""
        return int((time.monotonic() - self._born) * 1000) + 1

    def apply_faults(self) -> None:
        """Let the work see the switches."""
        self.work.slow_factor = self.faults.slow_factor
        self.work.shed_all = self.faults.shed
        self.work.draining = self.faults.draining
        if self.faults.freeze:
            self.work.thawed.clear()
        else:
            self.work.thawed.set()

    def silence_connections(self) -> None:
        """Let every open connection go silent; new ones work."""
        self.silent.update(self.streams)

    def load_report(self) -> dict:
        """Return the load as it was ``report_lag`` seconds ago, or as misreported."""
        now = time.monotonic()
        self._reports.append((now, self.work.running, self.work.cold))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.report_lag:
            self._reports.popleft()
        taken, running, cold = self._reports[0]
        if self.faults.report_running >= 0:
            running = self.faults.report_running
        if self.faults.report_cold:
            cold = self.faults.report_cold == "yes"
        return {
            "running": running,
            "cold": cold,
            "draining": self.work.draining,
            "age_ms": int((now - taken) * 1000),
        }

    def server(self) -> HTTPServer:
        """Return the HTTP server, which listens nowhere yet."""
        state = {"target": self}
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
        server = _Server(application)
        server.target = self
        return server


class _Server(HTTPServer):
    """Server that limits and remembers its connections."""

    target: Target

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        streams = self.target.streams
        if sum(not s.closed() for s in streams) >= self.target.connections:
            stream.close()
            return
        streams.add(stream)
        super().handle_stream(stream, address)


class _Handler(RequestHandler):
    """A call that a freeze or a silent connection can strike."""

    def initialize(self, target: Target) -> None:
        self.target = target
        self.stream = self.request.connection.stream  # type: ignore[union-attr]

    async def prepare(self) -> None:
        await self.target.work.thawed.wait()
        await self.stay_silent_if_lost()

    async def stay_silent_if_lost(self) -> None:
        """Answer nothing on a connection that went silent."""
        if self.stream not in self.target.silent:
            return
        stream = self.detach()
        while not stream.closed():
            try:
                await stream.read_bytes(1)
            except StreamClosedError:
                break
        raise Finish

    async def before_answer(self) -> None:
        """Wait out what keeps an answer from leaving."""
        await self.target.work.thawed.wait()
        await self.stay_silent_if_lost()


class _WorkHandler(_Handler):
    """``POST /work/<service>/<kind>/<key>``."""

    job: Job | None = None

    async def post(self, service: str, kind: str, key: str) -> None:
        """Run the job and answer with proof of which one it was."""
        job = self._job(service, kind, key)
        self.job = job
        self.set_header("Request-Id", job.request_id)
        self.set_header("Incarnation", self.target.incarnation)
        try:
            await self.target.work.run(job)
        except Refused as exc:
            await self.before_answer()
            self.set_status(503)
            self.set_header("Not-Run", exc.reason)
            return
        await self.before_answer()
        await self._answer(job)

    def _job(self, service: str, kind: str, key: str) -> Job:
        headers = self.request.headers
        return Job(
            request_id=headers.get("Request-Id", ""),
            service=service,
            kind=kind,
            key=key,
            shard=int(headers.get("Shard", "0")),
            fence=int(headers.get("Fence", "0")),
            epoch=int(headers.get("Epoch", "0")),
            vm=headers.get("Vm", ""),
            idempotency_key=headers.get("Idempotency-Key", ""),
            digest=hashlib.sha256(self.request.body).hexdigest()[:DIGEST_LENGTH],
            deadline=int(headers.get("Deadline-Unix-Ms", "0")) / 1000,
        )

    async def _answer(self, job: Job) -> None:
        faults = self.target.faults
        body = json.dumps(
            {
                "target": self.target.name,
                "key": job.key,
                "request_id": job.request_id,
                "digest": job.digest,
            }
        ).encode()
        request_id = job.request_id
        if faults.cross_answers > 0:
            faults.cross_answers -= 1
            request_id, body = self.target.last_answer
        else:
            self.target.last_answer = (request_id, body)
        self.set_header("Request-Id", request_id)
        self.set_header("Content-Type", "application/json")
        if faults.short_answers > 0:
            faults.short_answers -= 1
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: len(body) // 2])
            await self.flush()
            self.detach().close()
            raise Finish
        self.write(body)

    def on_connection_close(self) -> None:
        if self.job is not None:
            self.job.cancelled.set()


class _GrantsHandler(_Handler):
    """``PUT /grants``."""

    async def put(self) -> None:
        """Take a grant order."""
        order = GrantOrder(**json.loads(self.request.body))
        reason = self._decide(order)
        await self.before_answer()
        self.write(
            {
                "accepted": not reason,
                "reason": reason,
                "clock": self.target.clock_ms(),
                "incarnation": self.target.incarnation,
                "cold": self.target.work.cold,
            }
        )

    def _decide(self, order: GrantOrder) -> str:
        if self.target.work.draining:
            return "draining"
        if self.target.faults.unwilling:
            return "unwilling"
        if not self.target.work.settings.checks_fences:
            return ""
        return self.target.grants.accept(order)


class _CancelHandler(_Handler):
    """``POST /cancel/<request id>``."""

    def post(self, request_id: str) -> None:
        """Drop a job."""
        self.write({"found": self.target.work.cancel(request_id)})


class _HealthHandler(_Handler):
    """``GET /health``."""

    def get(self) -> None:
        """Answer that the process answers."""
        self.write({"name": self.target.name, "incarnation": self.target.incarnation})


class _LoadHandler(_Handler):
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
        """Set switches; ``silence_connections`` and ``cold_now`` act once."""
        doc = json.loads(self.request.body)
        if doc.pop("silence_connections", False):
            self.target.silence_connections()
        if doc.pop("cold_now", False):
            self.target.work.turn_cold()
        try:
            self.target.faults.set(doc)
        except ValueError as exc:
            self.set_status(400)
            self.write({"error": str(exc)})
            return
        self.target.apply_faults()
        self.write(self.target.faults.as_dict())


async def _serve(args: argparse.Namespace) -> None:
    settings = WorkSettings(
        slots=args.slots,
        backlog=args.backlog,
        cold_bound=args.cold_bound,
        warm_after=args.warm_after,
        work_ms=dict(args.work_ms),
        seed=args.seed,
        checks_fences=args.checks_fences,
    )
    ledger = LedgerWriter(args.ledger)
    target = Target(args.name, settings, args.connections, ledger, args.report_lag)
    server = target.server()
    server.listen(args.port, args.host)
    await run_until_signal(f"target {args.name} listening on {args.host}:{args.port}")
    target.work.draining = True
    end = time.monotonic() + DRAIN_TIMEOUT
    while target.work.jobs and time.monotonic() < end:
        await asyncio.sleep(0.02)
    server.stop()
    await server.close_all_connections()
    ledger.close()


def _work_ms(text: str) -> tuple[str, float]:
    """Read ``kind=milliseconds``."""
    kind, _, value = text.partition("=")
    return kind, float(value)


def main() -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--backlog", type=int, default=4)
    parser.add_argument("--connections", type=int, default=120)
    parser.add_argument(
        "--checks-fences", action=argparse.BooleanOptionalAction, default=True
    )
    parser.add_argument("--cold-bound", type=int, default=0, help="0 for no bound")
    parser.add_argument("--warm-after", type=int, default=50, help="completions")
    parser.add_argument("--work-ms", type=_work_ms, action="append", default=[])
    parser.add_argument("--report-lag", type=float, default=0.0, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", type=Path)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
