"""Age limit for reusing the open connections to one server."""

from __future__ import annotations

# Age at which a connection is replaced even if it is in steady use.
MAX_CONNECTION_AGE_SECONDS = 3600


class ConnectionAgeLimit:
    """Limits the age of connections that may be reused.

    A middlebox may lose the state of all open connections at once while new ones work.
    Each call on an old connection would then time out, one after the other. The first
    such loss therefore retires every connection that was open at that time, for all
    clients that share this object.
    """

    __slots__ = ("_retired_at",)

    def __init__(self) -> None:
        self._retired_at = float("-inf")

    def retire_open_connections(self, now: float) -> None:
        """Stop the reuse of all connections that are open now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._retired_at = now

    def max_age_seconds(self, now: float) -> int:
        """Return the maximum age of a connection that may be reused.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Whole seconds; 0 if no open connection may be reused.
        """
        return int(min(now - self._retired_at, MAX_CONNECTION_AGE_SECONDS))
