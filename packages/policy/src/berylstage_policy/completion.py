"""Choice of the target with the earliest expected completion.

Targets have two or three slots and uneven, changing speed, and many VMs choose among
them concurrently. The load that a target reported with its last answer is stale within
a few hundred milliseconds, so the weight of a report decays; this VM's own requests in
flight are known exactly and count in full. A VM that relied on reports alone would send
one request after another to the target that was idle when it answered last.
"""

from __future__ import annotations

from math import exp, inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

# Time constant in seconds of the decay of a report: about two service times of the
# median request kind of the current targets (40 to 300 ms).
REPORT_MEMORY = 0.3
# Weights of a new answer in a target's service time ratio, and in the typical service
# time of a kind, which averages the answers of all targets of the service.
SERVICE_TIME_RATIO_GAIN = 0.15
TYPICAL_SECONDS_GAIN = 0.04
# Bounds of the service time ratio. An answer that took a twentieth of the typical time
# was small, and one that took ten times as long is of a rare long kind; neither says
# anything about the target. Current targets range from 0.65 to 2 times the median.
MIN_SERVICE_TIME_RATIO = 0.6
MAX_SERVICE_TIME_RATIO = 2.2
# Time constant in seconds with which a machine's lasting slowdown rises to the reported
# one; it falls immediately. Noisy neighbours slow a machine by a factor of three for
# 0.4 s at a time, which must not count as its lasting slowdown (reported as 0.5 to
# 1.5).
SLOWDOWN_RISE_SECONDS = 2.0
# A machine is considered slowed by neighbours from this multiple of its lasting
# slowdown. The mean length of such a slow period starts at the initial value, and each
# observed period is averaged in with the gain.
SLOW_PERIOD_FACTOR = 1.5
INITIAL_SLOW_PERIOD_SECONDS = 0.4
SLOW_PERIOD_GAIN = 0.1
# Service time assumed until a target of the service has answered.
INITIAL_SERVICE_SECONDS = 0.1
# Maximum number of targets compared in one choice, which covers all targets of current
# services. One comparison costs about 1 us.
COMPARED = 16
# Expected times that differ by less than this share of the mean service time count as
# equal. A random choice among them keeps VMs with the same information from all
# choosing the same target.
TIE = 0.15
# Locality penalty in seconds of a target in another data centre: traffic between data
# centres is paid for, and a round trip takes 2 to 3 ms. At 1.3 times the current load,
# shares of 0.65, 0.42, 0.28 and 0.14 of the requests cross with penalties of 0, 0.04,
# 0.08 and 0.16 s, and earn 0.955, 0.959, 0.960 and 0.956 (`make bench-placement`).
OTHER_DATA_CENTRE = 0.08
# Locality penalty for each byte of an answer, if that is more: an answer of 90 kB that
# crosses costs about a quarter of the request's value.
CROSSING_SECONDS_PER_BYTE = 3.3e-6
# A target that lost or failed a request is avoided for the initial time; the time
# doubles with each further failure, up to the maximum.
INITIAL_BACKOFF_SECONDS = 0.5
# Consecutive failures, over the requests of all VMs, after which a target is ejected.
MAX_CONSECUTIVE_FAILURES = 3
MAX_BACKOFF_SECONDS = 4.0


