"""Limit on the idle time after which a connection may be reused."""

from __future__ import annotations

from math import inf

# A reset after a shorter idle time is ignored, because overloaded servers reset
# connections as well.
MIN_IDLE_SECONDS = 0.2
# Connections may be idle for this fraction of the shortest idle time that led to a
# reset.
SAFETY_FACTOR = 0.8
# Suspicion that a reset adds, and that an answer after an equally long idle time
# removes. It persists if one call in five or more is reset, but not if an overloaded
# server resets one in ten.
RESET_WEIGHT = 1.0
ANSWER_WEIGHT = 0.25
# Suspicion at which idle connections are no longer reused, and its upper bound.
SUSPICION_THRESHOLD = 0.5
MAX_SUSPICION = 4.0
# Suspicion halves in this time, so that the limit ends once resets have stopped.
HALF_LIFE_SECONDS = 5.0


class IdleLimit:
    """Learns the idle time after which servers of one kind silently drop connections.

    A server that drops idle connections resets the next call on one of them, and the
    outcome of a call that may not be repeated stays unknown. No earlier sign exists.
    The first such reset by any of the servers therefore stops the reuse of connections
    to all of them that have been idle for as long.
    """

    __slots__ = ("_decayed_at", "_shortest_reset", "_suspicion")

    def __init__(self) -> None:
        self._suspicion = 0.0
        self._shortest_reset = inf
        self._decayed_at = 0.0

    def record_reset(self, idle_seconds: float, now: float) -> None:
        """Record a call that was reset before any byte of an answer arrived.

        Parameters
        ----------
        idle_seconds : float
            Seconds since the connection's last use.
        now : float
            Monotonic seconds.
        """
        if idle_seconds < MIN_IDLE_SECONDS:
            return
        self._decay(now)
        self._suspicion = min(MAX_SUSPICION, self._suspicion + RESET_WEIGHT)
        self._shortest_reset = min(self._shortest_reset, idle_seconds)

    def record_answer(self, idle_seconds: float, now: float) -> None:
        """Record an answer to a call on a connection that had been idle."""
        if idle_seconds >= self._shortest_reset * SAFETY_FACTOR:
            self._decay(now)
            self._suspicion = max(0.0, self._suspicion - ANSWER_WEIGHT)

    def max_idle_seconds(self, now: float) -> float:
        """Return the seconds of idle time after which a connection is not reused."""
        self._decay(now)
        if self._suspicion < SUSPICION_THRESHOLD:
            return inf
        return self._shortest_reset * SAFETY_FACTOR

    def _decay(self, now: float) -> None:
        self._suspicion *= 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        if self._suspicion < SUSPICION_THRESHOLD / 4:
            self._shortest_reset = inf
