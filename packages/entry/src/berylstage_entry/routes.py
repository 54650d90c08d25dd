"""Routes: the service for a request, and the limits that apply to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class WeightedService:
    """Service of a route with its share of the requests.

    Parameters
    ----------
    service : str
    weight : float
        Weight relative to the sum of the route's weights.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
    host : str
        Host in lower case, without a port.
    prefix : str
        Path prefix that begins and ends with a slash.
    weighted_services : sequence of WeightedService
        Services among which the requests are split.
    idempotent : bool
        Whether a request may be executed more than once.
    attempts : int
        Maximum number of targets to which one request is sent.
    timeout : float
        Maximum seconds for which a caller waits.
    objective : float
        Seconds within which an answer has its full value.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether requests need no API key.
    is_upload : bool
        Whether requests have large bodies, which are refused first if memory is scarce.
    """

    __slots__ = (
        "attempts",
        "host",
        "idempotent",
        "is_public",
        "is_upload",
        "name",
        "objective",
        "prefix",
        "priority",
        "weighted_services",
        "timeout",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        weighted_services: Sequence[WeightedService],
        idempotent: bool,
        attempts: int,
        timeout: float,
        objective: float,
        priority: int,
        is_public: bool = False,
        is_upload: bool = False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.weighted_services = tuple(weighted_services)
        self.idempotent = idempotent
        self.attempts = attempts
        self.timeout = timeout
        self.objective = objective
        self.priority = priority
        self.is_public = is_public
        self.is_upload = is_upload


class RoutingTable:
    """Finds routes by host and longest path prefix.

    Parameters
    ----------
    routes : iterable of Route
    """

    __slots__ = ("_hosts",)

    def __init__(self, routes: Iterable[Route]):
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            Host as sent by the caller, with or without a port.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        # Prefixes end with a slash, so only the path's own prefixes can match. The cost
        # depends on the depth of the path and not on the number of routes.
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
