"""Trust in the open connections to one server."""

from __future__ import annotations

# Seconds after which a connection is replaced even if it is in steady use.
MAX_CONNECTION_AGE_SECONDS = 3600


class ConnectionAgeLimit:
    """Since when connections to a server are known to work.

    Something between the two ends may lose track of all open connections at once while
    new ones work. Each call on an old one would wait out its whole time in vain, one
    after the other. So the first such loss ends the trust in every connection that was
    open by then, for all clients that share this object.
    """

    __slots__ = ("_retired_at",)

    def __init__(self) -> None:
        self._retired_at = float("-inf")

    def retire_open_connections(self, now: float) -> None:
        """End the trust in all connections that are open now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self._retired_at = now

    def max_age_seconds(self, now: float) -> int:
        """Return the most whole seconds that a connection may be old.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            0 when no open connection is to be used.
        """
        return int(min(now - self._retired_at, MAX_CONNECTION_AGE_SECONDS))
