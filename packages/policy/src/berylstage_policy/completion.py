"""Which target of several will be done with a request first.

The load it answers: targets with two or three slots, of uneven and changing speed,
before which many VMs choose at the same time. What a target told in its last answer is
stale within a few hundred milliseconds, so it fades; what this VM has under way itself
is certain and counts in full. A VM that goes by the reports alone sends one request
after the other to the target that was idle when it answered last.
"""

from __future__ import annotations

from math import exp, inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

# Seconds in which a report loses two thirds of its weight: about two service times of
# the middle of the kinds that the targets of today work on (40 to 300 ms).
REPORT_MEMORY = 0.3
# Weight of a new answer in the slowness of a target, and in the typical time of a kind,
# of which a VM sees as many answers as of all targets of the service together.
SLOWNESS_GAIN = 0.15
TYPICAL_GAIN = 0.04
# Slowness is kept within these: an answer that took a twentieth of the usual was small,
# and one that took ten times as long is of the rare long kind; neither tells of the
# target. Targets of today are from 0.65 to 2 times as slow as the middle one.
LEAST_SLOWNESS = 0.6
MOST_SLOWNESS = 2.2
# Seconds in which the usual pace of a target's machine rises most of the way to what it
# tells; it falls at once. Neighbours slow a machine by a factor of three for 0.4 s at a
# time: that must not count as its own speed, which is lasting (0.5 to 1.5 are told).
PACE_RISE = 2.0
# Times its usual pace from which a machine counts as slowed by neighbours; for how long
# that is taken to last until it has been seen, and the weight of each time.
SLOWED = 1.5
FIRST_SPELL = 0.4
SPELL_GAIN = 0.1
# Seconds assumed for a service whose targets have not answered yet.
FIRST_TIME = 0.1
# Targets that are compared in one choice. All of them at today's size, where one
# comparison costs about 1 us.
COMPARED = 16
# How much better than the best, as a share of the service time, makes no difference: a
# choice among equals at random keeps VMs with the same picture apart.
TIE = 0.15
# Seconds by which a target in another data centre is put behind one in the same: bytes
# between data centres are paid for, and the way there and back takes 2 to 3 ms. At 1.3
# times today's requests 0.65, 0.42, 0.28 and 0.14 of them cross with 0, 0.04, 0.08 and
# 0.16 s, and earn 0.955, 0.959, 0.960 and 0.956 (`make bench-placement`).
OTHER_DATA_CENTRE = 0.08
# The same for each byte of an answer, where that is more: 90 kB that cross cost about a
# quarter of what the request is worth.
CROSSING_PER_BYTE = 3.3e-6
# Seconds for which a target that lost a request or failed is left alone at first, and
# at most: the span doubles with each new failure.
FIRST_PENALTY = 0.5
# Failures in a row, of requests of all VMs, after which no VM sends there for a while.
STRIKES = 3
LONGEST_PENALTY = 4.0


