"""Record of what targets say of themselves, and checks that VMs act on it."""

from __future__ import annotations

import math
import time

# Seconds over which a target counts requests, and the share of its limit and the
# further requests that it tolerates.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
# Seconds from the naming of a limit until it is checked, and seconds after which a VM
# that has passed on an answer must act on it.
SETTLING_SECONDS = 3.0
REACTION_SECONDS = 0.5
# Requests that may reach a target from a VM during the rest that it asked for.
MAX_REQUESTS_IN_REST = 2
# Seconds after which no request that a caller sends may reach a leaving target from a
# VM that has passed on its notice.
DRAIN_SECONDS = 2.0


class CallerRequest:
    """VM to which a caller has sent a request, and when."""

    __slots__ = ("sent_at", "vm")

    def __init__(self, vm: str, sent_at: float):
        self.vm = vm
        self.sent_at = sent_at


class Arrival:
    """Arrival of a request at a target."""

    __slots__ = ("at", "request", "vm")

    def __init__(self, at: float, request: CallerRequest):
        self.at = at
        self.request = request
        self.vm = request.vm


class Rest:
    """Rest for which a target has asked a VM."""

    __slots__ = ("end", "start", "target", "vm")

    def __init__(self, target: str, vm: str, start: float, end: float):
        self.target = target
        self.vm = vm
        self.start = start
        self.end = end


class Departure:
    """Time at which a VM passed on that a target leaves, until the target has left."""

    __slots__ = ("end", "start", "target", "vm")

    def __init__(self, target: str, vm: str, start: float):
        self.target = target
        self.vm = vm
        self.start = start
        self.end = math.inf


class LimitPeriod:
    """Time for which a target names one limit.

    Parameters
    ----------
    target : str
    rate : float
        Requests per second from all VMs together.
    start : float
        Monotonic seconds of the first answer that names it.
    """

    __slots__ = ("end", "rate", "start", "target", "told")

    def __init__(self, target: str, rate: float, start: float):
        self.target = target
        self.rate = rate
        self.start = start
        self.end = math.inf
        # When each VM first passed on an answer that names the limit.
        self.told: dict[str, float] = {}


class VmFault:
    """A stop, kill or suspension of a VM."""

    __slots__ = ("end", "start", "vm")

    def __init__(self, vm: str, start: float, end: float):
        self.vm = vm
        self.start = start
        self.end = end


