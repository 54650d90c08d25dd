"""Determines until when targets may hold keys by grants of any VM."""

from __future__ import annotations

# Duration of a grant. The keys of an unresponsive target stay unavailable for this
# time. It covers three renewals and the election of a new coordinator (store lease of
# 2 s), so that no key loses its owner when a VM fails.
GRANT_SECONDS = 3.0
# Share of the longest grant that targets accept, which is used during an outage of the
# store.
EXTENDED_GRANT_SHARE = 0.98
# Seconds between two renewals.
GRANT_RENEWAL_INTERVAL_SECONDS = 0.8
# Relative amount by which a target's clock may run slow.
MAX_CLOCK_DRIFT = 0.02
# Timeout in seconds of a grant call.
GRANT_TIMEOUT_SECONDS = 0.4
# Seconds added for grants in transit and the clock of this VM.
SAFETY_MARGIN_SECONDS = 0.2


def extended_grant_seconds(bound: float) -> float:
    """Return the duration of a grant that is to outlast an outage of the store.

    Parameters
    ----------
    bound : float
        Longest grant in seconds that targets accept.
    """
    return max(GRANT_SECONDS, EXTENDED_GRANT_SHARE * bound)


def compute_expiry(sent_at: float, seconds: float) -> float:
    """Return the time by which a grant has expired.

    Parameters
    ----------
    sent_at : float
        Monotonic time in seconds at which the grant is sent.
    seconds : float
        Duration of the grant in seconds.

    Returns
    -------
    float
        Monotonic time in seconds.
    """
    return (
        sent_at
        + GRANT_TIMEOUT_SECONDS
        + seconds * (1 + MAX_CLOCK_DRIFT)
        + SAFETY_MARGIN_SECONDS
    )


class SentGrant:
    """A grant that may reach a target.

    Parameters
    ----------
    first, last : int
        Keys, both inclusive.
    expires_at : float
        Time by which the grant has expired.
    """

    __slots__ = ("expires_at", "first", "last")

    def __init__(self, first: int, last: int, expires_at: float):
        self.first = first
        self.last = last
        self.expires_at = expires_at


class TargetGrants:
    """Grants to one incarnation of a target, as known to this VM."""

    __slots__ = (
        "_grants",
        "is_terminated",
        "probed_at",
        "unresponsive_since",
    )

    def __init__(self) -> None:
        # Grants that may still be valid.
        self._grants: list[SentGrant] = []
        # Time since which it has not answered; 0 if it answers.
        self.unresponsive_since = 0.0
        # Time of the last probe.
        self.probed_at = float("-inf")
        # Whether another target answers at its address: its process has ended, and it
        # holds no keys.
        self.is_terminated = False

    @property
    def expires_at(self) -> float:
        """Time by which all grants of this VM have expired."""
        return max((grant.expires_at for grant in self._grants), default=float("-inf"))

    def record_sent(
        self, now: float, seconds: float, first: int, last: int
    ) -> SentGrant:
        """Record that a grant is about to be sent."""
        grant = SentGrant(first, last, compute_expiry(now, seconds))
        self._grants = [known for known in self._grants if known.expires_at > now]
        self._grants.append(grant)
        return grant

    def record_unsent(self, grant: SentGrant) -> None:
        """Record that a grant was never sent, so that it has no effect.

        No connection to an unreachable target can be established. If such grants
        counted, each of them would delay the move of the target's keys.
        """
        self._grants = [known for known in self._grants if known is not grant]

    def expiry_for(self, first: int, last: int) -> float:
        """Return when all grants of some keys by this VM have expired.

        A target's other keys are renewed while some of its keys move, so there is no
        time when all its grants have expired. The expiry known when the move was
        decided would be too early: renewals continue until the move is stored, which
        takes long if the store is slow, and an unresponsive target would still hold
        keys by the last of them.

        Parameters
        ----------
        first, last : int
            Keys, both inclusive.

        Returns
        -------
        float
            Monotonic time in seconds; minus infinity if there are no such grants.
        """
        expiries = [
            grant.expires_at
            for grant in self._grants
            if grant.first <= last and grant.last >= first
        ]
        return max(expiries, default=float("-inf"))

    def record_answer(self) -> None:
        """Record an answer."""
        self.unresponsive_since = 0.0

    def record_termination(self, now: float) -> None:
        """Record that the target's process has terminated."""
        self.is_terminated = True
        self.probed_at = now
        self.unresponsive_since = self.unresponsive_since or now

    def record_recovery(self) -> None:
        """Record that a process answers that was considered terminated."""
        self.is_terminated = False
        self.record_answer()

    def record_failure(self, now: float) -> None:
        """Record that a grant was not answered; the target may still apply it later."""
        self.unresponsive_since = self.unresponsive_since or now
