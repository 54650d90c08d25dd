"""For how long a kept connection may have rested to be used again."""

from __future__ import annotations

from math import inf

# Seconds of rest below which a reset tells nothing of resting: servers that are full
# reset connections as well.
SHORTEST = 0.2
# Share of the shortest rest after which a connection was found reset that others may
# still rest.
MARGIN = 0.8
# Suspicion that one reset adds and that one answer after as long a rest takes away.
# Where one in five or more are reset it stays, where a full server resets one in ten it
# does not.
RESET_WEIGHT = 1.0
ANSWER_WEIGHT = 0.25
# Suspicion from which on connections are not trusted, and most of it.
DISTRUST = 0.5
MOST = 4.0
# Seconds in which suspicion halves, so that a trouble that has passed is found out.
HALF_LIFE = 5.0


class Rest:
    """Learns after which rest the servers of one kind drop connections unnoticed.

    A server that forgets idle connections resets what is sent on one, and a call that
    may not be repeated is lost with its outcome unknown. Nothing shows it before. So
    the first such loss on a connection to any of the servers ends the use of those that
    have rested for as long, to all of them.
    """

    __slots__ = ("_at", "_shortest", "_suspicion")

    def __init__(self) -> None:
        self._suspicion = 0.0
        self._shortest = inf
        self._at = 0.0

    def was_reset(self, rested: float, now: float) -> None:
        """Note a call that met a reset and brought not a byte back.

        Parameters
        ----------
        rested : float
            Seconds since the connection's last use.
        now : float
            Monotonic seconds.
        """
        if rested < SHORTEST:
            return
        self._fade(now)
        self._suspicion = min(MOST, self._suspicion + RESET_WEIGHT)
        self._shortest = min(self._shortest, rested)

    def was_answered(self, rested: float, now: float) -> None:
        """Note a call that was answered on a connection that had rested."""
        if rested >= self._shortest * MARGIN:
            self._fade(now)
            self._suspicion = max(0.0, self._suspicion - ANSWER_WEIGHT)

    def limit(self, now: float) -> float:
        """Return the seconds of rest after which a connection is not to be used."""
        self._fade(now)
        if self._suspicion < DISTRUST:
            return inf
        return self._shortest * MARGIN

    def _fade(self, now: float) -> None:
        self._suspicion *= 0.5 ** ((now - self._at) / HALF_LIFE)
        self._at = now
        if self._suspicion < DISTRUST / 4:
            self._shortest = inf
