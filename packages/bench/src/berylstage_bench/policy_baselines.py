"""Plain routers that the decisions are measured against."""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import Random

from xxhash import xxh64_intdigest

from berylstage_bench.policy_loads import Deployment, Stream
from berylstage_bench.policy_player import PlayedTarget, Player, Request

# Seconds for which a key that gets another owner is not served: a bound that stands
# for the protocol's, which `docs/design/ownership.md` states.
MOVE_GAP = 0.1


class Router(ABC):
    """What takes requests in and sends them to targets."""

    name = ""

    def __init__(
        self,
        player: Player,
        deployment: Deployment,
        targets: list[PlayedTarget],
        streams: list[Stream],
    ):
        self.player = player
        self.streams = streams
        self.deployment = deployment
        self.targets = targets
        self.by_name = {target.name: target for target in targets}
        self.willing = [target.name for target in targets]

    @abstractmethod
    def arrive(self, req: Request) -> None:
        """Take a request at its VM."""

    def set_willing(self, names: list[str]) -> None:
        """Take in which targets may get work: by configuration, or found down."""
        self.willing = names


class PlainRouter(Router):
    """Sends each request at once to a target, whose accept queue holds it."""

    def arrive(self, req: Request) -> None:
        """Send to the target that the rule names and wait for the answer."""
        target = self.by_name[self.pick(req)]
        self.sent(req, target.name)

        def done(status: str, seconds: float) -> None:
            self.ended(req, target.name)
            req.end(self.player.now, status)

        target.submit(req, done)

    @abstractmethod
    def pick(self, req: Request) -> str:
        """Return the name of the target."""

    def sent(self, req: Request, name: str) -> None:
        """Note that a request was sent."""

    def ended(self, req: Request, name: str) -> None:
        """Note that a request has ended."""


class RandomRouter(PlainRouter):
    """Any target, by chance."""

    name = "random"

    def __init__(self, *args):
        super().__init__(*args)
        self._rng = Random(7)

    def pick(self, req: Request) -> str:
        """Draw a target."""
        return self._rng.choice(self.willing)


class RoundRobinRouter(PlainRouter):
    """One target after the other; fixed concurrency, first in first out."""

    name = "round-robin"

    def __init__(self, *args):
        super().__init__(*args)
        self._next = [vm for vm in range(self.deployment.vms)]

    def pick(self, req: Request) -> str:
        """Return the VM's next target."""
        self._next[req.vm] += 1
        return self.willing[self._next[req.vm] % len(self.willing)]


class LeastOutstandingRouter(PlainRouter):
    """The target with the fewest outstanding requests of this VM."""

    name = "least-out"

    def __init__(self, *args):
        super().__init__(*args)
        self._rng = Random(8)
        self._outstanding = [
            dict.fromkeys(self.by_name, 0) for _ in range(self.deployment.vms)
        ]

    def pick(self, req: Request) -> str:
        """Return the least loaded target, by chance among equals."""
        counts = self._outstanding[req.vm]
        least = min(counts[name] for name in self.willing)
        return self._rng.choice([n for n in self.willing if counts[n] == least])

    def sent(self, req: Request, name: str) -> None:
        """Count one more."""
        self._outstanding[req.vm][name] += 1

    def ended(self, req: Request, name: str) -> None:
        """Count one less."""
        self._outstanding[req.vm][name] -= 1


class HashRouter(PlainRouter):
    """Owned keys by rendezvous hashing over the willing targets, without moves.

    When the willing targets change, the keys that get another owner wait as long as
    ours do: no router can pass exclusive ownership on in no time.
    """

    name = "hashing"

    def __init__(self, *args):
        super().__init__(*args)
        self._owners: dict[str, str] = {}
        self._before: dict[str, str] = {}
        self._changed = float("-inf")

    def arrive(self, req: Request) -> None:
        """Hold a key that changes its owner, and send the others."""
        end = self._changed + MOVE_GAP
        if self.player.now < end:
            before = self._before.get(req.key)
            if before is not None and before != self.pick(req):
                self.player.at(end, super().arrive, req)
                return
        super().arrive(req)

    def pick(self, req: Request) -> str:
        """Return the target with the highest hash for the key."""
        owner = self._owners.get(req.key)
        if owner is None:
            owner = max(self.willing, key=lambda name: key_hash(name, req.key))
            self._owners[req.key] = owner
        return owner

    def set_willing(self, names: list[str]) -> None:
        """Hash anew."""
        super().set_willing(names)
        self._before, self._owners = self._owners, {}
        self._changed = self.player.now


def key_hash(name: str, key: str) -> int:
    """Return the weight of a target for a key."""
    return xxh64_intdigest(f"{name}/{key}".encode())


FREE_BASELINES = [RandomRouter, RoundRobinRouter, LeastOutstandingRouter]
OWNED_BASELINES = [HashRouter]
