"""What one led target has been granted, and until when for certain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import (
    DRIFT,
    FIRST_PROBE_DOWN_AFTER,
    HEARTBEAT,
    TARGET_DOWN_AFTER,
)

if TYPE_CHECKING:
    from berylstage_ownership.events import TargetAnswer

MILLISECONDS = 1000.0

# A refusal for one of these reasons says nothing about the target's willingness.
PROTOCOL_REASONS = ("epoch", "anchor")


class Anchor:
    """A reading of the target's clock.

    Parameters
    ----------
    clock : int
        The reading, in milliseconds.
    incarnation : str
        Run of the target's process.
    asked_at, heard_at : float
        When the question left and when the answer came, by this VM's clock; the
        reading was taken in between.
    """

    __slots__ = ("clock", "incarnation", "asked_at", "heard_at")

    def __init__(self, clock: int, incarnation: str, asked_at: float, heard_at: float):
        self.clock = clock
        self.incarnation = incarnation
        self.asked_at = asked_at
        self.heard_at = heard_at


class Order:
    """One grant order that left.

    Parameters
    ----------
    shards : dict of str to int
        Fence token by shard.
    sent_at : float
    sure_until, gone_by : float
        The grant lasts at least until the first and at most until the second, by
        this VM's clock.
    """

    __slots__ = ("shards", "sent_at", "sure_until", "gone_by")

    def __init__(
        self,
        shards: dict[str, int],
        sent_at: float,
        sure_until: float,
        gone_by: float,
    ):
        self.shards = shards
        self.sent_at = sent_at
        self.sure_until = sure_until
        self.gone_by = gone_by


class LedTarget:
    """A target that this VM leads or led a moment ago.

    Parameters
    ----------
    name : str
    epoch : int
        Epoch of this VM's lead.
    now : float
    """

    def __init__(self, name: str, epoch: int, now: float):
        self.name = name
        self.epoch = epoch
        self.version = 0
        self.anchor: Anchor | None = None
        self.accepted: Order | None = None
        self.incarnation = ""
        self.cold = False
        self.refusal = ""
        self.send_at = now
        self._watched_since = now
        self._last_accepted = float("-inf")
        self._last_shards: dict[str, int] = {}
        # Orders whose answer never came: a packet may still be under way and grant
        # their shards, but not beyond the anchor's end.
        self._unanswered: dict[int, Order] = {}

    def prepare(
        self, now: float, tag: int, wanted: dict[str, int], lease_until: float
    ) -> Order:
        """Note the order that is about to leave.

        Parameters
        ----------
        now : float
        tag : int
        wanted : dict of str to int
            Fence token by shard.
        lease_until : float
            End of this VM's lease, which no grant may outlive.

        Returns
        -------
        Order
            Without shards while no reading of the target's clock is known.
        """
        order = self._order(now, wanted, lease_until)
        if order.shards != self._last_shards:
            self.version += 1
            self._last_shards = order.shards
        self._unanswered[tag] = order
        self.send_at = now + HEARTBEAT
        return order

    def prepare_probe(self, now: float, tag: int) -> None:
        """Note an order without an anchor, which asks for a reading and grants nothing.

        Parameters
        ----------
        now : float
        tag : int
        """
        self._unanswered[tag] = Order({}, now, 0.0, 0.0)
        self.send_at = now + HEARTBEAT

    def _order(self, now: float, wanted: dict[str, int], lease_until: float) -> Order:
        """Return the order with its earliest and latest end."""
        if self.anchor is None:
            return Order({}, now, 0.0, 0.0)
        lifetime = self.lifetime_ms(lease_until) / MILLISECONDS
        sure_until = self.anchor.asked_at + lifetime * (1 - DRIFT)
        gone_by = self.anchor.heard_at + lifetime * (1 + DRIFT)
        return Order(dict(wanted), now, sure_until, gone_by)

    def lifetime_ms(self, lease_until: float) -> int:
        """Return the lifetime after the anchor that ends within the lease.

        Parameters
        ----------
        lease_until : float

        Returns
        -------
        int
            Milliseconds; 0 when the lease ends before the anchor.
        """
        if self.anchor is None:
            return 0
        # Counted from the anchor and not from the sending: an order that sits in a
        # queue for seconds must not grant seconds more. One would notice it as two
        # targets that answer for one shard.
        seconds = (lease_until - self.anchor.heard_at) / (1 + DRIFT)
        return max(0, int(seconds * MILLISECONDS))

    def answered(self, now: float, tag: int, answer: TargetAnswer) -> None:
        """Take in a target's answer to an order.

        Parameters
        ----------
        now : float
        tag : int
        answer : TargetAnswer
        """
        order = self._unanswered.pop(tag, None)
        if order is None:
            return
        fresh = self.incarnation != answer.incarnation
        self.incarnation = answer.incarnation
        self.cold = answer.cold
        self.refusal = "" if answer.accepted else answer.reason
        first = self.anchor is None
        overdue = any(other.shards for other in self._unanswered.values())
        self.anchor = Anchor(answer.clock, answer.incarnation, order.sent_at, now)
        if answer.accepted:
            self._last_accepted = now
            self._note_accepted(order)
        elif answer.reason == "epoch":
            self._note_superseded(order)
        elif fresh or answer.reason in PROTOCOL_REASONS:
            self._last_accepted = max(self._last_accepted, order.sent_at)
        if first or fresh or overdue:
            # The reading alone grants nothing; do not let the shards wait a
            # heartbeat for the order that does.
            self.send_at = now

    def _note_superseded(self, order: Order) -> None:
        """Take a refusal for a later epoch as the end of what was granted.

        An order refused because a later one of this lead overtook it says nothing:
        that later one is accounted for itself.
        """
        if self.accepted is not None and order.sent_at > self.accepted.sent_at:
            self.accepted = None

    def _note_accepted(self, order: Order) -> None:
        """Take an accepted order for what the target holds now."""
        if self.accepted is None or order.sent_at >= self.accepted.sent_at:
            self.accepted = order

    def lost(self, now: float, tag: int) -> None:
        """Note that no answer came to an order, which may still take effect."""
        order = self._unanswered.get(tag)
        if order is None:
            return
        if not order.shards:
            del self._unanswered[tag]
        self.send_at = min(self.send_at, now)

    def sure_until(self) -> float:
        """Return until when the target's grant lasts for certain."""
        return self.accepted.sure_until if self.accepted else 0.0

    def awaits_answer(self) -> bool:
        """Tell whether nothing was heard since an order with shards left."""
        heard_at = self.anchor.heard_at if self.anchor else float("-inf")
        return any(
            order.shards and order.sent_at >= heard_at
            for order in self._unanswered.values()
        )

    def is_unanswered(self, tag: int) -> bool:
        """Tell whether an answer to an order may still come and count."""
        return tag in self._unanswered

    def fence_in_force(self, now: float, shard: str) -> int | None:
        """Return the fence token that the target holds for a shard for certain."""
        if self.accepted is None or now >= self.accepted.sure_until:
            return None
        return self.accepted.shards.get(shard)

    def may_hold(self, now: float, shard: str, fence: int | None = None) -> bool:
        """Tell whether the target may still hold a grant for a shard.

        Parameters
        ----------
        now : float
        shard : str
        fence : int, optional
            Only a grant with this fence token or a lower one counts.

        Returns
        -------
        bool
        """
        orders = list(self._unanswered.values())
        if self.accepted is not None:
            orders.append(self.accepted)
        for order in orders:
            given = order.shards.get(shard)
            if given is None or now >= order.gone_by:
                continue
            if fence is None or given <= fence:
                return True
        return False

    def may_hold_any(self, now: float) -> bool:
        """Tell whether the target may still hold any grant of this lead."""
        orders = list(self._unanswered.values())
        if self.accepted is not None:
            orders.append(self.accepted)
        return any(order.shards and now < order.gone_by for order in orders)

    def up(self, now: float) -> bool:
        """Tell whether the target accepts grants."""
        heard = self._last_accepted > float("-inf")
        return heard and not self.down_reason(now)

    def down_reason(self, now: float) -> str:
        """Return why the target counts as down, or an empty string.

        Parameters
        ----------
        now : float

        Returns
        -------
        str
            ``silent``, or the reason of its refusal.
        """
        if self.refusal and self.refusal not in PROTOCOL_REASONS:
            return self.refusal
        if self._last_accepted < self._watched_since:
            silent = now - self._watched_since >= FIRST_PROBE_DOWN_AFTER
        else:
            silent = now - self._last_accepted >= TARGET_DOWN_AFTER
        return "silent" if silent else ""

    def watch_from(self, now: float) -> None:
        """Start the wait for a sign of life anew, after a pause of this process."""
        self._watched_since = now
        self.send_at = now

    def forget_lapsed(self, now: float) -> None:
        """Drop orders that can take no effect any more."""
        self._unanswered = {
            tag: order
            for tag, order in self._unanswered.items()
            if order.gone_by > now or order.sent_at + 1.0 > now
        }
