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
BALANCER_LAG_SECONDS = 2.6
# Seconds before the end of the stop time at which what is left is cut.
STOP_MARGIN_SECONDS = 0.6
# Seconds before that by which a target must have answered: an answer of some hundred
# kilobytes leaves over a link of 10 Mbit/s meanwhile.
ANSWER_FLUSH_SECONDS = 0.3


class Phase(Enum):
    """What a VM that stops is at."""

    # Not ready; callers come until the balancer has noticed.
    LEAVING = "leaving"
    # No new connections; what has come is served.
    DRAINING = "draining"
    # All is served; the last answers leave.
    FLUSHING = "flushing"
    ENDED = "ended"


class PendingWork:
    """What stands between a VM and its end.

    Parameters
    ----------
    serving : int
        Connections with a request that is read, waited for or served.
    flushing : int
        All others: their last answer leaves, or a request may be on its way.
    unacknowledged_bytes : int
        Bytes of answers that callers have not taken.
    """

    __slots__ = ("unacknowledged_bytes", "flushing", "serving")

    def __init__(self, serving: int, flushing: int, unacknowledged_bytes: int):
        self.serving = serving
        self.flushing = flushing
        self.unacknowledged_bytes = unacknowledged_bytes


class ShutdownPlan:
    """Says what a VM that stops is at, and how much time a request has.

    Parameters
    ----------
    started_at : float
        When the VM was told to stop, in seconds.
    stop_time : float
        Seconds from then to the end of the process.
    """

    __slots__ = ("started_at", "cut_off_at", "drain_at")

    def __init__(self, started_at: float, stop_time: float):
        self.started_at = started_at
        self.cut_off_at = started_at + stop_time - STOP_MARGIN_SECONDS
        self.drain_at = min(started_at + BALANCER_LAG_SECONDS, self.cut_off_at)

    def phase(self, moment: float, pending_work: PendingWork) -> Phase:
        """Return the phase.

        Parameters
        ----------
        moment : float
            Seconds, as in `started_at`.
        pending_work : Standing

        Returns
        -------
        Phase
        """
        if moment >= self.cut_off_at:
            return Phase.ENDED
        if moment < self.drain_at:
            return Phase.LEAVING
        if pending_work.serving:
            return Phase.DRAINING
        return Phase.FLUSHING if pending_work.flushing else Phase.ENDED

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
        return self.cut_off_at - ANSWER_FLUSH_SECONDS - moment


class PhaseTimer:
    """How long each phase of a stop takes; all are zero before it."""

    __slots__ = ("_seconds_by_phase", "_phase", "_since")

    def __init__(self) -> None:
        self._phase = Phase.ENDED
        self._since = 0.0
        self._seconds_by_phase = {
            phase.value: 0.0 for phase in Phase if phase is not Phase.ENDED
        }

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
            self._seconds_by_phase[self._phase.value] += seconds
        self._phase = phase
        self._since = moment
        return seconds

    def seconds(self, moment: float) -> dict[str, float]:
        """Return the seconds by phase up to now, of the one under way as well."""
        found = dict(self._seconds_by_phase)
        if self._phase is not Phase.ENDED:
            found[self._phase.value] += moment - self._since
        return found
