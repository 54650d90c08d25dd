"""Until when a target may hold keys by orders that anybody may have given it."""

from __future__ import annotations

# Seconds for which a grant holds. A target that falls silent keeps its keys from others
# for as long; three renewals fit in before it ends, and the duty of granting changes
# hands within it (a lease of 2 s), so that a lost VM costs no key.
HOLD = 3.0
# Share of the longest hold that targets take which is used in an outage of the store.
LONGEST_SHARE = 0.98
# Seconds between two renewals.
RENEWAL = 0.8
# How much slower a target's clock may run.
CLOCK_DRIFT = 0.02
# Seconds that an order may take on its way to a target, beyond which it is broken off.
ORDER_TIMEOUT = 0.4
# Seconds that are kept for orders under way and the clock of this VM.
MARGIN = 0.2


# Seconds between two refused connections that show that a target's process is gone.
REFUSED_FOR = 0.1


def longest_hold(bound: float) -> float:
    """Return the seconds of a hold that is to outlast an outage of the store.

    Parameters
    ----------
    bound : float
        Seconds for which targets take a grant at most.
    """
    return max(HOLD, LONGEST_SHARE * bound)


def lapse_of(ordered: float, hold: float) -> float:
    """Return when a hold is over that an order sent at a moment may have begun.

    Parameters
    ----------
    ordered : float
        Monotonic seconds.
    hold : float
        Seconds.

    Returns
    -------
    float
    """
    return ordered + ORDER_TIMEOUT + hold * (1 + CLOCK_DRIFT) + MARGIN


class Order:
    """An order to hold some keys that may reach a target.

    Parameters
    ----------
    first, last : int
        Keys, both included.
    lapse : float
        When nothing holds any more that it brought about.
    """

    __slots__ = ("first", "lapse", "last")

    def __init__(self, first: int, last: int, lapse: float):
        self.first = first
        self.last = last
        self.lapse = lapse


class TargetGrants:
    """What this VM knows of the holds of one life of a target."""

    __slots__ = ("_orders", "_refused_at", "has_ended", "probed_at", "silent_since")

    def __init__(self) -> None:
        # Those that may hold.
        self._orders: list[Order] = []
        # Since when it has not answered; 0 while it answers.
        self.silent_since = 0.0
        # Since when connections to it have been refused; 0 while they are not.
        self._refused_at = 0.0
        # When it was asked last whether it is back.
        self.probed_at = float("-inf")
        # Whether its life is over for certain, so that it holds nothing.
        self.has_ended = False

    @property
    def lapse(self) -> float:
        """When nothing holds any more that this VM ordered."""
        return max((order.lapse for order in self._orders), default=float("-inf"))

    def ordered(self, now: float, hold: float, first: int, last: int) -> Order:
        """Note that an order for some keys is about to be sent."""
        order = Order(first, last, lapse_of(now, hold))
        self._orders = [known for known in self._orders if known.lapse > now]
        self._orders.append(order)
        return order

    def unsent(self, order: Order) -> None:
        """Note that an order never left, so that nothing holds by it.

        No connection to a target that is cut off comes about. Counted all the same,
        each further order would put off the moment at which its keys can go to another.
        """
        self._orders = [known for known in self._orders if known is not order]

    def lapse_on(self, first: int, last: int) -> float:
        """Return when nothing holds any of some keys that this VM ordered.

        A target's other keys are renewed while some of its keys move, so the end of all
        its holds never comes. What was known when the move was decided is not enough
        either: renewals go on until the move is written, which takes as long as the
        store is slow, and a silent target would keep what they brought it.

        Parameters
        ----------
        first, last : int
            Keys, both included.

        Returns
        -------
        float
            Monotonic seconds; minus infinity when nothing was ordered.
        """
        ends = [
            order.lapse
            for order in self._orders
            if order.first <= last and order.last >= first
        ]
        return max(ends, default=float("-inf"))

    def answered(self) -> None:
        """Note an answer."""
        self.silent_since = 0.0
        self._refused_at = 0.0

    def refused(self, now: float) -> None:
        """Note that nothing listened at its address.

        The process is gone, and what starts there holds nothing: its keys need not wait
        for holds to end. It is asked twice, so that nothing hangs on one packet that
        was answered by mistake. A target that is full accepts connections before it
        resets them, which is not this.
        """
        self.failed(now)
        if not self._refused_at:
            self._refused_at = now
        elif now - self._refused_at >= REFUSED_FOR:
            self.ended(now)

    def ended(self, now: float) -> None:
        """Note that its life is over."""
        self.has_ended = True
        self.probed_at = now
        self.silent_since = self.silent_since or now

    def came_back(self) -> None:
        """Note that a life goes on that was taken for over."""
        self.has_ended = False
        self.answered()

    def failed(self, now: float) -> None:
        """Note that an order brought no answer: it may be carried out later."""
        self.silent_since = self.silent_since or now
