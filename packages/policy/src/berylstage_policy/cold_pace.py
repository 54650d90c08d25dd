"""How often one of many VMs may send to a cold target.

The load it answers: a cold target that is found by ten VMs at once. It bears a handful
of requests a second from all of them together and falls over above that, and no VM
knows what the others send at this moment. So each VM keeps a pace that stays within the
bound when all of them send; one sees without it targets that die again and again right
after their start.
"""

from __future__ import annotations

# Seconds between two requests of one VM at least. A little over the second in which the
# bound is counted, so that delays on the way cannot bring two into one second.
SHORTEST_GAP = 1.15


class ColdPace:
    """The pace of one VM towards one cold target.

    Parameters
    ----------
    bound : float
        Requests that the target bears in any one second, from all VMs.
    senders : int
        VMs that may send, at least 1; more are assumed than are known.
    now : float
        Monotonic seconds. A VM that has just started doesn't know what it sent before,
        so it begins as if it had just sent.
    """

    __slots__ = ("_gap", "_next")

    def __init__(self, bound: float, senders: int, now: float):
        self._gap = self.gap(bound, senders)
        self._next = now + self._gap

    @staticmethod
    def gap(bound: float, senders: int) -> float:
        """Return the seconds between two requests; infinite when none may be sent.

        Parameters
        ----------
        bound : float
        senders : int

        Returns
        -------
        float
        """
        each = int(bound / max(1, senders))
        if each >= 1:
            return SHORTEST_GAP / each
        if bound < 1:
            return float("inf")
        return SHORTEST_GAP * max(1, senders) / int(bound)

    def may_send(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self._next

    def sent(self, now: float) -> None:
        """Note a request."""
        self._next = now + self._gap