class TargetLoad:
    """Load of one target as seen by one VM.

    Parameters
    ----------
    slots : int
    """

    __slots__ = (
        "backoff_until",
        "locality_penalty",
        "inflight",
        "other_active",
        "machine_slowdown",
        "backoff_seconds",
        "reported",
        "slots",
        "slow_since",
        "ejected_until",
        "service_time_ratio",
        "slow_period",
        "consecutive_failures",
        "usual_slowdown",
        "has_data",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.inflight = 0
        # Seconds added to the expected time, for the cost of transferring the answers.
        self.locality_penalty = 0.0
        # Requests of other VMs at the target, by its last report.
        self.other_active = 0.0
        # Service time on the target's machine relative to the usual machine: as last
        # reported, and without the slow periods that neighbours cause.
        self.machine_slowdown = 1.0
        self.usual_slowdown = inf
        self.reported = -inf
        # Start of the current slow period, infinite if there is none; and length of the
        # last one until it is averaged into the service's mean.
        self.slow_since = inf
        self.slow_period = 0.0
        # Mean ratio of service times to those typical for their kinds and the machine.
        self.service_time_ratio = 1.0
        self.backoff_until = -inf
        self.backoff_seconds = 0.0
        # Consecutive failures reported by any VM, and the end of the ejection.
        self.consecutive_failures = 0
        self.ejected_until = -inf
        # Whether the target has reported its load or answered a request.
        self.has_data = False

    def record_report(
        self, active: int, slots: int, machine_slowdown: float, now: float
    ) -> None:
        """Record the load that the target has just reported.

        Parameters
        ----------
        active : int
            Requests running or queued at the target, without an answered one.
        slots : int
        machine_slowdown : float
        now : float
        """
        self.has_data = True
        self.slots = max(1, slots)
        self.other_active = max(0.0, active - self.inflight)
        self.machine_slowdown = machine_slowdown
        gain = 1 - exp(-(now - self.reported) / SLOWDOWN_RISE_SECONDS)
        if machine_slowdown < self.usual_slowdown:
            self.usual_slowdown = machine_slowdown
        else:
            self.usual_slowdown += gain * (machine_slowdown - self.usual_slowdown)
        self.reported = now
        self._update_slow_period(now)

    def _update_slow_period(self, now: float) -> None:
        if self.machine_slowdown > SLOW_PERIOD_FACTOR * self.lasting_slowdown:
            self.slow_since = min(self.slow_since, now)
        elif self.slow_since < inf:
            self.slow_period = now - self.slow_since
            self.slow_since = inf

    @property
    def lasting_slowdown(self) -> float:
        """Machine slowdown expected in some seconds."""
        return 1.0 if self.usual_slowdown == inf else self.usual_slowdown

    def service_seconds(
        self, now: float, typical_seconds: float, slow_period: float
    ) -> float:
        """Return the expected service time here, without queueing.

        A slow period is short, so a request that starts in one does most of its work
        after it. If a machine of half the usual speed were considered slow for the
        whole request, it would seem too slow for any request a fifth of the time.

        Parameters
        ----------
        now : float
        typical_seconds : float
            Typical service time of the request's kind.
        slow_period : float
            Mean length of a slow period in seconds.

        Returns
        -------
        float
        """
        usual = self.service_time_ratio * self.lasting_slowdown * typical_seconds
        factor = self.machine_slowdown / self.lasting_slowdown
        if factor <= 1:
            return usual
        # The longer a slow period has lasted, the longer it is expected to last: the
        # machine itself may have become slow.
        remaining = max(slow_period, now - self.slow_since) / 2
        excess = min((factor - 1) * usual, (1 - 1 / factor) * remaining)
        return usual + exp(-(now - self.reported) / REPORT_MEMORY) * excess

    def record_ratio(self, ratio: float) -> None:
        """Record the ratio of a service time to the typical one of its kind."""
        self.has_data = True
        ratio = min(max(ratio, MIN_SERVICE_TIME_RATIO / 2), MAX_SERVICE_TIME_RATIO * 2)
        service_time_ratio = self.service_time_ratio + SERVICE_TIME_RATIO_GAIN * (
            ratio - self.service_time_ratio
        )
        self.service_time_ratio = min(
            max(service_time_ratio, MIN_SERVICE_TIME_RATIO), MAX_SERVICE_TIME_RATIO
        )

    def record_failure(self, now: float) -> None:
        """Record a failure, and avoid the target for some time."""
        if now < self.backoff_until:
            return
        self.backoff_seconds = min(
            2 * self.backoff_seconds or INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        )
        self.backoff_until = now + self.backoff_seconds

    def record_shared_failure(self, now: float) -> None:
        """Record that the target failed a request of some VM.

        A single failure does not eject a target: where one in forty answers is lost,
        each target of a service fails a request every few seconds, and all of them
        would be ejected at once.
        """
        self.consecutive_failures += 1
        if (
            self.consecutive_failures < MAX_CONSECUTIVE_FAILURES
            or now < self.ejected_until
        ):
            return
        duration = INITIAL_BACKOFF_SECONDS * 2 ** (
            self.consecutive_failures - MAX_CONSECUTIVE_FAILURES
        )
        self.ejected_until = now + min(duration, MAX_BACKOFF_SECONDS)

    def record_shared_success(self) -> None:
        """Record that the target answered a request of some VM."""
        self.consecutive_failures = 0

    def record_success(self, now: float) -> None:
        """Record a success of one of this VM's requests."""
        if now >= self.backoff_until:
            self.backoff_seconds = 0.0

    def active(self, now: float, mean_other_active: float) -> float:
        """Return the expected number of active requests at the target.

        Parameters
        ----------
        now : float
        mean_other_active : float
            Mean number of other VMs' requests at a target of the service.
        """
        weight = exp(-(now - self.reported) / REPORT_MEMORY)
        return (
            self.inflight
            + weight * self.other_active
            + (1 - weight) * mean_other_active
        )

    def expected_seconds(
        self, now: float, mean_other_active: float, typical_seconds: float, mean: float
    ) -> float:
        """Return the seconds until one more request is expected to complete here.

        Parameters
        ----------
        now, mean_other_active : float
            As for :meth:`active`.
        typical_seconds : float
            Typical service time of the request's kind.
        mean : float
            Mean service time of the requests ahead of it.
        """
        weight = exp(-(now - self.reported) / REPORT_MEMORY)
        # The weight of an old report moves to the usual slowdown, not to the machine's
        # lasting one. With the lasting one, a slow machine was left out once the others
        # were considered busy, its report was never renewed, and all VMs overloaded the
        # rest (0.78 of the credit instead of 0.93 in a model of 12 targets at three
        # quarters of their slots).
        slowdown = self.service_time_ratio * (
            weight * self.machine_slowdown + (1 - weight)
        )
        ahead = self.active(now, mean_other_active) + 1 - self.slots
        service_seconds = slowdown * (
            typical_seconds + max(0.0, ahead) * mean / self.slots
        )
        return service_seconds + self.locality_penalty


class ServiceLoads:
    """Loads of the targets of one service.

    Parameters
    ----------
    rng : Random
    """

    __slots__ = (
        "_loads",
        "_rng",
        "_slow_period",
        "_typical_seconds",
        "_mean_other_active",
        "mean_seconds",
    )

    def __init__(self, rng: Random):
        self._rng = rng
        self._loads: dict[str, TargetLoad] = {}
        # Typical service time by kind, and mean over all kinds.
        self._typical_seconds: dict[str, float] = {}
        self.mean_seconds = INITIAL_SERVICE_SECONDS
        self._mean_other_active = 0.0
        # Mean length of a slow period in seconds.
        self._slow_period = INITIAL_SLOW_PERIOD_SECONDS

    def load(self, name: str, slots: int) -> TargetLoad:
        """Return the load of a target, which is added if it is new."""
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = TargetLoad(slots)
        return load

    def retain(self, names: Iterable[str]) -> None:
        """Remove all targets except the given ones."""
        retained = set(names)
        for name in [name for name in self._loads if name not in retained]:
            del self._loads[name]

    def service_seconds(self, name: str, kind: str, now: float) -> float:
        """Return a target's expected service time for a request kind.

        Parameters
        ----------
        name : str
        kind : str
        now : float

        Returns
        -------
        float
            Seconds, without queueing.
        """
        load = self._loads.get(name)
        typical_seconds = self._typical_seconds.get(kind, self.mean_seconds)
        return (
            load.service_seconds(now, typical_seconds, self._slow_period)
            if load is not None
            else typical_seconds
        )

    def record_service_time(self, name: str, kind: str, seconds: float) -> None:
        """Record the service time of a request.

        Parameters
        ----------
        name : str
            Target.
        kind : str
            Requests of one kind have similar service times.
        seconds : float
            Service time without queueing, on a machine of the usual speed.
        """
        typical_seconds = self._typical_seconds.get(kind)
        if typical_seconds is None:
            typical_seconds = self._typical_seconds[kind] = seconds
        self._typical_seconds[kind] += TYPICAL_SECONDS_GAIN * (
            seconds - typical_seconds
        )
        self.mean_seconds += TYPICAL_SECONDS_GAIN * (seconds - self.mean_seconds)
        load = self._loads.get(name)
        if load is not None and typical_seconds > 0:
            load.record_ratio(seconds / typical_seconds)

    def service_time_ratio(self) -> dict[str, float]:
        """Return the ratio of each known target's service times to the typical ones.

        The ratio includes the machine's lasting slowdown: keys are distributed by it,
        and without the slowdown the fastest target would get no more of them than the
        slowest.
        """
        return {
            name: round(load.service_time_ratio * load.lasting_slowdown, 3)
            for name, load in self._loads.items()
            if load.has_data
        }

    def record_report(self, load: TargetLoad) -> None:
        """Include a target's new report in the means of the service."""
        self._mean_other_active += 0.05 * (load.other_active - self._mean_other_active)
        if load.slow_period:
            self._slow_period += SLOW_PERIOD_GAIN * (
                load.slow_period - self._slow_period
            )
            load.slow_period = 0.0

    def choose(self, candidates: list[str], kind: str, now: float) -> str:
        """Return a target with the earliest expected completion.

        Parameters
        ----------
        candidates : list of str
            Must not be empty.
        kind : str
        now : float

        Returns
        -------
        str
        """
        if len(candidates) > COMPARED:
            candidates = self._rng.sample(candidates, COMPARED)
        healthy = [
            n for n in candidates if self._loads[n].backoff_until <= now
        ] or candidates
        estimates = [(self.expected_seconds(n, kind, now), n) for n in healthy]
        best = min(estimates)[0]
        tied = [n for t, n in estimates if t <= best + TIE * self.mean_seconds]
        return self._rng.choice(tied)

    def describe(self, name: str, now: float) -> str:
        """Return the data that a choice is based on, for the log.

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
            f"target {name} inflight {load.inflight} others {load.other_active:.0f} "
            f"slots {load.slots} pace {load.machine_slowdown:.2f} "
            f"slowness {load.service_time_ratio:.2f} "
            f"report {now - load.reported:.3f} s old"
        )

    def expected_seconds(self, name: str, kind: str, now: float) -> float:
        """Return the seconds until one more request is expected to complete."""
        typical_seconds = self._typical_seconds.get(kind, self.mean_seconds)
        return self._loads[name].expected_seconds(
            now, self._mean_other_active, typical_seconds, self.mean_seconds
        )
