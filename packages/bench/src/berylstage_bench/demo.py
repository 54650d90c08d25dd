"""The demo: a day of a small installation in a minute, with its faults."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

from berylstage_standins.ledger import Closure

from berylstage_bench.audit import audit
from berylstage_bench.callers import Callers, Work
from berylstage_bench.operators import Operator
from berylstage_bench.processes import RUN_FOLDER, Installation, read_example
from berylstage_bench.verdict import Verdict

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration

CLOSED_DATA_CENTRE = "shymkent-a"
LOST_VM = "almaty-b-1"
LOST_TARGET = "field-log-01"
CALLERS = 24
THINK = 0.08
KEYS = 40
PROGRESS_EVERY = 1.0


class Times:
    """Seconds that each part of the demo lasts.

    Parameters
    ----------
    quiet, closed, vm_lost, target_lost, restarted, reopened : float
        ``closed`` is longer than the grace of a closed data centre.
    """

    __slots__ = (
        "quiet",
        "closed",
        "vm_lost",
        "target_lost",
        "restarted",
        "reopened",
    )

    def __init__(
        self,
        quiet: float,
        closed: float,
        vm_lost: float,
        target_lost: float,
        restarted: float,
        reopened: float,
    ):
        self.quiet = quiet
        self.closed = closed
        self.vm_lost = vm_lost
        self.target_lost = target_lost
        self.restarted = restarted
        self.reopened = reopened


LONG = Times(6, 8, 5, 5, 6, 8)
SHORT = Times(1.5, 4, 2.5, 2.5, 1.5, 2)


def saryarka_mix() -> list[Work]:
    """Return the mix of requests: lookups, visit histories and parts orders."""
    visits = [f"dryer-{number}" for number in range(KEYS)]
    depots = [f"depot-{number}" for number in range(KEYS)]
    tenders = [f"tender-{number}" for number in range(KEYS)]
    return [
        Work("field-log", "visit-history", 0.40, [*visits, "almaty-mega-centre"]),
        Work("field-log", "record-visit", 0.10, visits),
        Work("parts-desk", "order-status", 0.10, depots),
        Work("parts-desk", "dispatch", 0.15, [*depots, "karaganda-depot"]),
        Work("contract-book", "price-sheet", 0.25, tenders),
    ]


class Demo:
    """One run of the demo.

    Parameters
    ----------
    times : Times
    """

    def __init__(self, times: Times):
        self._times = times
        self._cfg: Configuration = read_example("demo")
        self._installation = Installation(self._cfg, RUN_FOLDER)
        self._operator = Operator(self._installation)
        self._begin = time.monotonic()
        self._callers = Callers(
            self._cfg,
            {vm.name: vm.http for vm in self._installation.vms.values()},
            saryarka_mix(),
            CALLERS,
            THINK,
        )

    async def run(self) -> Verdict:
        """Run the demo and return what came of it."""
        self._tell(f"starting the processes; logs and ledgers go to {RUN_FOLDER.name}/")
        try:
            await asyncio.to_thread(self._installation.start)
            await self._operator.apply(self._installation.sheet)
            await self._installation.await_ready()
            self._tell(
                f"{len(self._cfg.targets)} targets and 4 VMs; the sheet is in force"
            )
            closure = await self._traffic()
        finally:
            self._installation.stop()
        requests = self._callers.requests
        findings = audit(self._installation.folder, requests, [closure])
        return Verdict(self._cfg, requests, findings)

    async def _traffic(self) -> Closure:
        """Run the events of the day under traffic."""
        self._callers.start()
        progress = asyncio.ensure_future(self._show_progress())
        try:
            closure = await self._events()
        finally:
            progress.cancel()
        await self._callers.stop()
        return closure

    async def _events(self) -> Closure:
        """Close a data centre, lose a VM and a target, and get all of it back."""
        await asyncio.sleep(self._times.quiet)
        self._tell(f"closing {CLOSED_DATA_CENTRE}: export, edit, apply")
        accepted = await self._operator.set_data_centre(CLOSED_DATA_CENTRE, "closed")
        self._tell(f"{CLOSED_DATA_CENTRE} is closed on every VM")
        await asyncio.sleep(self._times.closed)
        self._tell(f"killing VM {LOST_VM}")
        self._installation.kill(LOST_VM)
        await asyncio.sleep(self._times.vm_lost)
        self._tell(f"killing target {LOST_TARGET}")
        self._installation.kill(LOST_TARGET)
        await asyncio.sleep(self._times.target_lost)
        self._tell(f"starting {LOST_VM} and {LOST_TARGET} again")
        await asyncio.to_thread(self._installation.start_target, LOST_TARGET)
        await asyncio.to_thread(self._installation.start_vm, LOST_VM)
        await asyncio.sleep(self._times.restarted)
        self._tell(f"reopening {CLOSED_DATA_CENTRE}")
        reopened = await self._operator.set_data_centre(CLOSED_DATA_CENTRE, "open")
        self._tell(f"{CLOSED_DATA_CENTRE} is open on every VM")
        await asyncio.sleep(self._times.reopened)
        return Closure(CLOSED_DATA_CENTRE, accepted, reopened)

    async def _show_progress(self) -> None:
        """Print what became of the attempts of each second."""
        shown = 0
        while True:
            await asyncio.sleep(PROGRESS_EVERY)
            attempts = [a for req in self._callers.requests for a in req.attempts]
            attempts.sort(key=lambda attempt: attempt.record.end)
            counts = Counter(a.outcome.value for a in attempts[shown:])
            shown = len(attempts)
            parts = [f"{count} {name}" for name, count in sorted(counts.items())]
            self._tell("  " + ", ".join(parts or ["nothing ended"]))

    def _tell(self, text: str) -> None:
        print(f"{time.monotonic() - self._begin:5.1f} s  {text}", flush=True)


async def _run(times: Times) -> Verdict:
    # Without a handler SIGTERM would end this process and leave the others running.
    work = asyncio.ensure_future(Demo(times).run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, work.cancel)
    return await work


def main() -> int:
    """Run the demo; the exit status is not 0 when something that must hold broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="under 25 s, for CI")
    args = parser.parse_args()
    verdict = asyncio.run(_run(SHORT if args.short else LONG))
    for line in verdict.lines():
        print(line)
    return 0 if verdict.holds else 1


if __name__ == "__main__":
    sys.exit(main())
