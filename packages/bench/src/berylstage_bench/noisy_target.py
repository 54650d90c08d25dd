"""Targets of the models: slots, a queue and neighbours that slow the machine."""

from __future__ import annotations

from math import exp, log
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from random import Random

# Share of the time for which neighbours slow a machine, by how much, and for how long.
NOISE_SHARE = 0.2
NOISE_FACTOR = 3.0
NOISE_SECONDS = 0.4
# One request in a hundred takes five times as long.
LONG_SHARE = 0.01
LONG_FACTOR = 5.0
# Mean factors by which long requests and noisy neighbours make work longer.
MEAN_LONG_FACTOR = 1 + LONG_SHARE * (LONG_FACTOR - 1)
MEAN_NOISE_FACTOR = 1 + NOISE_SHARE * (NOISE_FACTOR - 1)

RequestT = TypeVar("RequestT")


class NoisyTarget(Generic[RequestT]):
    """A target with slots, a queue and noisy neighbours.

    Parameters
    ----------
    speed : float
        Factor of the work of each request.
    rng : Random
        Draws when neighbours are noisy.

    Attributes
    ----------
    running, waiting : list
        Requests in slots, and those that wait for one.
    """

    __slots__ = ("_noise", "_rng", "running", "speed", "waiting")

    def __init__(self, speed: float, rng: Random):
        self.speed = speed
        self.running: list[RequestT] = []
        self.waiting: list[RequestT] = []
        self._rng = rng
        self._noise: dict[int, float] = {}

    @property
    def busy(self) -> int:
        """Number of requests in slots and in the queue."""
        return len(self.running) + len(self.waiting)

    def pace(self, now: float) -> float:
        """Return the factor of the work of a request that starts now."""
        span = int(now / NOISE_SECONDS)
        if span not in self._noise:
            noisy = self._rng.random() < NOISE_SHARE
            self._noise[span] = NOISE_FACTOR if noisy else 1.0
        return self.speed * self._noise[span]


def draw_work_seconds(mean: float, spread: float, rng: Random) -> float:
    """Draw the work of a request in seconds.

    Parameters
    ----------
    mean : float
        Mean seconds of all but the few long requests.
    spread : float
        Standard deviation of the logarithm.
    rng : Random
    """
    work = exp(rng.gauss(log(mean) - spread**2 / 2, spread))
    if rng.random() < LONG_SHARE:
        work *= LONG_FACTOR
    return work
