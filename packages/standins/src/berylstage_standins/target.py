"""Simulated target: its state and the process that serves it."""

from __future__ import annotations

import argparse
import asyncio
import time
import uuid
import weakref
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_standins.faults import TargetFaults
from berylstage_standins.grants import GrantTable
from berylstage_standins.ledger_writer import STARTED, LedgerWriter
from berylstage_standins.process import listen, run_until_signal
from berylstage_standins.target_server import CrossedAnswer, make_server
from berylstage_standins.work import ColdBreak, Work, WorkSettings

if TYPE_CHECKING:
    from berylstage_targets.target import GrantRequest
    from tornado.iostream import IOStream

# How long a stopping target waits for its jobs to complete.
DRAIN_TIMEOUT_SECONDS = 10.0
# Interval between two checks for unfinished jobs.
DRAIN_CHECK_INTERVAL_SECONDS = 0.02


class LoadSample:
    """Load of a target at one point in time."""

    __slots__ = ("cold", "running", "time")

    def __init__(self, time: float, running: int, cold: bool):
        self.time = time
        self.running = running
        self.cold = cold


class Target:
    """State of the simulated target.

    Parameters
    ----------
    name : str
    settings : WorkSettings
    ledger : LedgerWriter
    connections : int
        Largest number of open connections; further ones are closed.
    report_lag : float
        Seconds by which the load report lags behind.
    data_centre : str
        Data centre that is recorded in the ledger.

    Attributes
    ----------
    accepted : int
        Number of connections accepted since the start.
    """

    def __init__(
        self,
        name: str,
        settings: WorkSettings,
        ledger: LedgerWriter,
        connections: int = 120,
        report_lag: float = 0.0,
        data_centre: str = "",
    ):
        self.name = name
        self.connections = connections
        self.accepted = 0
        self.report_lag = report_lag
        self.data_centre = data_centre
        self.faults = TargetFaults()
        self.ledger = ledger
        self.incarnation = ""
        self.grants = GrantTable(self.clock_ms, lambda: self.incarnation)
        self.work = Work(settings, self.grants, ledger, self._sample, self.restart)
        self.silent: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self.streams: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self.last_answer = CrossedAnswer("another-request", b"{}")
        self._samples: deque[LoadSample] = deque()
        self.restart()

    def clock_ms(self) -> int:
        """Return the milliseconds since the incarnation began, starting at 1."""
        return int((time.monotonic() - self._started_at) * 1000) + 1

    def restart(self) -> None:
        """Begin a new incarnation without jobs or grants and cold, as after a crash."""
        self._started_at = time.monotonic()
        self.incarnation = uuid.uuid4().hex
        self.grants.clear()
        self.work.drop_all()
        self.work.begin_cold_start()
        for stream in list(self.streams):
            stream.close()
        self.ledger.append(
            {
                "event": STARTED,
                "wall": time.time(),
                "target": self.name,
                "data_centre": self.data_centre,
                "incarnation": self.incarnation,
                "checks_fences": self.work.settings.checks_fences,
            }
        )

    def apply_faults(self) -> None:
        """Apply the fault switches to the job execution."""
        self.work.slow_factor = self.faults.slow_factor
        self.work.shed_all = self.faults.shed
        self.work.draining = self.faults.draining
        if self.faults.freeze:
            self.work.thawed.clear()
        else:
            self.work.thawed.set()

    def silence_connections(self) -> None:
        """Stop answering on all open connections; new ones are not affected."""
        self.silent.update(self.streams)

    def decide(self, request: GrantRequest) -> str:
        """Accept or refuse a grant request; return the reason, empty if accepted."""
        if self.work.draining:
            return "draining"
        if self.faults.unwilling:
            return "unwilling"
        if not self.work.settings.checks_fences:
            return ""
        return self.grants.accept(request)

    def load_report(self) -> dict:
        """Return the load as of ``report_lag`` seconds ago, with faults applied."""
        self._sample()
        sample = self._samples[0]
        running = sample.running
        cold = sample.cold
        if self.faults.report_running >= 0:
            running = self.faults.report_running
        if self.faults.report_cold:
            cold = self.faults.report_cold == "yes"
        return {
            "running": running,
            "cold": cold,
            "draining": self.work.draining,
            "age_ms": int(self.report_lag * 1000),
        }

    def _sample(self) -> None:
        now = time.monotonic()
        samples = self._samples
        samples.append(LoadSample(now, self.work.running, self.work.cold))
        while len(samples) > 1 and samples[1].time <= now - self.report_lag:
            samples.popleft()


async def _serve(args: argparse.Namespace) -> None:
    settings = WorkSettings(
        slots=args.slots,
        backlog=args.backlog,
        cold_bound=args.cold_bound,
        cold_break=ColdBreak(args.cold_break),
        warm_after=args.warm_after,
        work_ms=dict(args.work_ms),
        seed=args.seed,
        checks_fences=args.checks_fences,
    )
    ledger = LedgerWriter(args.ledger)
    target = Target(
        args.name,
        settings,
        ledger,
        connections=args.connections,
        report_lag=args.report_lag,
        data_centre=args.data_centre,
    )
    server = make_server(target)
    address = listen(server, args.host, args.port)
    await run_until_signal(f"target {args.name} listening on {address}")
    target.work.draining = True
    end = time.monotonic() + DRAIN_TIMEOUT_SECONDS
    while target.work.jobs and time.monotonic() < end:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
    server.stop()
    ledger.close()


def _parse_work_ms(text: str) -> tuple[str, float]:
    """Parse ``kind=milliseconds``."""
    kind, _, value = text.partition("=")
    return kind, float(value)


def main() -> None:
    """Run the target until SIGTERM or SIGINT, then let jobs in progress complete."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--data-centre", default="")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--backlog", type=int, default=4)
    parser.add_argument("--connections", type=int, default=120)
    parser.add_argument(
        "--checks-fences", action=argparse.BooleanOptionalAction, default=True
    )
    parser.add_argument("--cold-bound", type=int, default=0, help="0 for no bound")
    parser.add_argument(
        "--cold-break", choices=[c.value for c in ColdBreak], default="slow"
    )
    parser.add_argument("--warm-after", type=int, default=50, help="completions")
    parser.add_argument(
        "--work-ms",
        type=_parse_work_ms,
        action="append",
        default=[],
        metavar="KIND=MS",
        help="median time of work of a kind",
    )
    parser.add_argument("--report-lag", type=float, default=0.0, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", type=Path)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
