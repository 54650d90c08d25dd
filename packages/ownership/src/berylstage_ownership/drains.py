"""Work in flight, and what was lost but is not let go of yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_ownership.grants import LedTarget


class Flight:
    """Requests in flight for one shard at one target."""

    __slots__ = ("count", "deadline")

    def __init__(self) -> None:
        self.count = 0
        self.deadline = 0.0


class WorkInFlight:
    """Counts of requests in flight by target and shard.

    A request counts until it ended or its deadline passed, after which the target
    itself drops it.
    """

    def __init__(self) -> None:
        self._flights: dict[str, dict[str, Flight]] = {}

    def started(self, target: str, shard: str, deadline: float) -> None:
        """Count one request.

        Parameters
        ----------
        target, shard : str
            The shard is empty where keys are not owned.
        deadline : float
            Monotonic time after which the target does not work on it.
        """
        flight = self._flights.setdefault(target, {}).setdefault(shard, Flight())
        flight.count += 1
        flight.deadline = max(flight.deadline, deadline)

    def ended(self, target: str, shard: str) -> None:
        """Count one request less."""
        shards = self._flights.get(target, {})
        flight = shards.get(shard)
        if flight is None:
            return
        flight.count -= 1
        if flight.count <= 0:
            del shards[shard]

    def busy(self, now: float, target: str, shard: str) -> bool:
        """Tell whether work of a shard may be running at a target."""
        flight = self._flights.get(target, {}).get(shard)
        return flight is not None and now < flight.deadline

    def target_busy(self, now: float, target: str) -> bool:
        """Tell whether any work that left here may be running at a target."""
        flights = self._flights.get(target, {}).values()
        return any(now < flight.deadline for flight in flights)


class LostShard:
    """A shard that this VM stopped admitting and has not let go of.

    Parameters
    ----------
    shard, target : str
    fence : int
        Fence token under which it worked.
    led : LedTarget
        The lead under which it was granted.
    """

    __slots__ = ("shard", "target", "fence", "led")

    def __init__(self, shard: str, target: str, fence: int, led: LedTarget):
        self.shard = shard
        self.target = target
        self.fence = fence
        self.led = led
