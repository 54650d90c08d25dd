"""Faults injected into an installation; each begins, lasts for a while and ends."""

from __future__ import annotations

import asyncio
import signal
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from soak.installation import Installation, SoakVm

# Range of the random delay, in seconds, before each VM of a rolling stop gets SIGTERM.
STAGGER_SECONDS = (0.0, 1.6)
# Seconds from SIGTERM to SIGKILL by the platform, equal to ``grace_s`` in the VMs'
# settings, and from SIGTERM to the restart.
STOP_GRACE_SECONDS = 6.0
RESTART_AFTER_SECONDS = 6.2
# Seconds from SIGTERM to a suspension, its duration, and seconds for which the load
# balancer opens new connections to a stopping VM.
SUSPENDED_AFTER_SECONDS = (1.0, 3.5)
SUSPENDED_SECONDS = (0.2, 1.5)
BALANCER_LAG_SECONDS = 2.6
# Probability that a stopping VM gets a second SIGTERM, and that it gets SIGHUP.
REPEATED_SIGNAL_SHARE = 0.4


class Fault(ABC):
    """One fault.

    Parameters
    ----------
    rng : Random
        Source of the fault's duration and of what it hits.
    """

    # Minimum and maximum duration in seconds.
    duration_range = (1.0, 5.0)
    # Whether the fault only cuts VMs from targets.
    is_cut = False
    # Whether the installation must tolerate the fault without losing a request, as it
    # must a stop by operators.
    is_planned = False

    def __init__(self, rng: Random):
        self.rng = rng
        self.seconds = rng.uniform(*self.duration_range)

    @abstractmethod
    async def begin(self, installation: Installation) -> str:
        """Begin the fault and return the name of what it hits."""

    async def end(self, installation: Installation) -> None:
        """End the fault."""

    def disturbed_vms(self, installation: Installation) -> list[str]:
        """Return the VMs that the fault stops or suspends."""
        return []


class VmKilled(Fault):
    """A VM is killed and restarted."""

    async def begin(self, installation: Installation) -> str:
        self.vm = self.rng.randrange(len(installation.vms))
        installation.vms[self.vm].process.kill()
        return f"vm {self.vm}"

    async def end(self, installation: Installation) -> None:
        installation.restart(self.vm)

    def disturbed_vms(self, installation: Installation) -> list[str]:
        return [installation.vms[self.vm].name]


class VmsStopped(Fault):
    """Up to half of the VMs get SIGTERM, some of them twice, and are restarted.

    Some also get SIGHUP. The platform kills a VM that still runs after its stop time.
    """

    is_planned = True
    duration_range = (8.0, 9.0)
    # Seconds after SIGTERM for which callers open connections beside those they have.
    new_connection_seconds = 0.0

    async def begin(self, installation: Installation) -> str:
        running_vms = installation.running_vms()
        self.rng.shuffle(running_vms)
        # The last running VM is never stopped.
        max_count = len(running_vms) // 2
        self.vms = running_vms[: self.rng.randint(min(1, max_count), max_count)]
        self._stop_tasks = []
        for vm in self.vms:
            vm.is_stopping = True
            self._stop_tasks.append(asyncio.create_task(self._stop(installation, vm)))
        return ", ".join(vm.name for vm in self.vms) or "nothing"

    async def end(self, installation: Installation) -> None:
        await asyncio.gather(*self._stop_tasks)

    def disturbed_vms(self, installation: Installation) -> list[str]:
        return [vm.name for vm in self.vms]

    async def _stop(self, installation: Installation, vm: SoakVm) -> None:
        process, signals = vm.process, self._draw_signals()
        await asyncio.sleep(self.rng.uniform(*STAGGER_SECONDS))
        began = time.monotonic()
        vm.new_connections_until = began + self.new_connection_seconds
        for seconds, number in signals:
            await asyncio.sleep(began + seconds - time.monotonic())
            process.send_signal(number)
        await asyncio.sleep(began + RESTART_AFTER_SECONDS - time.monotonic())
        installation.ledger.record_stop(vm.name, began, process.poll())
        if process is vm.process:
            vm.restart()
        await installation.wait_until_ready(vm)
        vm.is_stopping = False

    def _draw_signals(self) -> list[tuple[float, signal.Signals]]:
        """Draw the signals for a VM, each with its offset in seconds from the first."""
        signals = [(0.0, signal.SIGTERM), (STOP_GRACE_SECONDS, signal.SIGKILL)]
        for number in (signal.SIGTERM, signal.SIGHUP):
            if self.rng.random() < REPEATED_SIGNAL_SHARE:
                signals.append((self.rng.uniform(0.0, STOP_GRACE_SECONDS), number))
        return sorted(signals)


