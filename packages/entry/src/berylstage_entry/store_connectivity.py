"""Whether the store is away, or only this VM's way to it."""

from __future__ import annotations

# Seconds after a failed call in which a record that is gone counts as lapsed.
OUTAGE_MEMORY = 3.0
# Seconds for which it counts what another VM has told: it tells twice in that time.
TOLD_COUNTS = 1.2


class StoreContact:
    """Which calls to the store went well, of this VM and of those that tell it.

    A record that goes may have lapsed because the store was away, though its target
    lives; or its target has left. A VM that is cut off from the store alone cannot
    tell the two apart by its own calls. One that reads the store all the while can.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = (
        "_began",
        "_lost_at",
        "_told_at",
        "_told_for",
        "answered_at",
        "failed_at",
    )

    def __init__(self, now: float):
        self._began = now
        self.answered_at = float("-inf")
        self.failed_at = float("-inf")
        # When the first call failed after the last that went well.
        self._lost_at = now
        # When another VM told last, and for how long the store had answered it.
        self._told_at = float("-inf")
        self._told_for = 0.0

    def steady(self, now: float) -> float:
        """Return the seconds of unbroken contact up to now."""
        return now - max(self.failed_at, self._began)

    def answered(self, now: float) -> None:
        """Note a call that went well."""
        self.answered_at = now

    def failed(self, now: float) -> None:
        """Note a call that brought no usable answer."""
        if not self.was_lost():
            self._lost_at = now
        self.failed_at = now

    def away(self, now: float) -> float:
        """Return the seconds since calls began to fail.

        Not since the last that went well: a VM that is told what others read makes a
        call in some seconds, and one of these failing alone is no outage.
        """
        return now - self._lost_at

    def is_lost(self) -> bool:
        """Tell whether the last call has failed, or none was made yet."""
        return self.answered_at <= self.failed_at

    def was_lost(self) -> bool:
        """Tell whether calls have failed since the last one that went well."""
        return self.failed_at > self.answered_at

    def told(self, now: float, seconds: float) -> None:
        """Note for how long the store has answered another VM without a break.

        Parameters
        ----------
        now : float
        seconds : float
            Up to now.
        """
        self._told_at = now
        self._told_for = seconds

    def others_have_it(self, now: float) -> bool:
        """Tell whether another VM is in touch, for longer than lapsed records need."""
        return now - self._told_at <= TOLD_COUNTS and self._told_for >= OUTAGE_MEMORY

    def in_outage(self, now: float) -> bool:
        """Tell whether the store is away, or has just been."""
        is_recent = now - self.failed_at < OUTAGE_MEMORY
        return is_recent and not self.others_have_it(now)
