"""A trial: an installation under load, judged by its ledgers at the end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_standins.call_record import CallOutcome

from berylstage_bench.audit import audit
from berylstage_bench.callers import Callers, Work
from berylstage_bench.operators import Operator
from berylstage_bench.processes import Installation, put_json, read_example
from berylstage_bench.verdict import Verdict

if TYPE_CHECKING:
    from pathlib import Path

    from berylstage_standins.ledger import Closure

CALLERS = 24
THINK = 0.08
KEYS = 40
# Each target starts cold, bears one request at a time until it has answered thirty, and
# writes into its ledger when it gets more.
COLD_START = ["--cold-bound=1", "--warm-after=30"]


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


class Trial:
    """The demo's installation with callers and an operator.

    Parameters
    ----------
    folder : Path
        For logs, ledgers and sheets.
    work_ms : dict of str to float
        Median time of work by kind, in milliseconds.
    callers : int
        Number of callers.
    """

    def __init__(
        self,
        folder: Path,
        work_ms: dict[str, float] | None = None,
        callers: int = CALLERS,
    ):
        self.cfg = read_example("demo")
        options = [f"--work-ms={kind}={ms:g}" for kind, ms in (work_ms or {}).items()]
        options += COLD_START
        self.installation = Installation(self.cfg, folder, target_options=options)
        self.operator = Operator(self.installation)
        self.closures: list[Closure] = []
        addresses = {vm.name: vm.http for vm in self.installation.vms.values()}
        self.callers = Callers(self.cfg, addresses, saryarka_mix(), callers, THINK)

    async def start(self) -> None:
        """Start everything, get the sheet in force and the callers to work."""
        await asyncio.to_thread(self.installation.start)
        await self.operator.apply(self.installation.sheet)
        await self.installation.await_ready()
        self.callers.start()

    async def finish(self) -> Verdict:
        """Let the callers end, stop all processes and judge the trial."""
        await self.callers.stop()
        self.installation.stop()
        requests = self.callers.requests
        findings = audit(self.installation.folder, requests, self.closures)
        return Verdict(self.cfg, requests, findings)

    async def unserved(self) -> list[str]:
        """Ask once for each owned key and return those that nobody answers for.

        Each is asked for as callers do, with retries, until they lose patience.

        Returns
        -------
        list of str
        """
        asked = [
            ("field-log", "visit-history", f"dryer-{number}") for number in range(KEYS)
        ] + [
            ("parts-desk", "order-status", f"depot-{number}") for number in range(KEYS)
        ]
        requests = await asyncio.gather(
            *(self.callers.request(*parts, caller="probe") for parts in asked)
        )
        return [
            f"{service}/{key}"
            for (service, _, key), req in zip(asked, requests, strict=True)
            if req.outcome is not CallOutcome.ANSWERED
        ]

    async def set_platform_faults(self, **switches: bool | int | str) -> None:
        """Set fault switches of the platform's stand-in."""
        url = f"http://{self.installation.platform}/faults"
        await asyncio.to_thread(put_json, url, switches)
