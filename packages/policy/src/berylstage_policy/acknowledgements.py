"""Decides when bytes without an acknowledgement show that a link is lost.

It answers the load of a VM whose own link is full, or whose process gets no core: bytes
to targets, or the acknowledgements, then wait in the VM behind others. That looks like
a lost link for as long as it lasts, but bytes of other targets still arrive, other
bytes were acknowledged late before, or the process did not run.
"""

from __future__ import annotations

from math import inf

# Seconds without an acknowledgement after which a link is lost: Linux sends a lost
# packet again after 0.2 s.
LOST_SECONDS = 0.25
# The same while other targets show signs of life: Linux sends a packet a third time
# after 0.6 s.
LOST_BESIDE_LIFE_SECONDS = 0.7
# Seconds without a sign of life of any target after which none counts.
SILENCE_SECONDS = 0.25
# Longest step between two looks that counts; the rest of it the process did not run.
MAX_STEP_SECONDS = 0.15
# Acknowledgements may take this multiple of the longest delay of the last seconds.
DELAY_FACTOR = 2.0
REMEMBERED_SECONDS = 2.0


class AcknowledgementWatch:
    """Clock of the time that a process ran, and delays of acknowledgements in it.

    Attributes
    ----------
    seconds : float
        Seconds for which the process ran.
    """

    __slots__ = (
        "_alive_at",
        "_alive_seconds",
        "_delay",
        "_delay_seconds",
        "_looked_at",
        "seconds",
    )

    def __init__(self) -> None:
        self.seconds = 0.0
        self._looked_at = -inf
        # Time of the last sign of life of any target, by the clock and by this one.
        self._alive_at = -inf
        self._alive_seconds = -inf
        # Longest recent delay of an acknowledgement, and when it was seen.
        self._delay = 0.0
        self._delay_seconds = -inf

    def look(self, moment: float, alive_at: float) -> None:
        """Advance the clock.

        Parameters
        ----------
        moment : float
            Monotonic seconds.
        alive_at : float
            Monotonic seconds of the last sign of life of any target.
        """
        self.seconds += min(MAX_STEP_SECONDS, moment - self._looked_at)
        self._looked_at = moment
        if alive_at > self._alive_at:
            self._alive_at = alive_at
            self._alive_seconds = self.seconds

    def record_acknowledged(self, since: float) -> None:
        """Record that bytes are acknowledged that were not when first looked at.

        Parameters
        ----------
        since : float
            When they were first looked at, in seconds of this clock.
        """
        delay = self.seconds - since
        if delay >= self._recent_delay():
            self._delay = delay
            self._delay_seconds = self.seconds

    def is_lost(self, since: float) -> bool:
        """Tell whether bytes that are not acknowledged show that a link is lost.

        Parameters
        ----------
        since : float
            When they were first looked at, in seconds of this clock.
        """
        limit = max(LOST_SECONDS, DELAY_FACTOR * self._recent_delay())
        if self.seconds - self._alive_seconds < SILENCE_SECONDS:
            limit = max(limit, LOST_BESIDE_LIFE_SECONDS)
        return self.seconds - since >= limit

    def _recent_delay(self) -> float:
        is_recent = self.seconds - self._delay_seconds < REMEMBERED_SECONDS
        return self._delay if is_recent else 0.0
