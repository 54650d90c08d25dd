"""Callers of a request that ends each target which runs it, beside others."""

from __future__ import annotations

import asyncio
import time
from itertools import count
from random import Random
from typing import TYPE_CHECKING, TypeVar

from soak.callers import KeylessLookup, Request
from soak.installation import Installation

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from soak.targets import SoakTarget

VMS = 12
KEYED_TARGETS = 12
KEYLESS_TARGETS = 12
# Size of the answer that only the fatal request asks for.
FATAL_SIZE = 4242
FATAL_KEY = 1000
KEYS = 65536
# Seconds between two other requests.
OTHER_REQUEST_GAP_SECONDS = 0.02
# Seconds for which only other requests are sent, at the start and at the end.
QUIET_SECONDS = 2.0
# Ends after which a request is certain to cause them, and the seconds after the last of
# these in which each VM has to learn of it.
CONVICTING_ENDS = 3
SPREAD_SECONDS = 0.3
# Requests of a load with a popular one, and how many of them go with one popular one.
POPULAR_REQUESTS = 1000
POPULAR_EVERY = 5
# Least time that a request without a key takes, so that several targets run the popular
# one at any moment.
KEYLESS_SERVICE_SECONDS = 0.2
# Range of the seconds between the ends of two targets.
END_GAP_SECONDS = (0.5, 2.0)
OK = 200


class Persistence:
    """How callers of the fatal request repeat it.

    Parameters
    ----------
    callers : int
    attempts : int
        Attempts of each caller, each through another VM.
    pause : float
        Seconds between two attempts.
    """

    __slots__ = ("attempts", "callers", "pause")

    def __init__(self, callers: int, attempts: int, pause: float):
        self.callers = callers
        self.attempts = attempts
        self.pause = pause


class FatalLoad:
    """Load on an installation some of whose requests end targets.

    Parameters
    ----------
    installation : Installation
    is_keyed : bool
        Whether the fatal request has a key.
    persistence : Persistence
    """

    def __init__(
        self, installation: Installation, is_keyed: bool, persistence: Persistence
    ):
        self._installation = installation
        self._is_keyed = is_keyed
        self._persistence = persistence
        self._rng = Random(1)
        self._numbers = count()
        self._others: list[asyncio.Task] = []
        # Requests other than the fatal one.
        self._other_ids: list[str] = []
        # Time, identifier and status of each answer to the fatal request.
        self.answers: list[tuple[float, str, int]] = []

    async def play(self) -> None:
        """Send all requests and wait for their answers."""
        await wait_until_ready(self._installation)
        background = asyncio.create_task(self._send_others())
        await asyncio.sleep(QUIET_SECONDS)
        for target in self._installation.targets:
            target.fatal_size = FATAL_SIZE
        callers = range(self._persistence.callers)
        await asyncio.gather(*(self._repeat(number) for number in callers))
        await asyncio.sleep(QUIET_SECONDS)
        background.cancel()
        await asyncio.gather(*self._others)

    @property
    def run_times(self) -> list[float]:
        """Times at which the fatal request ran."""
        return [run.moment for run in self._installation.ledger.fatal_runs]

    @property
    def end_times(self) -> list[float]:
        """Times at which it ended a target."""
        ends: dict[tuple[str, int], float] = {}
        for run in self._installation.ledger.fatal_runs:
            ends.setdefault((run.target, run.incarnation), run.moment)
        return list(ends.values())

    @property
    def late_runs(self) -> int:
        """Runs after each VM had time to learn what the request does."""
        ends = self.end_times
        if len(ends) < CONVICTING_ENDS:
            return 0
        known_at = ends[CONVICTING_ENDS - 1] + SPREAD_SECONDS
        return sum(moment > known_at for moment in self.run_times)

    @property
    def served_share(self) -> float:
        """Share of the other requests that were served."""
        answers = self._installation.ledger.answers
        served = sum(answers[x][1] == OK for x in self._other_ids)
        return served / len(self._other_ids)

    async def _send_others(self) -> None:
        for number in count():
            vm = self._rng.choice(self._installation.vms)
            name = f"lookup-other-{number}"
            key = self._rng.randrange(KEYS)
            req = KeylessLookup(name) if number % 2 else Request(name, key)
            self._other_ids.append(name)
            sending = self._installation.send_requests(vm, [req], 0.0)
            self._others.append(asyncio.create_task(sending))
            await asyncio.sleep(OTHER_REQUEST_GAP_SECONDS)

    async def _repeat(self, caller: int) -> None:
        """Send the fatal request until it is served or the caller gives up."""
        installation = self._installation
        for attempt in range(self._persistence.attempts):
            name = f"lookup-fatal-{caller}-{attempt}"
            req = KeylessLookup(name, FATAL_SIZE)
            if self._is_keyed:
                req = Request(name, FATAL_KEY, FATAL_SIZE)
            vm = installation.vms[next(self._numbers) % len(installation.vms)]
            await installation.send_requests(vm, [req], 0.0)
            status = installation.ledger.answers[name][1]
            self.answers.append((time.monotonic(), name, status))
            if status == OK:
                return
            await asyncio.sleep(self._persistence.pause)


