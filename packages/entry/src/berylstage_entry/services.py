"""The operators' configuration of services, routes and limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.routes import RoutingTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from berylstage_entry.routes import Route


class Service:
    """Configuration of a service.

    Parameters
    ----------
    name : str
    health_path : str
        Path of the health check.
    connections : int
        Connections that one target accepts from all VMs together.
    warm_up : float
        Seconds for which a target is cold after its start.
    cold_rate : float
        Requests per second that a cold target can handle, from all VMs together.
    owns_keys : bool
        Whether each key is served only by the target that has its grant.
    """

    __slots__ = (
        "cold_rate",
        "connections",
        "health_path",
        "name",
        "owns_keys",
        "warm_up",
    )

    def __init__(
        self,
        name: str,
        health_path: str,
        connections: int,
        warm_up: float,
        cold_rate: float,
        owns_keys: bool,
    ):
        self.name = name
        self.health_path = health_path
        self.connections = connections
        self.warm_up = warm_up
        self.cold_rate = cold_rate
        self.owns_keys = owns_keys


class Limits:
    """Limits on the requests of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest size of a request's header and body.
    header_time, idle_time : float
        Seconds within which a header must arrive, and until an idle connection is
        closed.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_time", "idle_time")

    def __init__(
        self, header_bytes: int, body_bytes: int, header_time: float, idle_time: float
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_time = header_time
        self.idle_time = idle_time


class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Incremented with each change.
    routes : sequence of Route
    services : iterable of Service
    limits : Limits
    """

    __slots__ = ("limits", "routes", "services", "table", "version")

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        services: Iterable[Service],
        limits: Limits,
    ):
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.table = RoutingTable(routes)
