"""Limits that targets in need set on the requests of all VMs together.

The load pattern is a target that suddenly accepts a few requests per second while many
VMs send it more. At three requests per second and two hundred VMs no share per VM is
usable, so each request needs a token of a quota that all VMs keep together
(`berylstage_policy.quota_shares`). Without that, the target gets the limit from each VM
that has heard of it.
"""

from __future__ import annotations

from berylstage_policy.quota_shares import QuotaBounds

# Tolerance of targets: they count requests over some seconds and accept half as many
# again and a few more, since requests that were sent evenly may arrive together.
TARGET_LIMIT_BOUNDS = QuotaBounds(4.0, 0.5, 5.0)
# Least requests per second that are sent whatever the limit: without a request no
# answer would ever show that the limit has ended. They stay below the tolerance.
MIN_REQUESTS_PER_SECOND = 0.2
# Interval at which a standing limit is told to the other VMs again, at least and for
# each VM: a datagram may have been lost, and a VM may have started since. With hundreds
# of VMs one of them would otherwise tell all others each second.
REPEAT_SECONDS = 1.0
REPEAT_SECONDS_PER_VM = 0.02
# Time for which a limit is remembered while the record of its target is gone, which may
# return after an outage of the store.
MEMORY_SECONDS = 30.0
# Share by which a limit must have changed to be told at once: a target may name another
# one in each of its answers.
MIN_TOLD_CHANGE = 0.1


class TargetLimit:
    """A limit as one VM knows it.

    Parameters
    ----------
    rate : float
        Requests per second from all VMs together.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_blocked_until", "_known_at", "_told_at", "_told_rate", "rate")

    def __init__(self, rate: float, now: float):
        self.rate = rate
        # When an answer or another VM last named it.
        self._known_at = now
        # When this VM last told the others, or was told, and which limit.
        self._told_at = float("-inf")
        self._told_rate = rate
        self._blocked_until = float("-inf")

    @property
    def usable_rate(self) -> float:
        """Requests per second that all VMs together may send."""
        return max(MIN_REQUESTS_PER_SECOND, self.rate)

    def confirm(self, rate: float, now: float) -> None:
        """Record that an answer or a VM names a limit."""
        self.rate = rate
        self._known_at = now

    def is_ended_by(self, sent_at: float) -> bool:
        """Return whether an answer without a limit shows that this one has ended.

        The answer to a request that was sent before the limit was known may be older
        than the limit.

        Parameters
        ----------
        sent_at : float
            Monotonic seconds at which the answered request was sent.
        """
        return sent_at >= self._known_at

    def is_outdated(self, now: float) -> bool:
        """Return whether nothing has confirmed the limit for long."""
        return now - self._known_at > MEMORY_SECONDS

    def must_be_told(self, vms: int, now: float) -> bool:
        """Return whether the other VMs should be told the limit, again or anew.

        Parameters
        ----------
        vms : int
            Number of known VMs.
        now : float
            Monotonic seconds.
        """
        if abs(self.rate - self._told_rate) > MIN_TOLD_CHANGE * self._told_rate:
            return True
        interval = max(REPEAT_SECONDS, REPEAT_SECONDS_PER_VM * vms)
        return now - self._told_at >= interval

    def record_told(self, now: float) -> None:
        """Record that the VMs were told the limit."""
        self._told_at = now
        self._told_rate = self.rate

    def block(self, seconds: float, now: float) -> None:
        """Record that there is no token for some seconds."""
        self._blocked_until = now + seconds

    def blocked_seconds(self, now: float) -> float:
        """Return the seconds until there may be a token again; 0 if there may be."""
        return max(0.0, self._blocked_until - now)
