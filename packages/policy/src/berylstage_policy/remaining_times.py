"""Largest remaining time of each route's requests, learned from the requests.

A first attempt of a caller starts with 0.85 to 1.0 of the route's largest remaining
time, and later attempts with less. The load is callers that return several times while
a service is overloaded: attempts of one caller carry no common mark, but the remaining
time of an attempt gives a lower bound for how long ago its caller began.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Largest times are those of the current and the previous window of this length. A
# single request with an unusual deadline thus counts for at most a minute.
WINDOW_SECONDS = 30.0
# Fewer requests say nothing about a route. The largest of five first attempts is on
# average 0.975 of the true value, and a value that is too small is on the safe side.
MIN_REQUESTS = 5
# A route's callers have time to return if their largest remaining time is at least this
# multiple of its objective: a third of it, the longest time that callers wait before
# they return, is then longer than an answer may take.
MIN_OBJECTIVES = 3.05
# First attempts have at least 0.85 of the largest remaining time; the difference allows
# for the time on the way.
FIRST_ATTEMPT_SHARE = 0.84


class _RouteTimes:
    """Largest remaining times of one route."""

    __slots__ = ("count", "current", "previous", "started_at")

    def __init__(self, now: float):
        self.started_at = now
        self.current = 0.0
        self.previous = 0.0
        # Requests in the two windows, up to MIN_REQUESTS.
        self.count = 0


class RemainingTimes:
    """Largest remaining times by route."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record the remaining time of an attempt at its arrival.

        Parameters
        ----------
        route : str
        seconds : float
        now : float
        """
        times = self._routes.get(route)
        if times is None or now - times.started_at >= 2 * WINDOW_SECONDS:
            times = self._routes[route] = _RouteTimes(now)
        elif now - times.started_at >= WINDOW_SECONDS:
            times.previous, times.current = times.current, 0.0
            times.started_at += WINDOW_SECONDS
        times.current = max(times.current, seconds)
        times.count = min(MIN_REQUESTS, times.count + 1)

    def largest(self, route: str) -> float:
        """Return a route's largest remaining time in seconds; 0 if unknown."""
        times = self._routes.get(route)
        if times is None or times.count < MIN_REQUESTS:
            return 0.0
        return max(times.current, times.previous)

    def may_return(self, objectives: Mapping[str, float]) -> bool:
        """Tell whether the callers of a service have time to return after a refusal.

        Parameters
        ----------
        objectives : mapping of str to float
            Objective in seconds of each route of the service.

        Returns
        -------
        bool
            True if this holds for all routes with known times, and one is known.
        """
        known = [
            self.largest(route) >= MIN_OBJECTIVES * objective
            for route, objective in objectives.items()
            if self.largest(route)
        ]
        return bool(known) and all(known)

    def least_age(self, route: str, objective: float, seconds: float) -> float:
        """Return for how many seconds at least the caller of an attempt has waited.

        Parameters
        ----------
        route : str
        objective : float
            Seconds.
        seconds : float
            Remaining time of the attempt at its arrival.

        Returns
        -------
        float
            0 on routes whose callers have no time to return.
        """
        largest = self.largest(route)
        if largest < MIN_OBJECTIVES * objective:
            return 0.0
        return max(0.0, FIRST_ATTEMPT_SHARE * largest - seconds)
