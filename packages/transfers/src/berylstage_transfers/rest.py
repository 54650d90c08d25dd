"""For how long a kept connection may have rested to be used again."""

from __future__ import annotations

from math import inf

# Seconds of rest below which a reset tells nothing of resting: servers that are full
# reset connections as well.
MIN_IDLE_SECONDS = 0.2
# Share of the shortest rest after which a connection was found reset that others may
# still rest.
SAFETY_FACTOR = 0.8
# Suspicion that one reset adds and that one answer after as long a rest takes away.
# Where one in five or more are reset it stays, where a full server resets one in ten it
# does not.
RESET_WEIGHT = 1.0
ANSWER_WEIGHT = 0.25
# Suspicion from which on connections are not trusted, and most of it.
SUSPICION_THRESHOLD = 0.5
MAX_SUSPICION = 4.0
# Seconds in which suspicion halves, so that a trouble that has passed is found out.
HALF_LIFE_SECONDS = 5.0


class Rest:
    """Learns after which rest the servers of one kind drop connections unnoticed.

    A server that forgets idle connections resets what is sent on one, and a call that
    may not be repeated is lost with its outcome unknown. Nothing shows it before. So
    the first such loss on a connection to any of the servers ends the use of those that
    have rested for as long, to all of them.
    """

    __slots__ = ("_decayed_at", "_shortest_reset", "_suspicion")

    def __init__(self) -> None:
        self._suspicion = 0.0
        self._shortest_reset = inf
        self._decayed_at = 0.0

    def record_reset(self, idle_seconds: float, now: float) -> None:
        """Note a call that met a reset and brought not a byte back.

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
        """Note a call that was answered on a connection that had rested."""
        if idle_seconds >= self._shortest_reset * SAFETY_FACTOR:
            self._decay(now)
            self._suspicion = max(0.0, self._suspicion - ANSWER_WEIGHT)

    def max_idle_seconds(self, now: float) -> float:
        """Return the seconds of rest after which a connection is not to be used."""
        self._decay(now)
        if self._suspicion < SUSPICION_THRESHOLD:
            return inf
        return self._shortest_reset * SAFETY_FACTOR

    def _decay(self, now: float) -> None:
        self._suspicion *= 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        if self._suspicion < SUSPICION_THRESHOLD / 4:
            self._shortest_reset = inf
