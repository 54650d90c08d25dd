"""Soak: an installation under load, with one fault after the other.

Run it by ``make soak SECONDS=60 SEED=1``. It ends with what callers were told and what
must never be, and with status 1 when there is any of that. The seed draws faults and
keys; processes are real, so two plays of one seed differ in their timing.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path
from random import Random

# The adapter's folder and the stand-ins' one, as the tests have them.
HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parents[1] / "platform")]

from soak.faults import FAULTS, Fault  # noqa: E402
from soak.installation import Installation  # noqa: E402

# Requests a second, of which a third are orders that may run once at most.
RATE = 60.0
ORDERS = 1 / 3
# Seconds without a fault at the start, between two, and at the end: the longest hold,
# and the time in which lapsed records come back.
START = 3.0
PAUSE = (0.0, 3.0)
HEALING = 16.0
# Seconds at the end in which every request must be answered.
LAST = 3.0


class Soak:
    """One play.

    Parameters
    ----------
    folder : Path
    seconds : float
    seed : int
    """

    def __init__(self, folder: Path, seconds: float, seed: int):
        self._folder = folder
        self._seconds = seconds
        self._rng = Random(seed)
        self._number = 0
        self._asked: set[asyncio.Task] = set()
        self.log: list[str] = []

    async def run(self) -> tuple[list[str], str]:
        """Return what must never be, and a line of what callers were told."""
        world = Installation(self._folder, self._rng)
        try:
            await self._until_ready(world)
            load = asyncio.create_task(self._load(world))
            await asyncio.sleep(START)
            await self._trouble(world)
            await asyncio.sleep(HEALING)
            first = self._number
            await asyncio.sleep(LAST)
            load.cancel()
            if self._asked:
                await asyncio.wait(self._asked, timeout=5.0)
            return [*world.ledger.faults(), *self._unserved(world, first)], str(
                dict(world.ledger.outcomes().most_common())
            )
        finally:
            world.stop()

    async def _until_ready(self, world: Installation) -> None:
        end = time.monotonic() + 20.0
        for vm in world.vms:
            while not await world.is_ready(vm):
                if time.monotonic() > end:
                    raise TimeoutError(f"{vm.name} is not ready; read its log")
                await asyncio.sleep(0.1)

    async def _load(self, world: Installation) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(RATE))
            self._number += 1
            is_order = self._rng.random() < ORDERS
            name = f"{'order' if is_order else 'lookup'}-{self._number}"
            method = "POST" if is_order else "GET"
            vm = self._rng.randrange(len(world.vms))
            key = min(65535, int(self._rng.expovariate(1 / 9000)))
            task = asyncio.create_task(world.ask(vm, name, method, key))
            self._asked.add(task)
            task.add_done_callback(self._asked.discard)

    async def _trouble(self, world: Installation) -> None:
        """Let faults come one after the other, some of them two at a time."""
        end = time.monotonic() + self._seconds
        running: set[asyncio.Task] = set()
        while time.monotonic() < end:
            fault = self._rng.choice(FAULTS)(self._rng)
            running.add(asyncio.create_task(self._befall(world, fault)))
            if len(running) > 1 or self._rng.random() < 0.5:
                _, running = await asyncio.wait(running)
            await asyncio.sleep(self._rng.uniform(*PAUSE))
        if running:
            await asyncio.wait(running)

    async def _befall(self, world: Installation, fault: Fault) -> None:
        began = time.monotonic()
        hit = await fault.begin(world)
        await asyncio.sleep(fault.seconds)
        await fault.end(world)
        line = f"{type(fault).__name__} {hit} {fault.seconds:.1f} s at {began:.2f}"
        self.log.append(line)
        print(line, flush=True)

    def _unserved(self, world: Installation, first: int) -> list[str]:
        ends = [
            (int(request_id.partition("-")[2]), request_id, status)
            for request_id, (_, status, _, _) in world.ledger.told.items()
        ]
        return [
            f"{request_id} ended with {status} though all is well"
            for number, request_id, status in ends
            if number > first and status != 200
        ]


def main() -> int:
    """Play, print what came out, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="time of faults")
    parser.add_argument("--seed", type=int, default=1, help="draws faults and keys")
    args = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="berylstage-soak-"))
    print(f"settings and logs: {folder}")
    faults, told = asyncio.run(Soak(folder, args.seconds, args.seed).run())
    print(f"callers were told: {told}")
    for fault in faults[:40]:
        print(f"must never be: {fault}")
    print(f"{len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
