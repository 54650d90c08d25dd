"""Tells an outage of the store from a partition of this VM alone."""

from __future__ import annotations

from berylstage_entry.store_access.check_pauses import has_store_returned

# Time after a failed call within which a removed record may have expired in an outage.
OUTAGE_MEMORY_SECONDS = 3.0
# Time for which a report of another VM stays valid. It publishes twice in that time.
PEER_CONTACT_VALID_SECONDS = 1.2


class StoreConnectivity:
    """Records when calls to the store succeeded, for this VM and its publisher.

    A removed record may have expired because the store was unavailable, although its
    target lives, or its target may have left. A VM that alone is cut off from the store
    cannot distinguish the two by its own calls. A VM that reaches the store all the
    time can.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = (
        "_failing_since",
        "_peer_contact_at",
        "_peer_contact_seconds",
        "_regained_at",
        "failures",
        "last_success_at",
        "last_failure_at",
    )

    def __init__(self, now: float):
        # Time of the first successful call after the last failed one, or of the start.
        self._regained_at = now
        self.last_success_at = float("-inf")
        self.last_failure_at = float("-inf")
        # Failed calls after the last successful one.
        self.failures = 0
        # Time of the first failed call after the last successful one.
        self._failing_since = now
        # Time of another VM's last report, and its unbroken contact with the store.
        self._peer_contact_at = float("-inf")
        self._peer_contact_seconds = 0.0

    def unbroken_seconds(self, now: float) -> float:
        """Return the seconds since calls began to succeed, or since the start.

        They do not count from the last failed call: a VM that the publisher serves
        makes a call every few seconds only, and had no contact since.
        """
        return now - max(self.last_failure_at, self._regained_at)

    def mark_success(self, now: float) -> None:
        """Record a successful call."""
        if self.is_failing():
            self._regained_at = now
        self.last_success_at = now
        self.failures = 0

    def mark_failure(self, now: float) -> None:
        """Record a call without a usable answer."""
        if not self.is_failing():
            self._failing_since = now
        self.last_failure_at = now
        self.failures += 1

    def has_store_returned(self, now: float) -> bool:
        """Return whether the publisher has regained the store after it lost it too."""
        return has_store_returned(self.outage_seconds(now), self._peer_contact_seconds)

    def outage_seconds(self, now: float) -> float:
        """Return the seconds since calls began to fail.

        They do not count from the last successful call: a VM that receives updates
        makes a call every few seconds only, and a single failed one is no outage.
        """
        return now - self._failing_since

    def is_disconnected(self) -> bool:
        """Return whether the last call failed, or none was made yet."""
        return self.last_success_at <= self.last_failure_at

    def is_failing(self) -> bool:
        """Return whether calls have failed since the last successful one."""
        return self.last_failure_at > self.last_success_at

    def mark_peer_contact(self, now: float, seconds: float) -> None:
        """Record another VM's unbroken contact with the store.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        seconds : float
            Seconds of unbroken contact up to now.
        """
        self._peer_contact_at = now
        self._peer_contact_seconds = seconds

    def has_peer_contact(self, now: float) -> bool:
        """Return whether another VM reached the store throughout the outage memory."""
        return (
            now - self._peer_contact_at <= PEER_CONTACT_VALID_SECONDS
            and self._peer_contact_seconds >= OUTAGE_MEMORY_SECONDS
        )

    def in_outage(self, now: float) -> bool:
        """Return whether the store is unavailable, or has just been."""
        is_recent = now - self.last_failure_at < OUTAGE_MEMORY_SECONDS
        return is_recent and not self.has_peer_contact(now)
