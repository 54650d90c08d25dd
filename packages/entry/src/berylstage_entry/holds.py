"""Until when a target may hold keys by orders that anybody may have given it."""

from __future__ import annotations

# Seconds for which a grant holds. A target that falls silent keeps its keys from others
# for as long; three renewals fit in before it ends, and the duty of granting changes
# hands within it (a lease of 1.5 s), so that a lost VM costs no key.
HOLD = 2.6
# Seconds between two renewals.
RENEWAL = 0.75
# How much slower a target's clock may run.
CLOCK_DRIFT = 0.02
# Seconds that an order may take on its way to a target, beyond which it is broken off.
ORDER_TIMEOUT = 0.4
# Seconds that are kept for orders under way and the clock of this VM.
MARGIN = 0.2


def lapses_at(last_order: float) -> float:
    """Return when a hold is over that an order sent at a moment may have begun.

    Parameters
    ----------
    last_order : float
        Monotonic seconds.

    Returns
    -------
    float
    """
    return last_order + ORDER_TIMEOUT + HOLD * (1 + CLOCK_DRIFT) + MARGIN


class TargetHold:
    """What this VM knows of the holds of one life of a target."""

    __slots__ = ("last_order", "silent_since", "unanswered")

    def __init__(self) -> None:
        self.last_order = float("-inf")
        # Since when it has not answered; 0 while it answers.
        self.silent_since = 0.0
        # When an order was sent last whose end is unknown.
        self.unanswered = float("-inf")

    def ordered(self, now: float) -> None:
        """Note that an order is about to be sent."""
        self.last_order = now

    def answered(self) -> None:
        """Note an answer."""
        self.silent_since = 0.0

    def failed(self, sent: float, now: float) -> None:
        """Note that an order brought no answer: it may be carried out later."""
        self.unanswered = max(self.unanswered, sent)
        self.silent_since = self.silent_since or now

    def lapsed(self, now: float, alone_from: float) -> bool:
        """Tell whether nothing that anybody ordered can still hold.

        Parameters
        ----------
        now : float
        alone_from : float
            Since when this VM is the only one to give orders; may lie ahead.
        """
        return now >= lapses_at(max(self.last_order, alone_from))
