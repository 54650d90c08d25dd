"""How many requests a target may get at once after a start.

The load it answers: full traffic waiting for a target that has just started. A target
in cold start that gets it falls over, starts again, and falls over again; one sees a
target that never comes back although each start succeeds. Here the limit begins at one
and rises by observed completions, and any sign of a new start takes it back to one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_policy.thresholds import Thresholds

# Counted for an answer of which nothing tells whether it was slow.
UNKNOWN_RATIO = 100.0


class ColdStart:
    """The concurrency limit of one target between one and its slots.

    Parameters
    ----------
    slots : int
        Requests that the warm target works on at the same time.
    thresholds : Thresholds
    now : float
        Monotonic seconds; a lead begins without knowing how warm the target is.
    """

    __slots__ = (
        "_slots",
        "_limit",
        "_incarnation",
        "_told_cold",
        "_told_warm",
        "_started",
        "_suspect",
        "_confirmed",
        "_raised",
        "_count",
        "_ratios",
        "_windows",
        "_step",
        "_slow",
        "_patience",
        "_silence",
    )

    def __init__(self, slots: int, thresholds: Thresholds, now: float):
        self._slots = slots
        self._limit = 1
        self._incarnation = ""
        # What the latest report of this run of the target has said.
        self._told_cold = False
        self._told_warm = False
        self._started = now
        self._suspect = False
        self._confirmed = now
        self._raised = float("-inf")
        self._count = 0
        self._ratios = 0.0
        self._windows = 0
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Take in other thresholds; what was learned stays.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._step = int(thresholds["ramp_completions"])
        self._slow = thresholds["ramp_slow_ratio"]
        self._patience = int(thresholds["ramp_patience"])
        self._silence = thresholds["confirm_silence"]

    @property
    def level(self) -> int:
        """The level of the ramp, whatever doubts there are for the moment."""
        return self._limit

    @property
    def warm(self) -> bool:
        """Whether the ramp is over."""
        return self._limit >= self._slots

    def limit(self, now: float) -> int:
        """Return how many requests the target may have at this instant."""
        # A target that restarts while idle fails no request. One would notice it only
        # by what it drops once the full load hits it, so after a silence the first
        # request goes alone.
        if self._suspect or now - self._confirmed > self._silence:
            return 1
        return self._limit

    def set_slots(self, slots: int) -> None:
        """Take in another number of slots; more are reached by a ramp."""
        self._slots = slots
        self._limit = min(self._limit, slots)

    def new_start(self, now: float) -> None:
        """Go back to one request: the target has started anew, or says so."""
        self._limit = 1
        self._suspect = False
        self._started = now
        self._told_cold = False
        self._told_warm = False
        self._begin_level()

    def seen(self, now: float, incarnation: str) -> None:
        """Take in an answer or a grant that names the target's incarnation."""
        if incarnation and self._incarnation and incarnation != self._incarnation:
            self.new_start(now)
        self._incarnation = incarnation or self._incarnation
        self._confirmed = now
        self._suspect = False

    def reported(self, now: float, cold: bool, age: float = 0.0) -> None:
        """Take in the target's own word, as a grant's answer or a load report tells it.

        A word alone never raises the limit, but completions count only with it: some
        cold targets answer as fast as warm ones until they fall over. A report of
        ``cold`` from before the last level was reached tells of what is over, and one
        of ``warm`` from before the last start tells of another run.

        Parameters
        ----------
        now : float
        cold : bool
        age : float
            Seconds since the report was made.
        """
        made = now - age
        if cold and made > self._raised:
            self.new_start(now)
            self._told_cold = True
        elif not cold and made >= self._started and not self._told_warm:
            self._told_cold = False
            self._told_warm = True
            self._count = 0
            self._ratios = 0.0

    def doubted(self, now: float) -> None:
        """Go to one request until the target shows that it is still the same run.

        After a request that got no answer the target may have restarted; a whole ramp
        for each lost connection would cost too much, so the same incarnation
        restores the limit.
        """
        self._suspect = True

    def completed(self, now: float, ratio: float | None) -> None:
        """Count a whole answer towards the next level.

        Parameters
        ----------
        now : float
        ratio : float or None
            Its time over what this kind takes on the warm target; None if unknown.
        """
        self._confirmed = now
        if self.warm or self._told_cold:
            return
        self._count += 1
        # Without a warm answer to compare with slow answers look like normal ones, and
        # without the target's word a fragile target looks like a warm one. It is then
        # ramped like a slow one, which takes some times as many answers.
        is_known = ratio is not None and self._told_warm
        self._ratios += ratio if is_known and ratio is not None else UNKNOWN_RATIO
        if self._count < self._step:
            return
        self._windows += 1
        # A target that is still slow is still cold, whatever the count; but one that
        # stays slow for good must not be held at one request for ever.
        is_fast = self._ratios <= self._slow * self._count
        if is_fast or self._windows >= self._patience:
            self._limit += 1
            self._raised = now
            self._begin_level()
        else:
            self._count = 0
            self._ratios = 0.0

    def _begin_level(self) -> None:
        """Forget what was counted on the level before."""
        self._count = 0
        self._ratios = 0.0
        self._windows = 0