class TargetLoad:
    """What one VM knows of the load of one target.

    Parameters
    ----------
    slots : int
    """

    __slots__ = (
        "avoid_until",
        "distance",
        "inflight",
        "others",
        "pace",
        "penalty",
        "reported",
        "slots",
        "slow_since",
        "shunned_until",
        "slowness",
        "spell",
        "strikes",
        "usual_pace",
        "was_heard",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.inflight = 0
        # Seconds by which it is put behind others, for what its answers cost on the
        # way.
        self.distance = 0.0
        # Requests of other VMs there when it answered last.
        self.others = 0.0
        # How long work takes on its machine, over the usual: as told last, and as it is
        # without the neighbours that slow it for moments.
        self.pace = 1.0
        self.usual_pace = inf
        self.reported = -inf
        # Since when its machine has been slowed, infinite while it is not; and for how
        # long it was the last time, until that has been taken in.
        self.slow_since = inf
        self.spell = 0.0
        # Mean of its service times over what is typical for their kinds and the pace.
        self.slowness = 1.0
        self.avoid_until = -inf
        self.penalty = 0.0
        # Failures in a row that any VM has told of, and until when it gets no turns.
        self.strikes = 0
        self.shunned_until = -inf
        # Whether it told or answered anything yet.
        self.was_heard = False

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
        self.was_heard = True
        self.slots = max(1, slots)
        self.others = max(0.0, busy - self.inflight)
        self.pace = pace
        rise = 1 - exp(-(now - self.reported) / PACE_RISE)
        if pace < self.usual_pace:
            self.usual_pace = pace
        else:
            self.usual_pace += rise * (pace - self.usual_pace)
        self.reported = now
        self._note_spell(now)

    def _note_spell(self, now: float) -> None:
        if self.pace > SLOWED * self.lasting_pace:
            self.slow_since = min(self.slow_since, now)
        elif self.slow_since < inf:
            self.spell = now - self.slow_since
            self.slow_since = inf

    @property
    def lasting_pace(self) -> float:
        """Pace to be expected some seconds from now."""
        return 1.0 if self.usual_pace == inf else self.usual_pace

    def work(self, now: float, typical: float, spell: float) -> float:
        """Return the seconds of work here, for a request with no other target to go to.

        A neighbour slows the machine for a moment; a request that begins then does most
        of its work after that. Taken for slow all the way, a machine of half the usual
        speed would seem to be of no use to any request, a fifth of the time.

        Parameters
        ----------
        now : float
        typical : float
            Service time of its kind.
        spell : float
            Seconds for which machines are slowed at a time, on average.

        Returns
        -------
        float
        """
        base = self.slowness * self.lasting_pace * typical
        times = self.pace / self.lasting_pace
        if times <= 1:
            return base
        # The longer it has been slow, the longer it will be: it may be of its own.
        left = max(spell, now - self.slow_since) / 2
        excess = min((times - 1) * base, (1 - 1 / times) * left)
        return base + exp(-(now - self.reported) / REPORT_MEMORY) * excess

    def took(self, ratio: float) -> None:
        """Take in the time of an answer over what is typical for its kind."""
        self.was_heard = True
        ratio = min(max(ratio, LEAST_SLOWNESS / 2), MOST_SLOWNESS * 2)
        slowness = self.slowness + SLOWNESS_GAIN * (ratio - self.slowness)
        self.slowness = min(max(slowness, LEAST_SLOWNESS), MOST_SLOWNESS)

    def failed(self, now: float) -> None:
        """Leave the target alone for a while."""
        if now < self.avoid_until:
            return
        self.penalty = min(2 * self.penalty or FIRST_PENALTY, LONGEST_PENALTY)
        self.avoid_until = now + self.penalty

    def struck(self, now: float) -> None:
        """Take in that it failed a request of some VM.

        One failure is no reason to leave a target out: where a fortieth of the answers
        get lost, each target of a service fails somebody's request every few seconds,
        and all of them were left out at once.
        """
        self.strikes += 1
        if self.strikes < STRIKES or now < self.shunned_until:
            return
        span = FIRST_PENALTY * 2 ** (self.strikes - STRIKES)
        self.shunned_until = now + min(span, LONGEST_PENALTY)

    def praised(self) -> None:
        """Take in that it served a request of some VM."""
        self.strikes = 0

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

    def completion(
        self, now: float, usual: float, typical: float, mean: float
    ) -> float:
        """Return the seconds until one more request would be done here.

        Parameters
        ----------
        now, usual : float
            As for :meth:`busy`.
        typical : float
            Service time of its kind.
        mean : float
            Service time of what is ahead of it.
        """
        weight = exp(-(now - self.reported) / REPORT_MEMORY)
        # An old report decays to the pace of all, not to the machine's lasting one: by
        # that a slow machine was left out once the others were taken for busy, nobody
        # heard of it again, and all VMs pressed on the rest (0.78 of the credit instead
        # of 0.93 in a model of 12 targets at three quarters of their slots).
        speed = self.slowness * (weight * self.pace + (1 - weight))
        ahead = self.busy(now, usual) + 1 - self.slots
        work = speed * (typical + max(0.0, ahead) * mean / self.slots)
        return work + self.distance


class ServiceLoads:
    """The loads of the targets of one service.

    Parameters
    ----------
    rng : Random
    """

    __slots__ = ("_loads", "_rng", "_spell", "_typical", "_usual", "mean")

    def __init__(self, rng: Random):
        self._rng = rng
        self._loads: dict[str, TargetLoad] = {}
        # Service time by kind, and over all kinds.
        self._typical: dict[str, float] = {}
        self.mean = FIRST_TIME
        self._usual = 0.0
        # Seconds for which machines are slowed at a time.
        self._spell = FIRST_SPELL

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

    def work(self, name: str, kind: str, now: float) -> float:
        """Return the seconds that a target takes for a request of a kind.

        Parameters
        ----------
        name : str
        kind : str
        now : float

        Returns
        -------
        float
            Without any waiting.
        """
        load = self._loads.get(name)
        typical = self._typical.get(kind, self.mean)
        return load.work(now, typical, self._spell) if load is not None else typical

    def answered(self, name: str, kind: str, seconds: float) -> None:
        """Take in a service time.

        Parameters
        ----------
        name : str
            Target.
        kind : str
            Requests of one kind take alike.
        seconds : float
            Without the waiting, at the usual pace of the target's machine.
        """
        typical = self._typical.get(kind)
        if typical is None:
            typical = self._typical[kind] = seconds
        self._typical[kind] += TYPICAL_GAIN * (seconds - typical)
        self.mean += TYPICAL_GAIN * (seconds - self.mean)
        load = self._loads.get(name)
        if load is not None and typical > 0:
            load.took(seconds / typical)

    def slowness(self) -> dict[str, float]:
        """Return how slow each target is that was heard of, over the typical one.

        What its machine's pace explains is part of it: keys are dealt out by it, and
        without the pace the fastest target got no more of them than the slowest.
        """
        return {
            name: round(load.slowness * load.lasting_pace, 3)
            for name, load in self._loads.items()
            if load.was_heard
        }

    def told(self, load: TargetLoad) -> None:
        """Take a report into what is usual."""
        self._usual += 0.05 * (load.others - self._usual)
        if load.spell:
            self._spell += SPELL_GAIN * (load.spell - self._spell)
            load.spell = 0.0

    def choose(self, names: list[str], kind: str, now: float) -> str:
        """Return the target that is expected to be done first.

        Parameters
        ----------
        names : list of str
            At least one.
        kind : str
        now : float

        Returns
        -------
        str
        """
        if len(names) > COMPARED:
            names = self._rng.sample(names, COMPARED)
        sound = [n for n in names if self._loads[n].avoid_until <= now] or names
        times = [(self.expected(n, kind, now), n) for n in sound]
        best = min(times)[0]
        equal = [n for t, n in times if t <= best + TIE * self.mean]
        return self._rng.choice(equal)

    def describe(self, name: str, now: float) -> str:
        """Return what a choice went by, for the log.

        Parameters
        ----------
        name : str
        now : float

        Returns
        -------
        str
        """
        load = self._loads[name]
        return (
            f"target {name} inflight {load.inflight} others {load.others:.0f} "
            f"slots {load.slots} pace {load.pace:.2f} slowness {load.slowness:.2f} "
            f"report {now - load.reported:.3f} s old"
        )

    def expected(self, name: str, kind: str, now: float) -> float:
        """Return the seconds until one more request would be done at a target."""
        typical = self._typical.get(kind, self.mean)
        return self._loads[name].completion(now, self._usual, typical, self.mean)
