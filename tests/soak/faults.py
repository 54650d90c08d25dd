"""What befalls an installation in a soak: each fault begins, lasts, and ends."""

from __future__ import annotations

import asyncio
import signal
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from soak.installation import Installation, SoakVm

# Seconds within which the VMs of one series are told to stop.
STAGGER_S = (0.0, 1.6)
# Seconds from SIGTERM to the end by the platform, as the VMs' settings have them, and
# to the new start.
STOP_TIME_S = 6.0
RESTART_S = 6.2
# Share of the VMs that get SIGTERM again, and of those that get SIGHUP.
AGAIN_SHARE = 0.4


class Fault(ABC):
    """One trouble.

    Parameters
    ----------
    rng : Random
    """

    # Seconds that it lasts, at least and at most.
    lasts = (1.0, 5.0)
    # Whether operators bring it about, so that no request may be lost by it.
    is_planned = False

    def __init__(self, rng: Random):
        self.rng = rng
        self.seconds = rng.uniform(*self.lasts)

    @abstractmethod
    async def begin(self, world: Installation) -> str:
        """Bring it about, and return what was hit."""

    async def end(self, world: Installation) -> None:
        """Take it back."""


class VmKilled(Fault):
    """A VM is killed, and starts again."""

    async def begin(self, world: Installation) -> str:
        self.vm = self.rng.randrange(len(world.vms))
        world.vms[self.vm].process.kill()
        return f"vm {self.vm}"

    async def end(self, world: Installation) -> None:
        world.restart(self.vm)


class VmsStopped(Fault):
    """Up to half of the VMs are told to stop, some of them twice, and start again.

    Some get SIGHUP meanwhile. The platform ends what still runs after its stop time.
    """

    is_planned = True
    lasts = (8.0, 9.0)

    async def begin(self, world: Installation) -> str:
        standing = world.standing()
        self.rng.shuffle(standing)
        # The last one that stands is never stopped.
        most = len(standing) // 2
        self.vms = standing[: self.rng.randint(min(1, most), most)]
        self._stops = []
        for vm in self.vms:
            vm.stops = True
            self._stops.append(asyncio.create_task(self._stop(world, vm)))
        return ", ".join(vm.name for vm in self.vms) or "nothing"

    async def end(self, world: Installation) -> None:
        await asyncio.gather(*self._stops)

    async def _stop(self, world: Installation, vm: SoakVm) -> None:
        process, told = vm.process, self._told()
        await asyncio.sleep(self.rng.uniform(*STAGGER_S))
        began = time.monotonic()
        for seconds, number in told:
            await asyncio.sleep(began + seconds - time.monotonic())
            process.send_signal(number)
        await asyncio.sleep(began + RESTART_S - time.monotonic())
        world.ledger.stopped(vm.name, began, process.poll())
        if process is vm.process:
            vm.restart()
        await world.until_ready(vm)
        vm.stops = False

    def _told(self) -> list[tuple[float, signal.Signals]]:
        """Draw the signals that a VM gets, with seconds after the first one."""
        told = [(0.0, signal.SIGTERM), (STOP_TIME_S, signal.SIGKILL)]
        for number in (signal.SIGTERM, signal.SIGHUP):
            if self.rng.random() < AGAIN_SHARE:
                told.append((self.rng.uniform(0.0, STOP_TIME_S), number))
        return sorted(told)


class VmFrozen(Fault):
    """A VM stands still for seconds and goes on as if nothing had happened."""

    lasts = (1.0, 7.0)

    async def begin(self, world: Installation) -> str:
        self.vm = world.vms[self.rng.randrange(len(world.vms))]
        self.vm.process.send_signal(signal.SIGSTOP)
        return self.vm.name

    async def end(self, world: Installation) -> None:
        self.vm.process.send_signal(signal.SIGCONT)


class VmHeldUp(VmFrozen):
    """A VM stands still for less than callers wait, as where its disk or host is busy.

    It costs no request that a target answered: the answers are there when it goes on.
    """

    is_planned = True
    lasts = (1.0, 1.4)


class StoreAway(Fault):
    """The store turns every call away."""

    lasts = (1.0, 11.0)

    async def begin(self, world: Installation) -> str:
        world.store.away = True
        return "store"

    async def end(self, world: Installation) -> None:
        world.store.away = False


class StoreSlow(Fault):
    """The store takes a quarter of a second for each call."""

    async def begin(self, world: Installation) -> str:
        world.store.delay = 0.25
        return "store"

    async def end(self, world: Installation) -> None:
        world.store.delay = 0.0


class StoreForgetful(Fault):
    """Answers to writes are lost after the writes have taken effect."""

    async def begin(self, world: Installation) -> str:
        world.store.lost_share = 0.4
        return "store"

    async def end(self, world: Installation) -> None:
        world.store.lost_share = 0.0


class TargetReborn(Fault):
    """A target crashes and starts again under its name; it holds nothing."""

    async def begin(self, world: Installation) -> str:
        self.target = self.rng.choice(world.targets)
        await self.target.crash()
        return self.target.name

    async def end(self, world: Installation) -> None:
        if not self.target.runs:
            self.target.start()


class TargetSilent(Fault):
    """A target takes connections and answers nothing."""

    async def begin(self, world: Installation) -> str:
        self.target = self.rng.choice(world.targets)
        self.target.silent = True
        return self.target.name

    async def end(self, world: Installation) -> None:
        self.target.silent = False


class AnswersLost(Fault):
    """A target runs requests and breaks off before it answers."""

    async def begin(self, world: Installation) -> str:
        self.target = self.rng.choice(world.targets)
        self.target.lost_share = 0.3
        return self.target.name

    async def end(self, world: Installation) -> None:
        self.target.lost_share = 0.0


class TargetLeaving(Fault):
    """A target says that it leaves, and thinks better of it."""

    async def begin(self, world: Installation) -> str:
        self.target = self.rng.choice(world.targets)
        self.target.leaving = True
        world.write(self.target)
        return self.target.name

    async def end(self, world: Installation) -> None:
        self.target.leaving = False
        world.write(self.target)


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
)

# VMs that stand still for a moment alone.
HOLD_UPS: tuple[type[Fault], ...] = (VmHeldUp,)
# Planned stops alone.
STOPS: tuple[type[Fault], ...] = (VmsStopped,)