class VmsSuspendedAtStop(VmsStopped):
    """The same, and each VM is suspended for a while during its stop.

    The load balancer opens new connections to it until it notices the stop.
    """

    new_connection_seconds = BALANCER_LAG_SECONDS

    def _draw_signals(self) -> list[tuple[float, signal.Signals]]:
        start = self.rng.uniform(*SUSPENDED_AFTER_SECONDS)
        end = start + self.rng.uniform(*SUSPENDED_SECONDS)
        suspension = [(start, signal.SIGSTOP), (end, signal.SIGCONT)]
        return sorted([*super()._draw_signals(), *suspension])


class VmFrozen(Fault):
    """A VM is suspended for seconds and then resumed."""

    duration_range = (1.0, 7.0)

    async def begin(self, installation: Installation) -> str:
        self.vm = installation.vms[self.rng.randrange(len(installation.vms))]
        self.vm.process.send_signal(signal.SIGSTOP)
        return self.vm.name

    async def end(self, installation: Installation) -> None:
        self.vm.process.send_signal(signal.SIGCONT)

    def disturbed_vms(self, installation: Installation) -> list[str]:
        return [self.vm.name]


class VmHeldUp(VmFrozen):
    """A VM is suspended for less than the callers' timeout, as by a busy disk or host.

    No request that a target answered may be lost, because the answers are available to
    the VM when it resumes.
    """

    is_planned = True
    duration_range = (1.0, 1.4)


class StoreAway(Fault):
    """The store rejects every call."""

    duration_range = (1.0, 11.0)

    async def begin(self, installation: Installation) -> str:
        installation.store.is_unavailable = True
        return "store"

    async def end(self, installation: Installation) -> None:
        installation.store.is_unavailable = False


class StoreSlow(Fault):
    """The store delays each call by a quarter of a second."""

    async def begin(self, installation: Installation) -> str:
        installation.store.delay_seconds = 0.25
        return "store"

    async def end(self, installation: Installation) -> None:
        installation.store.delay_seconds = 0.0


class StoreForgetful(Fault):
    """Answers to writes are lost after the writes have taken effect."""

    async def begin(self, installation: Installation) -> str:
        installation.store.lost_answer_share = 0.4
        return "store"

    async def end(self, installation: Installation) -> None:
        installation.store.lost_answer_share = 0.0


class TargetReborn(Fault):
    """A target crashes and restarts under the same name, without grants."""

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        await self.target.crash()
        return self.target.name

    async def end(self, installation: Installation) -> None:
        if not self.target.is_running:
            self.target.start()


class TargetSilent(Fault):
    """A target accepts connections and answers no grants or requests."""

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.is_unresponsive = True
        return self.target.name

    async def end(self, installation: Installation) -> None:
        self.target.is_unresponsive = False


class AnswersLost(Fault):
    """A target runs requests and closes some connections before it answers."""

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.lost_answer_share = 0.3
        return self.target.name

    async def end(self, installation: Installation) -> None:
        self.target.lost_answer_share = 0.0


class TargetLeaving(Fault):
    """A target reports that it is draining, and later that it is ready again."""

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.is_draining = True
        installation.write_record(self.target)
        return self.target.name

    async def end(self, installation: Installation) -> None:
        self.target.is_draining = False
        installation.write_record(self.target)


class TargetLimited(Fault):
    """A target names a limit for all VMs together in its answers."""

    is_planned = True
    duration_range = (6.0, 10.0)
    rate_range = (1.0, 4.0)

    async def begin(self, installation: Installation) -> str:
        unlimited = [t for t in installation.targets if t.limit is None]
        self.target = self.rng.choice(unlimited)
        self.target.limit = round(self.rng.uniform(*self.rate_range), 1)
        return f"{self.target.name} to {self.target.limit} a second"

    async def end(self, installation: Installation) -> None:
        self.target.limit = None


