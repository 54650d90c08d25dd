"""Choice of the free target that receives a request of the shared queue.

The order of decisions: a target that has not been used for a while is measured again;
otherwise the fastest target is chosen, with its distance counted as time; of those that
are about as fast, the one to which the request's VM keeps a connection.
"""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

from berylstage_policy.connection_affinity import EQUAL_SHARE

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_policy.connection_affinity import ConnectionAffinity
    from berylstage_policy.service_times import ServiceTimes
    from berylstage_policy.slot_requests import QueuedRequest
    from berylstage_policy.target_slots import TargetSlots

# A target without a request for this long receives the next one that it can answer in
# time. Information about an idle target is old; without such a request a target that
# was slow for a moment, or has just joined, would never be measured again.
IDLE_TARGET_SECONDS = 1.0
# Time for which such a target waits for a request of a VM that has a connection to it,
# before it receives one of any VM. A VM sends a request every 0.3 s at 312 requests per
# second and 84 VMs.
IDLE_TARGET_CONNECTED_SECONDS = 1.0


class FreeTargetChooser:
    """Chooses among the free targets of a queue.

    The load is targets of uneven and changing speed: a request must go to one that is
    fast now, and the speed of targets that are not used must not stay unknown.

    Parameters
    ----------
    targets : mapping of str to TargetSlots
        The queue's targets; the queue changes them.
    times : ServiceTimes
    affinity : ConnectionAffinity, optional
    """

    __slots__ = ("_affinity", "_targets", "_times")

    def __init__(
        self,
        targets: Mapping[str, TargetSlots],
        times: ServiceTimes,
        affinity: ConnectionAffinity | None,
    ):
        self._targets = targets
        self._times = times
        self._affinity = affinity

    def choose(self, req: QueuedRequest, free: Sequence[str], now: float) -> str:
        """Return the target for a request.

        Parameters
        ----------
        req : QueuedRequest
        free : sequence of str
            Targets with a free slot; at least one.
        now : float
        """
        if len(free) == 1:
            return free[0]
        affinity = self._active_affinity(now)
        seconds = {name: self._times.seconds(name, req.kind) for name in free}
        penalties = {
            name: self._times.locality_penalty(name, req.origin, req.kind)
            for name in free
        }
        local = [name for name in free if not penalties[name]]
        idle = self._find_idle_target(req, local, affinity, seconds, now)
        if idle:
            return idle
        costs = {name: seconds[name] + penalties[name] for name in free}
        fastest = min(free, key=costs.__getitem__)
        if affinity is None:
            return fastest
        others = _find_equal_targets(req, fastest, costs, seconds, now)
        host = req.request_id.host
        return affinity.choose(host, req.origin, [fastest, *others], now)

    def _active_affinity(self, now: float) -> ConnectionAffinity | None:
        if self._affinity is not None and self._affinity.is_active(now):
            return self._affinity
        return None

    def _find_idle_target(
        self,
        req: QueuedRequest,
        local: Sequence[str],
        affinity: ConnectionAffinity | None,
        seconds: Mapping[str, float],
        now: float,
    ) -> str:
        """Return a target to measure again with this request, or an empty string."""
        idle_seconds = {
            name: now - self._targets[name].last_granted_at for name in local
        }
        idle = max(local, key=idle_seconds.__getitem__, default="")
        if not idle or idle_seconds[idle] <= IDLE_TARGET_SECONDS:
            return ""
        if affinity is not None and (
            idle_seconds[idle] <= IDLE_TARGET_SECONDS + IDLE_TARGET_CONNECTED_SECONDS
        ):
            host = req.request_id.host
            idle = _find_connected_target(host, idle_seconds, affinity, now)
        if idle and now + seconds[idle] <= req.soft_deadline:
            return idle
        return ""


def _find_connected_target(
    host: str,
    idle_seconds: Mapping[str, float],
    affinity: ConnectionAffinity,
    now: float,
) -> str:
    """Return an idle target to which a VM has a connection, or an empty string."""
    for name, seconds in idle_seconds.items():
        if seconds > IDLE_TARGET_SECONDS and affinity.has_idle_connection(
            host, name, now
        ):
            return name
    return ""


def _find_equal_targets(
    req: QueuedRequest,
    fastest: str,
    costs: Mapping[str, float],
    seconds: Mapping[str, float],
    now: float,
) -> list[str]:
    """Return the other targets that are about as fast as the fastest one."""
    # A single target that is very slow must not make others count as equal.
    usual_seconds = median_low(seconds.values())
    limit = costs[fastest] + EQUAL_SHARE * usual_seconds
    # None of the others may make the answer late.
    return [
        name
        for name in costs
        if name != fastest
        and costs[name] <= limit
        and now + seconds[name] <= req.soft_deadline
    ]
