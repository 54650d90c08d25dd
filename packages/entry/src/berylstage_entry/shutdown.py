"""Phases of a VM's shutdown, independent of sockets and clocks.

During a shutdown, callers keep using their connections until the process exits, and
responses may still be sent over a slow link while the stop timeout runs.
"""

from __future__ import annotations

import signal
from enum import Enum

# Signals that may arrive until the process exits.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Seconds after SIGTERM in which callers still connect: the load balancer checks
# readiness once a second and removes a VM after two failed checks.
BALANCER_LAG_SECONDS = 2.6
# Seconds before the end of the stop timeout at which remaining connections are cut.
STOP_MARGIN_SECONDS = 0.6
# Seconds before that cut-off by which a target must have answered. In this time, a
# response of a few hundred kilobytes is sent over a link of 10 Mbit/s.
ANSWER_FLUSH_SECONDS = 0.3
# Seconds for which an event loop that was late may still answer what has arrived, even
# after the cut-off: read, answer and write each take it one turn.
LATE_ANSWER_SECONDS = 0.1
# Seconds before the end of the stop timeout after which nothing is answered any more.
# The last acknowledgements and the internal servers take up to 0.36 s of them.
EXIT_SECONDS = 0.4


class Phase(Enum):
    """Phase of a VM's shutdown."""

    # Not ready; callers still connect until the load balancer has noticed.
    LEAVING = "leaving"
    # No new connections; requests that have arrived are served.
    DRAINING = "draining"
    # All requests are served; the last responses are being sent.
    FLUSHING = "flushing"
    ENDED = "ended"


class PendingWork:
    """Work that must finish before a VM can exit.

    Parameters
    ----------
    serving : int
        Connections with a request that is being received or served.
    flushing : int
        All other connections: they send their last response, or a request may be in
        transit.
    unacknowledged_bytes : int
        Bytes of responses that callers have not acknowledged.
    """

    __slots__ = ("flushing", "serving", "unacknowledged_bytes")

    def __init__(self, serving: int, flushing: int, unacknowledged_bytes: int):
        self.serving = serving
        self.flushing = flushing
        self.unacknowledged_bytes = unacknowledged_bytes


class ShutdownPlan:
    """Determines the phase of a shutdown and the time that a request may take.

    Parameters
    ----------
    started_at : float
        Monotonic seconds at which the shutdown began.
    stop_timeout : float
        Seconds from then until the process must have exited.
    """

    __slots__ = ("_answer_by", "_exit_at", "cut_off_at", "drain_at", "started_at")

    def __init__(self, started_at: float, stop_timeout: float):
        self.started_at = started_at
        self.cut_off_at = started_at + stop_timeout - STOP_MARGIN_SECONDS
        self.drain_at = min(started_at + BALANCER_LAG_SECONDS, self.cut_off_at)
        self._exit_at = started_at + stop_timeout - EXIT_SECONDS
        # End of the time in which requests must be answered.
        self._answer_by = self.cut_off_at - ANSWER_FLUSH_SECONDS

    def record_late_loop(self, moment: float) -> None:
        """Postpone the cut-off for requests that a late event loop has not read yet.

        Their connections would be reset, although there is time to refuse them. No
        request gets more time by this.

        Parameters
        ----------
        moment : float
            Monotonic seconds at which the event loop resumed.
        """
        end = min(moment + LATE_ANSWER_SECONDS, self._exit_at)
        self.cut_off_at = max(self.cut_off_at, end)

    def phase(self, moment: float, pending_work: PendingWork) -> Phase:
        """Return the phase of the shutdown.

        Parameters
        ----------
        moment : float
            Current time in monotonic seconds.
        pending_work : PendingWork

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
        """Return the seconds within which a target must answer.

        Parameters
        ----------
        moment : float
            Current time in monotonic seconds.

        Returns
        -------
        float
            Negative when no time is left for another response.
        """
        return self._answer_by - moment


class PhaseTimer:
    """Measures how long each phase of a shutdown takes; zero before a shutdown.

    Attributes
    ----------
    longest_delay : float
        Seconds by which the event loop was late at most in the current phase.
    """

    __slots__ = ("_entered_at", "_phase", "_seconds_by_phase", "longest_delay")

    def __init__(self) -> None:
        self.longest_delay = 0.0
        self._phase = Phase.ENDED
        self._entered_at = 0.0
        self._seconds_by_phase = {
            phase.value: 0.0 for phase in Phase if phase is not Phase.ENDED
        }

    def enter(self, phase: Phase, moment: float) -> float:
        """Enter a phase and return the seconds that the previous one took.

        Parameters
        ----------
        phase : Phase
        moment : float
            Current time in monotonic seconds.

        Returns
        -------
        float
        """
        seconds = moment - self._entered_at
        if self._phase is not Phase.ENDED:
            self._seconds_by_phase[self._phase.value] += seconds
        self._phase = phase
        self._entered_at = moment
        self.longest_delay = 0.0
        return seconds

    def record_delay(self, due: float, moment: float) -> None:
        """Record that the event loop resumed at a time instead of when it was due."""
        self.longest_delay = max(self.longest_delay, moment - due)

    def seconds(self, moment: float) -> dict[str, float]:
        """Return the seconds spent in each phase, including the current one."""
        totals = dict(self._seconds_by_phase)
        if self._phase is not Phase.ENDED:
            totals[self._phase.value] += moment - self._entered_at
        return totals