class NoticeLedger:
    """Record of notices, arrivals and disturbed VMs, checked after the run."""

    def __init__(self) -> None:
        self._requests: dict[str, CallerRequest] = {}
        self._rests: list[Rest] = []
        self._departures: dict[tuple[str, str], Departure] = {}
        self._past_departures: list[Departure] = []
        self._arrivals: dict[str, list[Arrival]] = {}
        self._limits: list[LimitPeriod] = []
        self._vm_faults: list[VmFault] = []

    def record_vm_fault(self, vm: str, start: float) -> None:
        """Record that a VM was disturbed from a moment until now."""
        self._vm_faults.append(VmFault(vm, start, time.monotonic()))

    def record_request(self, request_id: str, vm: str) -> None:
        """Record that a caller sends a request to a VM."""
        self._requests[request_id] = CallerRequest(vm, time.monotonic())

    def record_arrival(self, target: str, request_id: str) -> None:
        """Record that a request has arrived at a target."""
        request = self._requests.get(request_id, CallerRequest("", 0.0))
        arrival = Arrival(time.monotonic(), request)
        self._arrivals.setdefault(target, []).append(arrival)

    def record_rest(self, target: str, request_id: str, seconds: float) -> None:
        """Record that a target asks the VM of a request for rest."""
        moment, vm = time.monotonic(), self._requests[request_id].vm
        self._rests.append(Rest(target, vm, moment, moment + seconds))

    def record_departure(self, request_id: str, target: str) -> None:
        """Record that a VM has passed on an answer of a target that leaves."""
        vm = self._requests[request_id].vm
        departure = Departure(target, vm, time.monotonic())
        self._departures.setdefault((target, vm), departure)

    def record_target_end(self, target: str) -> None:
        """Record that a target has left."""
        for key in [key for key in self._departures if key[0] == target]:
            departure = self._departures.pop(key)
            departure.end = time.monotonic()
            self._past_departures.append(departure)

    def record_limit(self, target: str, rate: float | None) -> None:
        """Record the limit that a target's answer names, or that it names none."""
        period = self._open_limit(target)
        if period is not None and period.rate == rate:
            return
        moment = time.monotonic()
        if period is not None:
            period.end = moment
        if rate is not None:
            self._limits.append(LimitPeriod(target, rate, moment))

    def record_answer(self, request_id: str, target: str) -> None:
        """Record that a VM has passed on an answer of a target that names a limit."""
        period = self._open_limit(target)
        if period is not None:
            vm = self._requests[request_id].vm
            period.told.setdefault(vm, time.monotonic())

    def _open_limit(self, target: str) -> LimitPeriod | None:
        for period in reversed(self._limits):
            if period.target == target and period.end == math.inf:
                return period
        return None

    def find_violations(self) -> list[str]:
        """Return descriptions of everything that targets did not want."""
        found = [
            *(self._find_excess(period) for period in self._limits),
            *(self._find_disturbance(rest) for rest in self._rests),
            *(self._find_late_arrival(d) for d in self._departures.values()),
            *(self._find_late_arrival(d) for d in self._past_departures),
        ]
        return [violation for violation in found if violation]

    def _find_disturbance(self, rest: Rest) -> str:
        """Return how many requests a VM has sent to a target that wanted rest."""
        count = sum(
            arrival.vm == rest.vm
            and rest.start + REACTION_SECONDS <= arrival.at <= rest.end
            for arrival in self._arrivals.get(rest.target, ())
        )
        if count <= MAX_REQUESTS_IN_REST or self._is_disturbed(
            rest.vm, rest.start, rest.end
        ):
            return ""
        return (
            f"{rest.target} asked {rest.vm} for {rest.end - rest.start:.1f} s of rest "
            f"at {rest.start:.2f} and got {count} requests from it"
        )

    def _find_late_arrival(self, departure: Departure) -> str:
        """Return the first request that a VM sent to a target that was leaving."""
        for arrival in self._arrivals.get(departure.target, ()):
            is_late = arrival.request.sent_at > departure.start + DRAIN_SECONDS
            if (
                arrival.vm == departure.vm
                and is_late
                and arrival.at < departure.end
                and not self._is_disturbed(arrival.vm, departure.start, arrival.at)
            ):
                seconds = arrival.at - departure.start
                return (
                    f"{departure.target} got a request from {departure.vm} "
                    f"{seconds:.1f} s after that had passed on that it leaves"
                )
        return ""

    def _is_disturbed(self, vm: str, start: float, end: float) -> bool:
        """Return whether a VM was stopped or suspended in a period."""
        return any(
            fault.vm == vm and fault.start <= end and fault.end >= start
            for fault in self._vm_faults
        )

    def _find_excess(self, period: LimitPeriod) -> str:
        """Return the first time at which a target got more than its limit allows."""
        allowed = LIMIT_TOLERANCE * period.rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        counted = [
            a.at
            for a in self._arrivals.get(period.target, ())
            if self._counts(a, period)
        ]
        first = 0
        for last, at in enumerate(counted):
            while counted[first] <= at - LIMIT_WINDOW_SECONDS:
                first += 1
            count = last - first + 1
            if at >= period.start + SETTLING_SECONDS and count > allowed:
                return (
                    f"{period.target} named a limit of {period.rate:.1f} at "
                    f"{period.start:.2f} and got {count} requests in 4 s at {at:.2f} "
                    f"from VMs that it had told; {allowed:.0f} allowed"
                )
        return ""

    def _counts(self, arrival: Arrival, period: LimitPeriod) -> bool:
        told_at = period.told.get(arrival.vm, math.inf)
        if not told_at + REACTION_SECONDS <= arrival.at <= period.end:
            return False
        # A VM that was stopped or suspended may not know of the limit.
        return not self._is_disturbed(arrival.vm, period.start, arrival.at)