class TargetResting(Fault):
    """A target turns away all requests for a while and asks each VM for rest."""

    is_planned = True
    duration_range = (3.0, 7.0)
    rest_range = (1.5, 3.0)

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.rest_seconds = round(self.rng.uniform(*self.rest_range), 1)
        return f"{self.target.name} asking for {self.target.rest_seconds} s"

    async def end(self, installation: Installation) -> None:
        self.target.rest_seconds = 0.0


class TargetDeparting(Fault):
    """A target says in its answers that it leaves, later ends, and starts again.

    Its record in the store does not tell, as when the store is out of reach.
    """

    duration_range = (4.0, 7.0)

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.is_leaving = True
        return self.target.name

    async def end(self, installation: Installation) -> None:
        await self.target.crash()
        if not self.target.is_running:
            self.target.start()


class TargetSlowed(Fault):
    """A target needs three times as long for each request."""

    is_planned = True
    duration_range = (0.4, 2.0)
    service_seconds = 0.15

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.min_service_seconds = self.service_seconds
        return self.target.name

    async def end(self, installation: Installation) -> None:
        self.target.min_service_seconds = 0.0


class TargetFilled(Fault):
    """Work from elsewhere takes all slots and places in the queue of a target."""

    is_planned = True
    duration_range = (0.4, 2.0)

    async def begin(self, installation: Installation) -> str:
        self.target = self.rng.choice(installation.targets)
        self.target.is_filled = True
        return self.target.name

    async def end(self, installation: Installation) -> None:
        self.target.is_filled = False


class TargetReadsSlowly(Fault):
    """A target of uploads reads each body at a low rate."""

    is_planned = True
    duration_range = (0.5, 2.0)
    bytes_per_second_range = (200_000.0, 400_000.0)

    async def begin(self, installation: Installation) -> str:
        targets = [t for t in installation.targets if t.service == "w"]
        self.target = self.rng.choice(targets)
        rate = self.rng.uniform(*self.bytes_per_second_range)
        self.target.read_bytes_per_second = rate
        return f"{self.target.name} at {rate:.0f} bytes a second"

    async def end(self, installation: Installation) -> None:
        self.target.read_bytes_per_second = None


class LoadBurst(Fault):
    """Callers send three times as many requests."""

    is_planned = True
    duration_range = (0.5, 2.0)
    load_factor = 3.0

    async def begin(self, installation: Installation) -> str:
        installation.load_factor = self.load_factor
        return "callers"

    async def end(self, installation: Installation) -> None:
        installation.load_factor = 1.0


class UploadBurst(LoadBurst):
    """Callers send more requests, many of them uploads with the largest bodies."""

    load_factor = 2.0

    async def begin(self, installation: Installation) -> str:
        installation.is_upload_burst = True
        return await super().begin(installation)

    async def end(self, installation: Installation) -> None:
        installation.is_upload_burst = False
        await super().end(installation)


FAULTS: tuple[type[Fault], ...] = (
    VmKilled,
    VmsStopped,
    VmFrozen,
    StoreAway,
    StoreSlow,
    StoreForgetful,
    TargetReborn,
    TargetSilent,
    AnswersLost,
    TargetLeaving,
    TargetLimited,
    TargetResting,
    TargetDeparting,
)

# Only short suspensions of VMs.
SHORT_PAUSES: tuple[type[Fault], ...] = (VmHeldUp,)
# Only planned stops.
PLANNED_STOPS: tuple[type[Fault], ...] = (VmsStopped,)
# Only planned stops of VMs that are suspended meanwhile.
SUSPENDED_STOPS: tuple[type[Fault], ...] = (VmsSuspendedAtStop,)
# Only what fills the queues of targets. None of it may cost a request that ran: targets
# run no request that they do not answer.
FILLED_QUEUES: tuple[type[Fault], ...] = (
    TargetSlowed,
    TargetFilled,
    LoadBurst,
    VmHeldUp,
)
# Only what lets bodies of uploads and answers wait in memory.
HELD_BODIES: tuple[type[Fault], ...] = (TargetSlowed, TargetReadsSlowly, UploadBurst)
# Only targets that name limits, that ask for rest, or that leave, and all three.
LIMITS: tuple[type[Fault], ...] = (TargetLimited,)
RESTS: tuple[type[Fault], ...] = (TargetResting,)
DEPARTURES: tuple[type[Fault], ...] = (TargetDeparting,)
NOTICES: tuple[type[Fault], ...] = LIMITS + RESTS + DEPARTURES
