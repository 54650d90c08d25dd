"""Times that callers have left, learned from their requests.

The load is callers that return several times while a service is overloaded. What is
learned tells whether a refused caller has time to return, and for how long at least the
caller of an attempt has already waited.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.remaining_times import RemainingTimes

if TYPE_CHECKING:
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.routes import Route
    from berylstage_entry.services import Configuration, Service


class CallerTimes:
    """Learns the largest remaining times of each route's requests.

    Attributes
    ----------
    limited : RemainingTimes
        Remaining times, limited by the routes' timeouts.
    unlimited : RemainingTimes
        The same without this limit, of routes whose callers have time to return.
    """

    __slots__ = ("_objectives", "_objectives_version", "limited", "unlimited")

    def __init__(self) -> None:
        self.limited = RemainingTimes()
        self.unlimited = RemainingTimes()
        # Objectives of each service's routes in a version of the configuration.
        self._objectives: dict[str, dict[str, float]] = {}
        self._objectives_version = -1

    def may_return(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        cfg: Configuration,
        arrived_at: float,
    ) -> bool:
        """Tell whether a refused caller has time to return, and learn from it.

        Parameters
        ----------
        req : CallerRequest
        route : Route
        service : Service
        cfg : Configuration
        arrived_at : float
            Monotonic seconds.
        """
        remaining = min(req.time_left, route.timeout)
        self.limited.record(route.name, remaining, arrived_at)
        return self.limited.may_return(self._service_objectives(cfg, service.name))

    def least_age(self, req: CallerRequest, route: Route, arrived_at: float) -> float:
        """Return for how many seconds at least a caller has waited, over all attempts.

        The route's timeout does not limit the time that the caller still waits, and
        would hide its age.

        Parameters
        ----------
        req : CallerRequest
        route : Route
        arrived_at : float
            Monotonic seconds.
        """
        self.unlimited.record(route.name, req.time_left, arrived_at)
        return self.unlimited.least_age(route.name, route.objective, req.time_left)

    def _service_objectives(self, cfg: Configuration, service: str) -> dict[str, float]:
        """Return the objective in seconds of each route of a service."""
        if self._objectives_version != cfg.version:
            self._objectives_version = cfg.version
            self._objectives = cfg.objectives_by_service()
        return self._objectives.get(service, {})
