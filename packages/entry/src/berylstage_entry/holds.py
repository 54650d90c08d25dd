"""Determines until when targets may hold keys by grants of any VM."""

from __future__ import annotations

# Duration of a grant. The keys of an unresponsive target stay unavailable for this
# time. It covers three renewals and the election of a new coordinator (store lease of
# 2 s), so that no key loses its owner when a VM fails.
HOLD = 3.0
# Share of the longest grant that targets accept, which is used during an outage of the
# store.
LONGEST_SHARE = 0.98
# Seconds between two renewals.
RENEWAL = 0.8
# Relative amount by which a target's clock may run slow.
CLOCK_DRIFT = 0.02
# Timeout in seconds of a grant call.
ORDER_TIMEOUT = 0.4
# Seconds added for grants in transit and the clock of this VM.
MARGIN = 0.2


# Seconds for which connections must be refused before a target's process counts as
# terminated.
REFUSED_FOR = 0.1


def longest_hold(bound: float) -> float:
    """Return the duration of a grant that is to outlast an outage of the store.

    Parameters
    ----------
    bound : float
        Longest grant in seconds that targets accept.
    """
    return max(HOLD, LONGEST_SHARE * bound)


def lapse_of(ordered: float, hold: float) -> float:
    """Return the time by which a grant has expired.

    Parameters
    ----------
    ordered : float
        Monotonic time in seconds at which the grant is sent.
    hold : float
        Duration of the grant in seconds.

    Returns
    -------
    float
        Monotonic time in seconds.
    """
    return ordered + ORDER_TIMEOUT + hold * (1 + CLOCK_DRIFT) + MARGIN


class Order:
    """A grant that may reach a target.

    Parameters
    ----------
    first, last : int
        Keys, both inclusive.
    lapse : float
        Time by which the grant has expired.
    """

    __slots__ = ("first", "lapse", "last")

    def __init__(self, first: int, last: int, lapse: float):
        self.first = first
        self.last = last
        self.lapse = lapse


class TargetHold:
    """Grants to one incarnation of a target, as known to this VM."""

    __slots__ = ("_orders", "_refused_at", "has_ended", "probed_at", "silent_since")

    def __init__(self) -> None:
        # Grants that may still be valid.
        self._orders: list[Order] = []
        # Time since which it has not answered; 0 if it answers.
        self.silent_since = 0.0
        # Time since which it has refused connections; 0 if it does not.
        self._refused_at = 0.0
        # Time of the last probe.
        self.probed_at = float("-inf")
        # Whether its process has certainly terminated, so that it holds no keys.
        self.has_ended = False

    @property
    def lapse(self) -> float:
        """Time by which all grants of this VM have expired."""
        return max((order.lapse for order in self._orders), default=float("-inf"))

    def ordered(self, now: float, hold: float, first: int, last: int) -> Order:
        """Record that a grant is about to be sent."""
        order = Order(first, last, lapse_of(now, hold))
        self._orders = [known for known in self._orders if known.lapse > now]
        self._orders.append(order)
        return order

    def unsent(self, order: Order) -> None:
        """Record that a grant was never sent, so that it has no effect.

        No connection to an unreachable target can be established. If such grants
        counted, each of them would delay the move of the target's keys.
        """
        self._orders = [known for known in self._orders if known is not order]

    def lapse_on(self, first: int, last: int) -> float:
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
        ends = [
            order.lapse
            for order in self._orders
            if order.first <= last and order.last >= first
        ]
        return max(ends, default=float("-inf"))

    def answered(self) -> None:
        """Record an answer."""
        self.silent_since = 0.0
        self._refused_at = 0.0

    def refused(self, now: float) -> None:
        """Record that the target's port refused a connection.

        The process has terminated, and one started in its place holds no keys, so its
        keys can move before its grants expire. Two refusals are required so that one
        stray packet does not decide. A target at its connection limit does not count:
        it accepts connections before it resets them.
        """
        self.failed(now)
        if not self._refused_at:
            self._refused_at = now
        elif now - self._refused_at >= REFUSED_FOR:
            self.ended(now)

    def ended(self, now: float) -> None:
        """Record that the target's process has terminated."""
        self.has_ended = True
        self.probed_at = now
        self.silent_since = self.silent_since or now

    def came_back(self) -> None:
        """Record that a process is alive that was considered terminated."""
        self.has_ended = False
        self.answered()

    def failed(self, now: float) -> None:
        """Record that a grant was not answered; the target may still apply it later."""
        self.silent_since = self.silent_since or now
