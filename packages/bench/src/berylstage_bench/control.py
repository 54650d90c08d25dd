"""What control costs a VM that serves nothing, at several sizes of a cell.

Processor time and memory come from ``/proc``, calls from the platform's own count.
Bytes are not measured: all processes of the machine share the loopback's counters.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from urllib.request import urlopen

from berylstage_sheet.configuration import MemberState, Vm

from berylstage_bench.operators import Operator
from berylstage_bench.processes import RUN_FOLDER, Installation, read_example
from berylstage_bench.processor import processor_seconds, resident_bytes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_sheet.configuration import Configuration

SIZES = (4, 8, 16)
# Electorate and leads settle within a few seconds; then nothing but control goes on.
SETTLE = 12.0
SECONDS = 10.0
MEGABYTE = 1e6


def control_configuration(vms: int) -> Configuration:
    """Return the demo's sheet with another number of VMs over its data centres.

    Parameters
    ----------
    vms : int

    Returns
    -------
    Configuration
    """
    cfg = read_example("demo")
    centres = sorted(cfg.data_centres)
    names = [(f"{centres[n % len(centres)]}-{n}", n) for n in range(vms)]
    cfg.vms = {
        name: Vm(name, centres[n % len(centres)], MemberState.ACTIVE)
        for name, n in names
    }
    return cfg


class ControlBench:
    """The benchmark at one size.

    Parameters
    ----------
    vms : int
    """

    def __init__(self, vms: int):
        self._installation = Installation(control_configuration(vms), RUN_FOLDER)

    async def run(self) -> str:
        """Measure and return the line of the table."""
        installation = self._installation
        try:
            await asyncio.to_thread(installation.start)
            await Operator(installation).apply(installation.sheet)
            await installation.await_ready()
            await asyncio.sleep(SETTLE)
            processor, calls = self._processor(), self._calls()
            await asyncio.sleep(SECONDS)
            processor_after, calls_after = self._processor(), self._calls()
            memory = [resident_bytes(installation.pid(n)) for n in installation.vms]
        finally:
            installation.stop()
        used = [
            (processor_after[name] - before) / SECONDS
            for name, before in processor.items()
        ]
        made = {
            kind: (calls_after[kind] - calls.get(kind, 0)) / SECONDS
            for kind in sorted(calls_after)
        }
        shown = ", ".join(f"{kind} {rate:.1f}" for kind, rate in made.items())
        return (
            f"{len(used):>4}  {_mean(used):>12.2%}  {max(used):>12.2%}  "
            f"{_mean(memory) / MEGABYTE:>7.1f}  {shown}"
        )

    def _processor(self) -> dict[str, float]:
        installation = self._installation
        return {n: processor_seconds(installation.pid(n)) for n in installation.vms}

    def _calls(self) -> dict[str, int]:
        url = f"http://{self._installation.platform}/counts"
        with urlopen(url, timeout=5) as answer:
            return json.load(answer)


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found)


def main() -> None:
    """Run the benchmark at each size."""
    print(" VMs  mean of core  most of core  MB each  store calls a second, all VMs")
    for vms in SIZES:
        print(asyncio.run(ControlBench(vms).run()), flush=True)


if __name__ == "__main__":
    main()
