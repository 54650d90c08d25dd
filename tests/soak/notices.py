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


class Arrival:
    """Arrival of a request at a target."""

    __slots__ = ("at", "request_id", "vm")

    def __init__(self, at: float, request_id: str, vm: str):
        self.at = at
        self.request_id = request_id
        self.vm = vm


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
        self.vms: dict[str, str] = {}
        self._arrivals: dict[str, list[Arrival]] = {}
        self._limits: list[LimitPeriod] = []
        self._vm_faults: list[VmFault] = []

    def record_vm_fault(self, vm: str, start: float) -> None:
        """Record that a VM was disturbed from a moment until now."""
        self._vm_faults.append(VmFault(vm, start, time.monotonic()))

    def record_arrival(self, target: str, request_id: str) -> None:
        """Record that a request has arrived at a target."""
        arrival = Arrival(time.monotonic(), request_id, self.vms.get(request_id, ""))
        self._arrivals.setdefault(target, []).append(arrival)

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
        period, vm = self._open_limit(target), self.vms.get(request_id, "")
        if period is not None:
            period.told.setdefault(vm, time.monotonic())

    def _open_limit(self, target: str) -> LimitPeriod | None:
        for period in reversed(self._limits):
            if period.target == target and period.end == math.inf:
                return period
        return None

    def find_violations(self) -> list[str]:
        """Return descriptions of everything that targets did not want."""
        found = [self._find_excess(period) for period in self._limits]
        return [violation for violation in found if violation]

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
        return not any(
            fault.vm == arrival.vm
            and fault.start <= arrival.at
            and fault.end >= period.start
            for fault in self._vm_faults
        )
