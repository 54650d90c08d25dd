"""Rests that targets ask of single VMs.

The load pattern is a target that turns away all requests for some seconds while every
request for its keys begins with it. Without a memory of the rest that outlives the
request, each new request asks again, is rejected, and uses up the retry budget of its
service.
"""

from __future__ import annotations

# Least extension of a rest that is worth telling the coordinator.
MIN_EXTENSION_SECONDS = 0.5


class TargetRest:
    """Rest of one target, as one VM knows it.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_told_until", "until")

    def __init__(self, now: float):
        self.until = now
        self._told_until = float("-inf")

    def extend(self, seconds: float, now: float) -> None:
        """Record that the target asks for rest; one that ends later stays."""
        self.until = max(self.until, now + seconds)

    def is_news(self) -> bool:
        """Return whether the coordinator should be told of the rest, once."""
        if self.until - self._told_until < MIN_EXTENSION_SECONDS:
            return False
        self._told_until = self.until
        return True


def available_share(resting_until: dict[str, float], vms: int, now: float) -> float:
    """Return the share of VMs that may send to a target.

    Parameters
    ----------
    resting_until : dict of str to float
        End of the rest of each VM that was asked for one, in monotonic seconds.
    vms : int
        Number of known VMs.
    now : float
        Monotonic seconds.

    Returns
    -------
    float
        From 0 to 1.
    """
    resting = sum(until > now for until in resting_until.values())
    return max(0.0, 1.0 - resting / max(1, vms))
