"""Whether the store is away, or only this VM's way to it."""

from __future__ import annotations

# Seconds after a failed call in which a record that is gone counts as lapsed.
OUTAGE_MEMORY_SECONDS = 3.0
# Seconds for which it counts what another VM has told: it tells twice in that time.
PEER_CONTACT_VALID_SECONDS = 1.2


class StoreConnectivity:
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
        "_created_at",
        "_failing_since",
        "_peer_contact_at",
        "_peer_contact_seconds",
        "last_success_at",
        "last_failure_at",
    )

    def __init__(self, now: float):
        self._created_at = now
        self.last_success_at = float("-inf")
        self.last_failure_at = float("-inf")
        # When the first call failed after the last that went well.
        self._failing_since = now
        # When another VM told last, and for how long the store had answered it.
        self._peer_contact_at = float("-inf")
        self._peer_contact_seconds = 0.0

    def unbroken_seconds(self, now: float) -> float:
        """Return the seconds of unbroken contact up to now."""
        return now - max(self.last_failure_at, self._created_at)

    def mark_success(self, now: float) -> None:
        """Note a call that went well."""
        self.last_success_at = now

    def mark_failure(self, now: float) -> None:
        """Note a call that brought no usable answer."""
        if not self.is_failing():
            self._failing_since = now
        self.last_failure_at = now

    def outage_seconds(self, now: float) -> float:
        """Return the seconds since calls began to fail.

        Not since the last that went well: a VM that is told what others read makes a
        call in some seconds, and one of these failing alone is no outage.
        """
        return now - self._failing_since

    def is_disconnected(self) -> bool:
        """Tell whether the last call has failed, or none was made yet."""
        return self.last_success_at <= self.last_failure_at

    def is_failing(self) -> bool:
        """Tell whether calls have failed since the last one that went well."""
        return self.last_failure_at > self.last_success_at

    def mark_peer_contact(self, now: float, seconds: float) -> None:
        """Note for how long the store has answered another VM without a break.

        Parameters
        ----------
        now : float
        seconds : float
            Up to now.
        """
        self._peer_contact_at = now
        self._peer_contact_seconds = seconds

    def has_peer_contact(self, now: float) -> bool:
        """Tell whether another VM is in touch, for longer than lapsed records need."""
        return (
            now - self._peer_contact_at <= PEER_CONTACT_VALID_SECONDS
            and self._peer_contact_seconds >= OUTAGE_MEMORY_SECONDS
        )

    def in_outage(self, now: float) -> bool:
        """Tell whether the store is away, or has just been."""
        is_recent = now - self.last_failure_at < OUTAGE_MEMORY_SECONDS
        return is_recent and not self.has_peer_contact(now)
