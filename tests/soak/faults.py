"""What befalls an installation in a soak: each fault begins, lasts, and ends."""

from __future__ import annotations

import signal
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from soak.installation import Installation


class Fault(ABC):
    """One trouble.

    Parameters
    ----------
    rng : Random
    """

    # Seconds that it lasts, at least and at most.
    lasts = (1.0, 5.0)

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


class VmStopped(VmKilled):
    """A VM is told to stop, and starts again."""

    lasts = (7.0, 8.0)

    async def begin(self, world: Installation) -> str:
        self.vm = self.rng.randrange(len(world.vms))
        world.vms[self.vm].process.send_signal(signal.SIGTERM)
        return f"vm {self.vm}"


class VmFrozen(Fault):
    """A VM stands still for seconds and goes on as if nothing had happened."""

    lasts = (1.0, 7.0)

    async def begin(self, world: Installation) -> str:
        self.vm = world.vms[self.rng.randrange(len(world.vms))]
        self.vm.process.send_signal(signal.SIGSTOP)
        return self.vm.name

    async def end(self, world: Installation) -> None:
        self.vm.process.send_signal(signal.SIGCONT)


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
    VmStopped,
    VmFrozen,
    StoreAway,
    StoreSlow,
    StoreForgetful,
    TargetReborn,
    TargetSilent,
    AnswersLost,
    TargetLeaving,
)
