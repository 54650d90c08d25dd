"""Which share of the requests for a full target is turned away at once.

The load it answers: one key that asks for twice what its owner can do, through ten VMs
of which each sees a tenth of it. The owner's queue fills, it resets connections, every
answer comes late, and callers repeat what they never got. No VM alone can hold back
enough by counting its own requests, and a limit of one each still fills the queue; so
each turns away a share of them, which grows while answers tell of a long queue and
shrinks while they don't. What is let in is then answered in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Waiting at the target, as a share of the objective, above which less is let in, and
# below which more is. With work of a third of the objective the upper one leaves the
# last third to the way and to uneven work.
LONG_WAIT = 0.4
SHORT_WAIT = 0.15
# What is let in after an answer that tells of a long queue, over before; the answers of
# a full target reach a VM three times a second, so half is reached within a second.
LESS = 0.8
# The same after the target has turned a request away itself.
LESS_WHEN_FULL = 0.6
# What is let in more after an answer that tells of a short queue, and in each second
# without any.
MORE = 0.08
MORE_A_SECOND = 0.1
# Share that is always let in, so that there are answers to learn from.
LEAST = 0.1


class EarlyRefusal:
    """The share of requests that one VM lets in for one target.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_at", "share")

    def __init__(self, now: float):
        self.share = 1.0
        self._at = now

    def admits(self, now: float, rng: Random) -> bool:
        """Tell whether a request is let in."""
        self._recover(now)
        return self.share >= 1.0 or rng.random() < self.share

    def told(self, wait: float, objective: float, now: float) -> None:
        """Take in the waiting that an answer tells of.

        Parameters
        ----------
        wait : float
            Seconds that a new request would wait at the target.
        objective : float
            Seconds within which an answer is worth most.
        now : float
        """
        self._recover(now)
        if wait > LONG_WAIT * objective:
            self.share = max(LEAST, self.share * LESS)
        elif wait < SHORT_WAIT * objective:
            self.share = min(1.0, self.share + MORE)

    def full(self, now: float) -> None:
        """Note that the target turned a request away."""
        self._recover(now)
        self.share = max(LEAST, self.share * LESS_WHEN_FULL)

    def _recover(self, now: float) -> None:
        self.share = min(1.0, self.share + MORE_A_SECOND * max(0.0, now - self._at))
        self._at = max(self._at, now)
