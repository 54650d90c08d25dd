"""Soak: an installation under load with injected faults.

Run it by ``make soak SECONDS=60 SEED=1``, with ``STOPS=--stops`` for planned stops
only, ``STOPS=--suspended-stops`` for the same of VMs that are suspended meanwhile,
``STOPS=--hold-ups`` for short suspensions of VMs only, ``STOPS=--notices`` for
targets that name limits, ask for rest or leave in their answers, ``STOPS=--cuts`` for
VMs that lose their links to targets, ``STOPS=--target-cuts`` for targets that are cut
off while others are lost and VMs stop, ``STOPS=--silent-targets`` for targets that
never answer what they cannot queue, ``STOPS=--uploads`` for uploads and slow readers,
or ``STOPS=--crowds`` for crowds of callers that ignore the limits, and stops. It
prints the outcomes of requests and all violations, and exits with status 1 if there are
violations. The seed determines faults and requests; processes are real, so the timing
of two runs with the same seed differs.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.links import Link

# Folders of the platform stand-ins and of the adapter, as on the tests' import path.
HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parents[1] / "platform")]

from soak.callers import ANSWER_TIMEOUT_SECONDS, Request  # noqa: E402
from soak.crowds import CROWDS  # noqa: E402
from soak.cut_faults import (  # noqa: E402
    CUTS,
    TARGET_CUTS,
    VmsCutOff,
    VmsRefused,
    VmsReset,
)
from soak.faults import (  # noqa: E402
    DEPARTURES,
    FAULTS,
    FILLED_QUEUES,
    HELD_BODIES,
    LIMITS,
    NOTICES,
    PLANNED_STOPS,
    RESTS,
    SHORT_PAUSES,
    SUSPENDED_STOPS,
    Fault,
)
from soak.installation import Installation  # noqa: E402
from soak.targets import MAX_UPLOAD_BYTES  # noqa: E402

# Batches of requests per second. A third of them are an order, which may run at most
# once.
ARRIVALS_PER_SECOND = 50.0
ORDER_SHARE = 1 / 3
# Probability that a caller pipelines several lookups on its connection, their number,
# and the seconds between two of them.
BATCH_SHARE = 0.2
BATCH_SIZE_RANGE = (2, 3)
BATCH_GAP_SECONDS = (0.0, 0.1)
# Bytes of large answers and their shares of requests; other answers have minimum size.
ANSWER_SIZE_SHARES = {90_000: 0.1, 1_000_000: 0.02}
# Share of uploads where these are played, the same in a burst, when their bodies have
# the largest size, the mean size of their bodies otherwise, and the share of batches of
# lookups whose caller reads an answer slowly, over this time.
UPLOAD_SHARE = 0.2
BURST_UPLOAD_SHARE = 0.4
MEAN_UPLOAD_BYTES = 60_000
SLOW_READER_SHARE = 0.5
SLOW_READ_SECONDS = 2.0
# Seconds without a fault at the start and between two faults.
INITIAL_QUIET_SECONDS = 3.0
FAULT_PAUSE_SECONDS = (0.0, 3.0)
# Seconds at the end in which every request must be answered, and seconds before these
# in which callers already send single requests at even intervals. A batch may exceed a
# target's capacity and would then be refused correctly.
FINAL_CHECK_SECONDS = 3.0
SETTLING_SECONDS = 1.0


class SoakMode:
    """Faults and size of a soak.

    Parameters
    ----------
    faults : tuple of type
        Fault classes to draw from.
    vms : int
        Number of VMs.
    exclusive_share : float
        Probability that no second fault overlaps a fault.
    recovery_seconds : float
        Seconds without a fault at the end, before every request must be answered.
    has_target_links : bool
        Whether each VM reaches the targets by links of its own, which can be cut.
    has_silent_targets : bool
        Whether targets never answer a request that they cannot queue, nor a later one
        on that connection.
    has_uploads : bool
        Whether callers also send uploads, and some of them read answers slowly.
    """

    __slots__ = (
        "exclusive_share",
        "faults",
        "has_silent_targets",
        "has_target_links",
        "has_uploads",
        "recovery_seconds",
        "vms",
    )

    def __init__(
        self,
        faults: tuple[type[Fault], ...],
        vms: int,
        exclusive_share: float,
        recovery_seconds: float,
        has_target_links: bool = False,
        *,
        has_silent_targets: bool = False,
        has_uploads: bool = False,
    ):
        self.faults = faults
        self.vms = vms
        self.exclusive_share = exclusive_share
        self.recovery_seconds = recovery_seconds
        self.has_target_links = has_target_links
        self.has_silent_targets = has_silent_targets
        self.has_uploads = has_uploads


# Recovery takes up to the longest grant plus the time until expired records are written
# again.
ALL_FAULTS_MODE = SoakMode(FAULTS, 3, 0.5, 16.0)
PLANNED_STOPS_MODE = SoakMode(PLANNED_STOPS, 4, 0.2, 3.0)
SUSPENDED_STOPS_MODE = SoakMode(SUSPENDED_STOPS, 4, 0.2, 3.0)
SHORT_PAUSES_MODE = SoakMode(SHORT_PAUSES, 4, 0.2, 3.0)
LIMITS_MODE = SoakMode(LIMITS, 4, 0.4, 3.0)
RESTS_MODE = SoakMode(RESTS, 4, 0.4, 3.0)
DEPARTURES_MODE = SoakMode(DEPARTURES, 4, 0.4, 3.0)
NOTICES_MODE = SoakMode(NOTICES, 4, 0.4, 3.0)
# Cuts do not overlap, since two of them may leave no VM with links.
CUTS_MODE = SoakMode(CUTS, 4, 1.0, 3.0, True)
SILENT_CUTS_MODE = SoakMode((VmsCutOff,), 4, 1.0, 3.0, True)
RESET_CUTS_MODE = SoakMode((VmsReset,), 4, 1.0, 3.0, True)
# Cuts that overlap each other and everything else that befalls VMs, targets and store.
MIXED_CUTS_MODE = SoakMode(CUTS + CUTS + FAULTS, 4, 0.1, 16.0, True)
TARGET_CUTS_MODE = SoakMode(TARGET_CUTS, 4, 0.2, 16.0, True)
REFUSED_CUTS_MODE = SoakMode((VmsRefused,), 4, 1.0, 3.0, True)
SILENT_TARGETS_MODE = SoakMode(FILLED_QUEUES, 4, 0.4, 3.0, has_silent_targets=True)
UPLOADS_MODE = SoakMode(HELD_BODIES, 4, 0.4, 3.0, has_uploads=True)
CROWDS_MODE = SoakMode(CROWDS, 4, 0.4, 6.0, has_uploads=True)
# Options that restrict the faults.
MODES = (
    ("--stops", "planned stops alone", PLANNED_STOPS_MODE),
    (
        "--suspended-stops",
        "stops of VMs suspended meanwhile",
        SUSPENDED_STOPS_MODE,
    ),
    ("--hold-ups", "short pauses alone", SHORT_PAUSES_MODE),
    ("--limits", "targets that name a limit alone", LIMITS_MODE),
    ("--rests", "targets that ask for rest alone", RESTS_MODE),
    ("--departures", "targets that say that they leave alone", DEPARTURES_MODE),
    ("--notices", "limits, rests and departures", NOTICES_MODE),
    ("--cuts", "VMs without links to targets alone", CUTS_MODE),
    ("--mixed-cuts", "the same and all other faults", MIXED_CUTS_MODE),
    ("--silent-cuts", "the same with links that lose all bytes", SILENT_CUTS_MODE),
    ("--reset-cuts", "the same with connections that are reset", RESET_CUTS_MODE),
    ("--refused-cuts", "the same with new connections refused", REFUSED_CUTS_MODE),
    ("--target-cuts", "targets cut off, lost and VMs stopped", TARGET_CUTS_MODE),
    (
        "--silent-targets",
        "targets silent on what they can't queue",
        SILENT_TARGETS_MODE,
    ),
    ("--uploads", "uploads and slow readers", UPLOADS_MODE),
    ("--crowds", "callers that ignore the limits, and stops", CROWDS_MODE),
)


class Soak:
    """One soak run.

    Parameters
    ----------
    folder : Path
        Directory for the VMs' settings and logs.
    seconds : float
        Seconds during which faults are injected.
    seed : int
    mode : SoakMode
    """

    def __init__(self, folder: Path, seconds: float, seed: int, mode: SoakMode):
        self._folder = folder
        self._seconds = seconds
        self._mode = mode
        # Faults and requests use separate generators so that neither changes the other.
        self._rng = Random(seed)
        self._fault_rng = Random(f"faults of {seed}")
        self._last_request_number = 0
        self._request_tasks: set[asyncio.Task] = set()
        # Whether callers send single requests at even intervals.
        self.has_even_load = False
        # Descriptions of the cuts and of what callers were served in them.
        self.log: list[str] = []

    async def run(self) -> tuple[list[str], str]:
        """Run the soak and return the violations and a summary of the outcomes."""
        mode = self._mode
        installation = Installation(
            self._folder,
            self._rng,
            mode.vms,
            mode.has_target_links,
            mode.has_silent_targets,
            mode.has_uploads,
        )
        try:
            for vm in installation.vms:
                await installation.wait_until_ready(vm)
            load = asyncio.create_task(self._generate_load(installation))
            await asyncio.sleep(INITIAL_QUIET_SECONDS)
            await self._inject_faults(installation)
            await asyncio.sleep(self._mode.recovery_seconds)
            self.has_even_load = True
            await asyncio.sleep(SETTLING_SECONDS)
            first_checked = self._last_request_number
            await asyncio.sleep(FINAL_CHECK_SECONDS)
            load.cancel()
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS + 1.0):
                await asyncio.gather(*self._request_tasks)
            if mode.has_uploads:
                self.log.append(installation.record_memory())
            violations = [
                *installation.ledger.find_violations(),
                *self._find_unserved(installation, first_checked),
            ]
            ledger = installation.ledger
            self.log += ledger.cuts.describe(ledger.outcomes())
            if mode.has_silent_targets:
                unanswered = {t.name: t.unanswered for t in installation.targets}
                self.log.append(f"requests that targets left unanswered: {unanswered}")
            outcomes = dict(ledger.count_outcomes().most_common())
            return (
                violations,
                f"{outcomes}, {len(ledger.stops)} planned stops",
            )
        finally:
            installation.stop()

    async def _generate_load(self, installation: Installation) -> None:
        while True:
            await asyncio.sleep(self.draw_pause_seconds() / installation.load_factor)
            vm = self._rng.choice(installation.vms)
            requests = self.draw_requests(vm.link, installation.is_upload_burst)
            gap_seconds = self._rng.uniform(*BATCH_GAP_SECONDS)
            task = asyncio.create_task(
                installation.send_requests(vm, requests, gap_seconds)
            )
            self._request_tasks.add(task)
            task.add_done_callback(self._discard_finished)

    def _discard_finished(self, task: asyncio.Task) -> None:
        """Discard a finished task; one that failed is kept and fails the run later."""
        if not task.cancelled() and not task.exception():
            self._request_tasks.discard(task)

    def draw_pause_seconds(self) -> float:
        """Draw the seconds until the next batch of requests."""
        return (
            1 / ARRIVALS_PER_SECOND
            if self.has_even_load
            else self._rng.expovariate(ARRIVALS_PER_SECOND)
        )

    def draw_requests(self, link: Link, is_upload_burst: bool = False) -> list[Request]:
        """Draw the next batch: an order, an upload, a lookup, or several lookups."""
        upload_share = BURST_UPLOAD_SHARE if is_upload_burst else UPLOAD_SHARE
        if self._mode.has_uploads and self._rng.random() < upload_share:
            return [self._draw_upload(link, is_upload_burst)]
        if self._rng.random() < ORDER_SHARE:
            return [self._draw_request("order", None, link)]
        is_batch = self._rng.random() < BATCH_SHARE and not self.has_even_load
        count = self._rng.randint(*BATCH_SIZE_RANGE) if is_batch else 1
        keys = [min(65535, int(self._rng.expovariate(1 / 9000))) for _ in range(count)]
        requests = [self._draw_request("lookup", key, link) for key in keys]
        if self._mode.has_uploads and self._rng.random() < SLOW_READER_SHARE:
            # One answer of a batch, so that all are read within the caller's time.
            requests[-1].read_seconds = SLOW_READ_SECONDS
        return requests

    def _draw_request(self, kind: str, key: int | None, link: Link) -> Request:
        self._last_request_number += 1
        drawn = self._rng.choices(
            [0, *ANSWER_SIZE_SHARES],
            [1 - sum(ANSWER_SIZE_SHARES.values()), *ANSWER_SIZE_SHARES.values()],
        )
        size = drawn[0] if link.has_room(drawn[0]) else 0
        link.add_pending_bytes(size)
        return Request(f"{kind}-{self._last_request_number}", key, size)

    def _draw_upload(self, link: Link, is_largest: bool) -> Request:
        request = self._draw_request("upload", None, link)
        size = 1 + int(self._rng.expovariate(1 / MEAN_UPLOAD_BYTES))
        request.upload_size = MAX_UPLOAD_BYTES if is_largest else size
        request.upload_size = min(request.upload_size, MAX_UPLOAD_BYTES)
        return request

    async def _inject_faults(self, installation: Installation) -> None:
        """Inject faults one after the other, some of them two at a time."""
        rng = self._fault_rng
        end = time.monotonic() + self._seconds
        running: set[asyncio.Task] = set()
        while time.monotonic() < end:
            fault = rng.choice(self._mode.faults)(rng)
            running.add(asyncio.create_task(self._run_fault(installation, fault)))
            if len(running) > 1 or rng.random() < self._mode.exclusive_share:
                await asyncio.gather(*running)
                running.clear()
            await asyncio.sleep(rng.uniform(*FAULT_PAUSE_SECONDS))
        await asyncio.gather(*running)

    async def _run_fault(self, installation: Installation, fault: Fault) -> None:
        began = time.monotonic()
        hit = await fault.begin(installation)
        await asyncio.sleep(fault.seconds)
        await fault.end(installation)
        for vm in fault.disturbed_vms(installation):
            installation.ledger.notices.record_vm_fault(vm, began)
        if not fault.is_planned:
            installation.ledger.record_unplanned_fault(
                began, time.monotonic(), fault.is_cut
            )
        line = f"{type(fault).__name__} {hit} {fault.seconds:.1f} s at {began:.2f}"
        print(line, flush=True)

    def _find_unserved(
        self, installation: Installation, first_checked: int
    ) -> list[str]:
        ends = [
            (int(request_id.partition("-")[2]), request_id, status)
            for request_id, (_, status, _, _) in installation.ledger.answers.items()
        ]
        return [
            f"{request_id} ended with {status} though all is well"
            for number, request_id, status in ends
            if number > first_checked and status != 200
        ]


def main() -> int:
    """Run a soak, print its report and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="time of faults")
    parser.add_argument("--seed", type=int, default=1, help="draws faults and keys")
    modes = parser.add_mutually_exclusive_group()
    for option, text, _ in MODES:
        modes.add_argument(option, action="store_true", help=text)
    parser.add_argument("--vms", type=int, help="number of VMs")
    args = vars(parser.parse_args())
    mode = ALL_FAULTS_MODE
    for option, _, option_mode in MODES:
        if args[option.strip("-").replace("-", "_")]:
            mode = option_mode
    mode.vms = args["vms"] or mode.vms
    folder = Path(tempfile.mkdtemp(prefix="berylstage-soak-"))
    print(f"settings and logs: {folder}")
    soak = Soak(folder, args["seconds"], args["seed"], mode)
    violations, outcomes = asyncio.run(soak.run())
    print(*soak.log, sep="\n")
    print(f"callers were told: {outcomes}")
    for violation in violations[:40]:
        print(f"must never be: {violation}")
    print(f"{len(violations)} faults")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