class PopularLoad:
    """Load a part of which is one popular request, while targets end on their own.

    Parameters
    ----------
    installation : Installation
    is_keyed : bool
        Whether the popular request has a key, whose owner is the one that ends.
    """

    def __init__(self, installation: Installation, is_keyed: bool):
        self._installation = installation
        self._is_keyed = is_keyed
        self._rng = Random(1)
        self._sending: list[asyncio.Task] = []
        self._popular_ids: list[str] = []

    async def play(self) -> None:
        """Send all requests and wait for their answers."""
        await wait_until_ready(self._installation)
        for target in self._installation.targets:
            if target.service == "u":
                target.min_service_seconds = KEYLESS_SERVICE_SECONDS
        ending = asyncio.create_task(self._end_targets())
        for number in range(POPULAR_REQUESTS):
            self._send(number)
            await asyncio.sleep(OTHER_REQUEST_GAP_SECONDS / 2)
        ending.cancel()
        await asyncio.gather(*self._sending)

    @property
    def served_share(self) -> float:
        """Share of the popular requests that were served."""
        answers = self._installation.ledger.answers
        served = sum(answers[x][1] == OK for x in self._popular_ids)
        return served / len(self._popular_ids)

    def count_convictions(self, folder: Path) -> int:
        """Return how often a VM has logged that it convicts a request."""
        logs = (path.read_text() for path in folder.glob("*.log"))
        return sum(text.count('"change": "convicted"') for text in logs)

    def _send(self, number: int) -> None:
        name = f"lookup-{number}"
        req: Request = Request(name, self._rng.randrange(KEYS))
        if number % POPULAR_EVERY == 0:
            self._popular_ids.append(name)
            is_keyed = self._is_keyed
            req = Request(name, FATAL_KEY) if is_keyed else KeylessLookup(name)
        vm = self._rng.choice(self._installation.vms)
        sending = self._installation.send_requests(vm, [req], 0.0)
        self._sending.append(asyncio.create_task(sending))

    async def _end_targets(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*END_GAP_SECONDS))
            candidates = [t for t in self._installation.targets if self._may_run(t)]
            if candidates:
                self._rng.choice(candidates).end_now()

    def _may_run(self, target: SoakTarget) -> bool:
        """Tell whether the popular request goes to a target."""
        if not target.is_running:
            return False
        return target.holds_key(FATAL_KEY) if self._is_keyed else target.service == "u"


async def wait_until_ready(installation: Installation) -> None:
    """Wait until all VMs are ready and all targets with owned keys hold some."""
    for vm in installation.vms:
        await installation.wait_until_ready(vm)
    keyed = [t for t in installation.targets if t.service == "s"]
    while not all(target.holds for target in keyed):
        await asyncio.sleep(0.1)


LoadT = TypeVar("LoadT", FatalLoad, PopularLoad)


def play_load(folder: Path, make_load: Callable[[Installation], LoadT]) -> LoadT:
    """Play a load on an installation of its own, and return it."""

    async def play() -> LoadT:
        installation = Installation(
            folder,
            Random(1),
            VMS,
            keyed_targets=KEYED_TARGETS,
            keyless_targets=KEYLESS_TARGETS,
        )
        try:
            load = make_load(installation)
            await load.play()
        finally:
            installation.stop()
        return load

    return asyncio.run(asyncio.wait_for(play(), timeout=60.0))
