"""Routes: which service answers a request, and what may be done with it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class WeightedService:
    """A service's share of the requests of a route.

    Parameters
    ----------
    service : str
    weight : float
        In proportion to the other weights of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight


class Route:
    """How the requests of one host and path prefix are served.

    Parameters
    ----------
    name : str
    host : str
        Lower case, without a port.
    prefix : str
        Begins and ends with a slash.
    shares : sequence of Share
        One for a route that is not split.
    idempotent : bool
        Whether a request may run more than once.
    attempts : int
        Targets at most to which one request is sent.
    timeout : float
        Seconds for which a caller is kept waiting at most.
    objective : float
        Seconds within which an answer is worth most.
    priority : int
        0 is the most urgent.
    """

    __slots__ = (
        "attempts",
        "host",
        "idempotent",
        "name",
        "objective",
        "prefix",
        "priority",
        "shares",
        "timeout",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        shares: Sequence[WeightedService],
        idempotent: bool,
        attempts: int,
        timeout: float,
        objective: float,
        priority: int,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.shares = tuple(shares)
        self.idempotent = idempotent
        self.attempts = attempts
        self.timeout = timeout
        self.objective = objective
        self.priority = priority


class RoutingTable:
    """Finds the route of a request: the longest prefix among those of its host.

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
        """Return the route, or None.

        Parameters
        ----------
        host : str
            As the caller sent it, with or without a port.
        path : str
            Without the query.

        Returns
        -------
        Route or None
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        # Prefixes end with a slash, so only the path's own cuts can match: the work
        # grows with the depth of the path and not with the number of routes.
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
