"""Which target of several will be done with a request first.

The load it answers: targets with two or three slots, of uneven and changing speed,
before which many VMs choose at the same time. What a target told in its last answer is
stale within a few hundred milliseconds, so it fades; what this VM has under way itself
is certain and counts in full. A VM that goes by the reports alone sends one request
after the other to the target that was idle when it answered last.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

# Seconds in which a report loses two thirds of its weight: about two service times of
# the middle of the kinds that the targets of today work on (40 to 300 ms).
REPORT_MEMORY = 0.3
# Weight of a new service time in the mean of a target.
TIME_GAIN = 0.2
# Seconds assumed for a service whose targets have not answered yet.
FIRST_TIME = 0.1
# Targets that are compared in one choice. All of them at today's size, where one
# comparison costs about 1 us.
COMPARED = 16
# How much better than the best, as a share of the service time, makes no difference: a
# choice among equals at random keeps VMs with the same picture apart.
TIE = 0.15
# Seconds for which a target that lost a request or failed is left alone at first, and
# at most: the span doubles with each new failure.
FIRST_PENALTY = 0.5
LONGEST_PENALTY = 4.0


class TargetLoad:
    """What one VM knows of the load of one target.

    Parameters
    ----------
    slots : int
    """

    __slots__ = (
        "avoid_until",
        "inflight",
        "others",
        "pace",
        "penalty",
        "reported",
        "seconds",
        "slots",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.inflight = 0
        # Requests of other VMs there when it answered last.
        self.others = 0.0
        self.pace = 1.0
        self.reported = float("-inf")
        # Mean service time relative to the service's own, as this VM has seen it.
        self.seconds = 0.0
        self.avoid_until = float("-inf")
        self.penalty = 0.0

    def told(self, busy: int, slots: int, pace: float, now: float) -> None:
        """Take in what the target told in an answer that has just come.

        Parameters
        ----------
        busy : int
            Requests that run or wait there, the answered one not counted.
        slots : int
        pace : float
        now : float
        """
        self.slots = max(1, slots)
        self.others = max(0.0, busy - self.inflight)
        self.pace = pace
        self.reported = now

    def took(self, seconds: float) -> None:
        """Take in the time of an answer, its waiting there taken off."""
        if not self.seconds:
            self.seconds = seconds
        else:
            self.seconds += TIME_GAIN * (seconds - self.seconds)

    def failed(self, now: float) -> None:
        """Leave the target alone for a while."""
        if now < self.avoid_until:
            return
        self.penalty = min(2 * self.penalty or FIRST_PENALTY, LONGEST_PENALTY)
        self.avoid_until = now + self.penalty

    def worked(self, now: float) -> None:
        """Note a good answer."""
        if now >= self.avoid_until:
            self.penalty = 0.0

    def busy(self, now: float, usual: float) -> float:
        """Return the requests that are expected there.

        Parameters
        ----------
        now : float
        usual : float
            Requests of others that a target of the service has on average.
        """
        weight = exp(-(now - self.reported) / REPORT_MEMORY)
        return self.inflight + weight * self.others + (1 - weight) * usual

    def completion(self, now: float, usual: float, typical: float) -> float:
        """Return the seconds until one more request would be done here."""
        weight = exp(-(now - self.reported) / REPORT_MEMORY)
        pace = weight * self.pace + (1 - weight)
        service = (self.seconds or typical) * pace
        ahead = self.busy(now, usual) + 1 - self.slots
        return service + max(0.0, ahead) * service / self.slots


class ServiceLoads:
    """The loads of the targets of one service.

    Parameters
    ----------
    rng : Random
    """

    __slots__ = ("_loads", "_rng", "_typical", "_usual")

    def __init__(self, rng: Random):
        self._rng = rng
        self._loads: dict[str, TargetLoad] = {}
        self._typical = FIRST_TIME
        self._usual = 0.0

    def load(self, name: str, slots: int) -> TargetLoad:
        """Return what is known of a target, which may be new."""
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = TargetLoad(slots)
        return load

    def keep(self, names: Iterable[str]) -> None:
        """Forget all targets but these."""
        wanted = set(names)
        for name in [name for name in self._loads if name not in wanted]:
            del self._loads[name]

    def answered(self, name: str, seconds: float) -> None:
        """Take in a service time."""
        self._typical += TIME_GAIN / 4 * (seconds - self._typical)
        load = self._loads.get(name)
        if load is not None:
            load.took(seconds)

    def service_time(self, name: str) -> float:
        """Return the mean service time of a target, or of the service."""
        return self._loads[name].seconds or self._typical

    def times(self) -> dict[str, float]:
        """Return the mean service time of each target that has answered."""
        return {
            name: round(load.seconds, 4)
            for name, load in self._loads.items()
            if load.seconds
        }

    def told(self, load: TargetLoad) -> None:
        """Take a report into what is usual."""
        self._usual += 0.05 * (load.others - self._usual)

    def choose(self, names: list[str], now: float) -> str:
        """Return the target that is expected to be done first.

        Parameters
        ----------
        names : list of str
            At least one.
        now : float

        Returns
        -------
        str
        """
        if len(names) > COMPARED:
            names = self._rng.sample(names, COMPARED)
        sound = [n for n in names if self._loads[n].avoid_until <= now] or names
        times = [
            (self._loads[n].completion(now, self._usual, self._typical), n)
            for n in sound
        ]
        best = min(times)[0]
        equal = [n for t, n in times if t <= best + TIE * self._typical]
        return self._rng.choice(equal)

    def expected(self, name: str, now: float) -> float:
        """Return the seconds until one more request would be done at a target."""
        return self._loads[name].completion(now, self._usual, self._typical)
