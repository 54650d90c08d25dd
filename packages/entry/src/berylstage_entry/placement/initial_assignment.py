"""Decides when keys that never had an owner are assigned.

Targets report to the store one after the other when an installation starts. If all keys
were assigned to the first two targets, the others would own nothing until the first
requests had overloaded these two, and each key would change owner once more.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Report intervals without a new target after which all running targets are known: one
# for the target itself, one for a late report, and the delay of the store.
SETTLE_REPORT_INTERVALS = 2.3
# Longest wait in seconds. Targets that are added one by one must not keep the service
# from starting.
MAX_WAIT_SECONDS = 6.0


class AssignmentCause(Enum):
    """Why unowned keys are assigned now."""

    SETTLED = "no new target"
    REQUESTED = "first request"
    WAITED = "longest wait"


class InitialAssignment:
    """Decides when the unowned keys of one service are assigned.

    The load that it answers is the first second of a new installation: the first
    requests must find the keys spread over all targets.

    Parameters
    ----------
    report_interval : float
        Seconds between two reports of a target; 0 to assign keys without waiting.
    """

    __slots__ = ("_grown_at", "_known", "_settle_seconds", "_started_at")

    def __init__(self, report_interval: float):
        self._settle_seconds = SETTLE_REPORT_INTERVALS * report_interval
        self._known: set[str] = set()
        # Times of the first target and of the last new one, in monotonic seconds.
        self._started_at = inf
        self._grown_at = inf

    def find_cause(
        self, now: float, targets: Iterable[str], has_requests: bool
    ) -> AssignmentCause | None:
        """Return why unowned keys are assigned now; None to wait.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        targets : iterable of str
            Names of the usable targets.
        has_requests : bool
            Whether requests for keys have arrived.

        Returns
        -------
        AssignmentCause or None
        """
        new = set(targets) - self._known
        if new:
            self._known |= new
            self._started_at = min(self._started_at, now)
            self._grown_at = now
        if not self._known:
            return None
        if has_requests:
            return AssignmentCause.REQUESTED
        if now - self._grown_at >= self._settle_seconds:
            return AssignmentCause.SETTLED
        if now - self._started_at >= MAX_WAIT_SECONDS:
            return AssignmentCause.WAITED
        return None
