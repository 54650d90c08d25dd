"""The phases of a stop, apart from sockets and clocks.

The load it answers: callers who go on using their connections until the process is
gone, and answers that leave over a slow link while the stop time runs.
"""

from __future__ import annotations

import signal
from enum import Enum

# Signals that may come until the process is gone.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Seconds after SIGTERM in which callers still come: the balancer asks once a second and
# leaves a VM out after two misses.
BALANCER_LAG = 2.6
# Seconds before the end of the stop time at which what is left is cut.
STOP_MARGIN = 0.6
# Seconds before that by which a target must have answered: an answer of some hundred
# kilobytes leaves over a link of 10 Mbit/s meanwhile.
ANSWER_RESERVE = 0.3


class Phase(Enum):
    """What a VM that stops is at."""

    # Not ready; callers come until the balancer has noticed.
    LEAVING = "leaving"
    # No new connections; what has come is served.
    DRAINING = "draining"
    # All is served; the last answers leave.
    FLUSHING = "flushing"
    ENDED = "ended"


class Standing:
    """What stands between a VM and its end.

    Parameters
    ----------
    serving : int
        Connections with a request that is read, waited for or served.
    flushing : int
        All others: their last answer leaves, or a request may be on its way.
    bytes_left : int
        Bytes of answers that callers have not taken.
    """

    __slots__ = ("bytes_left", "flushing", "serving")

    def __init__(self, serving: int, flushing: int, bytes_left: int):
        self.serving = serving
        self.flushing = flushing
        self.bytes_left = bytes_left


class StopPlan:
    """Says what a VM that stops is at, and how much time a request has.

    Parameters
    ----------
    begun : float
        When the VM was told to stop, in seconds.
    stop_time : float
        Seconds from then to the end of the process.
    """

    __slots__ = ("begun", "end", "leave_at")

    def __init__(self, begun: float, stop_time: float):
        self.begun = begun
        self.end = begun + stop_time - STOP_MARGIN
        self.leave_at = min(begun + BALANCER_LAG, self.end)

    def phase(self, moment: float, standing: Standing) -> Phase:
        """Return the phase.

        Parameters
        ----------
        moment : float
            Seconds, as in `begun`.
        standing : Standing

        Returns
        -------
        Phase
        """
        if moment >= self.end:
            return Phase.ENDED
        if moment < self.leave_at:
            return Phase.LEAVING
        if standing.serving:
            return Phase.DRAINING
        return Phase.FLUSHING if standing.flushing else Phase.ENDED

    def time_left(self, moment: float) -> float:
        """Return the seconds in which a target must have answered.

        Parameters
        ----------
        moment : float

        Returns
        -------
        float
            Negative when there is no time for another answer.
        """
        return self.end - ANSWER_RESERVE - moment


class PhaseTimes:
    """How long each phase of a stop takes; all are zero before it."""

    __slots__ = ("_ended", "_phase", "_since")

    def __init__(self) -> None:
        self._phase = Phase.ENDED
        self._since = 0.0
        self._ended = {phase.value: 0.0 for phase in Phase if phase is not Phase.ENDED}

    def enter(self, phase: Phase, moment: float) -> float:
        """Begin a phase, and return the seconds that the one before it took.

        Parameters
        ----------
        phase : Phase
        moment : float
            In seconds.

        Returns
        -------
        float
        """
        seconds = moment - self._since
        if self._phase is not Phase.ENDED:
            self._ended[self._phase.value] += seconds
        self._phase = phase
        self._since = moment
        return seconds

    def seconds(self, moment: float) -> dict[str, float]:
        """Return the seconds by phase up to now, of the one under way as well."""
        found = dict(self._ended)
        if self._phase is not Phase.ENDED:
            found[self._phase.value] += moment - self._since
        return found
