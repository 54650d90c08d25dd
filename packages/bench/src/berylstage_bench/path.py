"""What the way through the VMs adds to a request, side by side in one run.

Three ways to the same target take turns: straight to it, through the VM that leads it,
and through another VM, which forwards to the one that leads.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pstats
import time
import uuid
from typing import TYPE_CHECKING
from urllib.request import urlopen

from berylstage_sheet.configuration import (
    Configuration,
    DataCentre,
    DataCentreState,
    Kind,
    MemberState,
    Ownership,
    RequestClass,
    Service,
    Target,
    Vm,
)
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient

from berylstage_bench.costs import costs
from berylstage_bench.measures import Latencies
from berylstage_bench.operators import Operator
from berylstage_bench.processes import RUN_FOLDER, Installation
from berylstage_bench.processor import processor_seconds

if TYPE_CHECKING:
    from pathlib import Path

SERVICE = "field-log"
KIND = "visit-history"
KEY = "dryer-1"
BODY = b'{"visit": "2026-03-12"}'
DIRECT = "direct"
CALLERS = (1, 10, 100)
# Slots for all callers at once: the queue is not what this measures.
SLOTS = 128
WORK_MS = 5.0
DEADLINE_MS = 20_000
ROUNDS = 3
ROUND_SECONDS = 2.0
IDLE_SECONDS = 4.0
WARM_UP = 50
US = 1e6


def path_configuration() -> Configuration:
    """Return two VMs and a target for each, with slots for all callers."""
    kind = Kind(KIND, RequestClass.INTERACTIVE, True, DEADLINE_MS)
    service = Service(SERVICE, "saryarka", Ownership.OWNED, 16, {KIND: kind})
    centre = DataCentre("almaty-a", DataCentreState.OPEN)
    active = MemberState.ACTIVE
    vms = {n: Vm(n, centre.name, active) for n in ("almaty-a-1", "almaty-a-2")}
    targets = {
        n: Target(n, SERVICE, "", centre.name, SLOTS, 2 * SLOTS, False, active)
        for n in ("field-log-01", "field-log-02")
    }
    return Configuration(0, {SERVICE: service}, {centre.name: centre}, vms, targets, [])


class Way:
    """One way to the target, and what was measured on it.

    Parameters
    ----------
    name : str
    url : str
    """

    def __init__(self, name: str, url: str):
        self.name = name
        self.url = url
        self.client = CallClient(max(CALLERS))
        self.seconds: list[float] = []
        self.elapsed = 0.0
        self.processor: dict[str, float] = {}

    def reset(self) -> None:
        """Forget what was measured."""
        self.seconds = []
        self.elapsed = 0.0
        self.processor = {}

    async def request(self) -> None:
        """Send one request and note how long its answer took."""
        request_id = uuid.uuid4().hex
        headers = {"Request-Id": request_id}
        call = Call("POST", self.url, headers, BODY, 30.0, echo=request_id)
        begin = time.perf_counter()
        answer = await self.client.call(call)
        self.seconds.append(time.perf_counter() - begin)
        assert answer.status == 200, answer.body

    async def run(self, callers: int, seconds: float) -> None:
        """Let callers ask one request after the other for a while."""
        end = time.monotonic() + seconds

        async def ask() -> None:
            while time.monotonic() < end:
                await self.request()

        begin = time.monotonic()
        await asyncio.gather(*(ask() for _ in range(callers)))
        self.elapsed += time.monotonic() - begin


class PathBench:
    """The benchmark.

    Parameters
    ----------
    folder : Path
    """

    def __init__(self, folder: Path):
        self._cfg = path_configuration()
        options = [f"--work-ms={KIND}={WORK_MS:g}"]
        self._installation = Installation(self._cfg, folder, target_options=options)
        self._idle: dict[str, float] = {}

    async def run(self) -> None:
        """Measure and print."""
        try:
            await self._start()
            ways = self._ways()
            for way in ways:
                for _ in range(WARM_UP):
                    await way.request()
            await self._measure_idle()
            print(HEADER, flush=True)
            for callers in CALLERS:
                await self._compare(ways, callers)
        finally:
            self._installation.stop()

    async def _start(self) -> None:
        await asyncio.to_thread(self._installation.start)
        await Operator(self._installation).apply(self._installation.sheet)
        await self._installation.await_ready()
        # The leads are spread over the VMs a moment after the first is ready.
        await asyncio.sleep(IDLE_SECONDS)

    def _ways(self) -> list[Way]:
        """Return the three ways, by who leads the target of the key."""
        vms = self._installation.vms
        any_vm = next(iter(vms.values()))
        with urlopen(f"http://{any_vm.http}/-/owner/{SERVICE}/{KEY}") as answer:
            owner = json.load(answer)
        target = self._cfg.targets[owner["target"]]
        leader = vms[owner["vm"]]
        other = next(vm for vm in vms.values() if vm is not leader)
        self._leader, self._other = leader.name, other.name
        path = f"{SERVICE}/{KIND}/{KEY}"
        return [
            Way(DIRECT, f"http://{target.address}/work/{path}"),
            Way("leading VM", f"http://{leader.http}/{path}"),
            Way("other VM", f"http://{other.http}/{path}"),
        ]

    def _processor(self) -> dict[str, float]:
        """Return the processor time of each VM so far."""
        return {
            name: processor_seconds(self._installation.pid(name))
            for name in (self._leader, self._other)
        }

    async def _measure_idle(self) -> None:
        """Note what the VMs use without requests, to take it off later."""
        before = self._processor()
        await asyncio.sleep(IDLE_SECONDS)
        after = self._processor()
        self._idle = {n: (after[n] - before[n]) / IDLE_SECONDS for n in after}
        shown = ", ".join(f"{share * 100:.1f}%" for share in self._idle.values())
        print(f"idle, share of a core: {shown}")

    async def _compare(self, ways: list[Way], callers: int) -> None:
        """Let the ways take turns with a number of callers and print the lines."""
        for way in ways:
            way.reset()
        for _ in range(ROUNDS):
            for way in ways:
                before = self._processor()
                elapsed = way.elapsed
                await way.run(callers, ROUND_SECONDS)
                after = self._processor()
                for name in after:
                    idle = self._idle[name] * (way.elapsed - elapsed)
                    used = after[name] - before[name] - idle
                    way.processor[name] = way.processor.get(name, 0.0) + used
        direct = Latencies(ways[0].seconds)
        for way in ways:
            print(self._line(callers, way, direct), flush=True)

    def _line(self, callers: int, way: Way, direct: Latencies) -> str:
        """Return one line of the table."""
        taken = Latencies(way.seconds)
        count = len(way.seconds)
        leader = way.processor[self._leader] / count * US
        other = way.processor[self._other] / count * US
        used = leader + other
        per_core = f"{US / used:.0f}" if way.name != DIRECT else "-"
        return (
            f"{callers:>7}  {way.name:<10}  {count / way.elapsed:>8.0f}  "
            f"{taken.ms(50):>8.2f}  {taken.ms(99):>8.2f}  "
            f"{taken.ms(50) - direct.ms(50):>8.2f}  "
            f"{taken.ms(99) - direct.ms(99):>8.2f}  "
            f"{leader:>9.0f}  {other:>8.0f}  {per_core:>8}"
        )

    async def profile(self) -> None:
        """Run the forwarded way with both VMs under cProfile and print the costs."""
        folder = self._installation.folder
        self._installation.profiles = {
            name: folder / f"{name}.prof" for name in self._installation.vms
        }
        try:
            await self._start()
            way = self._ways()[2]
            await way.run(10, 2 * ROUND_SECONDS)
            for name in (self._other, self._leader):
                await asyncio.to_thread(self._installation.stop_gracefully, name)
        finally:
            self._installation.stop()
        for role, name in (("receiving", self._other), ("leading", self._leader)):
            stats = pstats.Stats(str(self._installation.profiles[name]))
            spent = costs(stats)
            print(f"\nthe {role} VM, {len(way.seconds)} requests: share of its time")
            for group, seconds in spent.most_common():
                print(f"  {seconds / spent.total():6.1%}  {group}")


HEADER = (
    "callers  way         requests   p50 ms    p99 ms     added     added  "
    "leader us  other us  requests\n"
    "                     a second                        p50       p99    "
    "a request a request  a core s"
)


async def _run(profile: bool) -> None:
    bench = PathBench(RUN_FOLDER)
    await (bench.profile() if profile else bench.run())


def main() -> None:
    """Run the benchmark or the profile."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="store_true", help="profile both VMs")
    args = parser.parse_args()
    asyncio.run(_run(args.profile))


if __name__ == "__main__":
    main()
