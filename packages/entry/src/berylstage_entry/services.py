"""The operators' configuration of services, routes and limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.routes import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from berylstage_entry.routes import Route
    from berylstage_entry.workspaces import WorkspaceDirectory


class Service:
    """Configuration of a service.

    Parameters
    ----------
    name : str
    health_path : str
        Path of the health check.
    max_connections_per_target : int
        Connections that one target accepts from all VMs together.
    warm_up_seconds : float
        Seconds for which a target is cold after its start.
    cold_requests_per_second : float
        Requests per second that a cold target can handle, from all VMs together.
    owns_keys : bool
        Whether each key is served only by the target that has its grant.
    """

    __slots__ = (
        "cold_requests_per_second",
        "max_connections_per_target",
        "health_path",
        "name",
        "owns_keys",
        "warm_up_seconds",
    )

    def __init__(
        self,
        name: str,
        health_path: str,
        max_connections_per_target: int,
        warm_up_seconds: float,
        cold_requests_per_second: float,
        owns_keys: bool,
    ):
        self.name = name
        self.health_path = health_path
        self.max_connections_per_target = max_connections_per_target
        self.warm_up_seconds = warm_up_seconds
        self.cold_requests_per_second = cold_requests_per_second
        self.owns_keys = owns_keys


class Limits:
    """Limits on the requests of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest size of a request's header and body.
    header_timeout, idle_timeout : float
        Seconds within which a header must arrive, and until an idle connection is
        closed.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_timeout", "idle_timeout")

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        header_timeout: float,
        idle_timeout: float,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout = header_timeout
        self.idle_timeout = idle_timeout


class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Incremented with each change.
    routes : sequence of Route
    services : iterable of Service
    limits : Limits
    workspaces : WorkspaceDirectory, optional
        None if requests need no API key.
    """

    __slots__ = ("limits", "routes", "services", "table", "version", "workspaces")

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Iterable[Service],
        limits: Limits,
        workspaces: WorkspaceDirectory | None = None,
    ):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.workspaces = workspaces
        self.table = RoutingTable(routes)

    def objectives_by_service(self) -> dict[str, dict[str, float]]:
        """Return the objective in seconds of each route, by service and route."""
        objectives: dict[str, dict[str, float]] = {}
        for route in self.routes:
            for part in route.weighted_services:
                objectives.setdefault(part.service, {})[route.name] = route.objective
        return objectives
