"""The ids under which a client has sent calls to its server."""

from __future__ import annotations

# Seconds for which an id is remembered at least: longer than the deadlines of callers,
# before which a request may be sent again.
MIN_MEMORY_SECONDS = 30.0


class SentIds:
    """Remembers the ids of the calls that were sent lately.

    An answer tells by its id to which call it belongs, but not to which sending of that
    call. If a server repeats an answer late, the copy of the answer to one sending
    would pass for the answer to the next: a rejected call that is sent again, and runs,
    would be reported as rejected. So an id goes only once over a connection.
    """

    __slots__ = ("_known_until", "_pruned_at")

    def __init__(self) -> None:
        # Monotonic seconds, by id.
        self._known_until: dict[bytes, float] = {}
        self._pruned_at = 0.0

    def record(self, call_id: bytes, timeout: float, now: float) -> None:
        """Record that a call was sent.

        Parameters
        ----------
        call_id : bytes
        timeout : float
            Seconds for which its answer may be awaited.
        now : float
            Monotonic seconds.
        """
        self._prune(now)
        self._known_until[call_id] = now + max(timeout, MIN_MEMORY_SECONDS)

    def contains(self, call_id: bytes) -> bool:
        """Tell whether a call was sent lately under this id."""
        return call_id in self._known_until

    def _prune(self, now: float) -> None:
        """Forget old ids, at intervals that keep the cost for each call constant."""
        if now - self._pruned_at < MIN_MEMORY_SECONDS:
            return
        self._pruned_at = now
        self._known_until = {i: t for i, t in self._known_until.items() if t > now}
