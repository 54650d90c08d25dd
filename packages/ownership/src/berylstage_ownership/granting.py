"""Sends grants to led targets, and lets former ones go."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.actions import SendGrant, TargetLost, TargetUp
from berylstage_ownership.constants import GRANT_TIMEOUT, HEARTBEAT

if TYPE_CHECKING:
    from berylstage_ownership.actions import Action
    from berylstage_ownership.core import Core
    from berylstage_ownership.events import TargetAnswer
    from berylstage_ownership.grants import LedTarget

SPARE_MARGIN = 0.4
"""Seconds before its end at which a grant is renewed whatever goes on."""


class Granting:
    """Renews grants and takes in the targets' answers.

    Parameters
    ----------
    core : Core
    """

    def __init__(self, core: Core):
        self._core = core
        self._sent: dict[int, LedTarget] = {}
        self._told: dict[str, str] = {}
        # A target that the sheet dropped is still told that its grant is over.
        self._addresses: dict[str, str] = {}

    def due(self, now: float) -> list[Action]:
        """Return the grant orders that are due.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        core = self._core
        actions: list[Action] = []
        actions += self._probes(now)
        # A VM without a lease renews nothing: others may hold its shards already.
        if core.lease.valid(now):
            for target in sorted(core.holdings.active_leads):
                led = core.holdings.leads[target]
                if now >= led.send_at and not self._spares(now, led):
                    actions += self._renew(now, led)
        actions += self._revocations(now)
        self._sent = {
            tag: led for tag, led in self._sent.items() if led.is_unanswered(tag)
        }
        return actions + self._notices(now)

    def _spares(self, now: float, led: LedTarget) -> bool:
        """Tell whether to leave a target's grant alone for the moment.

        It works on a shard that was lost. An order without the shard would cut the
        request; one with it would outlive the lease that the taker waits for. So the
        grant in force runs on, until the target's other shards need the next one.
        """
        if not self._core.holdings.works_on_lost(now, led.name):
            return False
        return now < led.sure_until() - SPARE_MARGIN

    def _renew(self, now: float, led: LedTarget) -> list[Action]:
        """Return the next order to a led target.

        While an answer is due the target is only asked for a sign of life: each
        further order would put off the moment at which its grant has lapsed for
        certain, and the shards of a lost target would wait for that.
        """
        if led.awaits_answer():
            return self._probe(now, led)
        return self._send(now, led, self._wanted(led.name))

    def _probes(self, now: float) -> list[Action]:
        """Return questions to targets that may be granted nothing now.

        A lost data centre takes leader and target together. Asked only after the old
        lease has lapsed, the target would be found lost half a second later, and its
        keys would be due back by then. And a leader that lost its lease for a moment
        would take all its targets for lost, if it did not ask them.
        """
        holdings = self._core.holdings
        actions: list[Action] = []
        asked = set(holdings.leads)
        if self._core.lease.valid(now):
            asked -= holdings.active_leads
        for target in sorted(asked):
            led = holdings.leads[target]
            if now >= led.send_at:
                actions += self._probe(now, led)
        return actions

    def _probe(self, now: float, led: LedTarget) -> list[Action]:
        """Return an order that grants nothing and asks for a sign of life."""
        address = self._address(led.name)
        if address is None:
            return []
        tag = self._core.next_tag()
        led.prepare_probe(now, tag)
        self._sent[tag] = led
        return [
            SendGrant(
                led.name,
                address,
                led.epoch,
                led.version,
                {},
                0,
                "",
                0,
                tag,
                GRANT_TIMEOUT,
            )
        ]

    def _address(self, target: str) -> str | None:
        """Return the address of a target, if a configuration ever named it."""
        cfg = self._core.docs.configuration
        if cfg is not None and target in cfg.targets:
            self._addresses[target] = cfg.targets[target].address
        return self._addresses.get(target)

    def _wanted(self, target: str) -> dict[str, int]:
        """Return the fence tokens that a target is to hold."""
        cfg = self._core.docs.configuration
        if cfg is None or target not in cfg.targets:
            return {}
        if not cfg.targets[target].checks_fences:
            return {}
        return self._core.holdings.wanted_grants(target)

    def _send(self, now: float, led: LedTarget, wanted: dict[str, int]) -> list[Action]:
        """Return one grant order."""
        address = self._address(led.name)
        if address is None:
            return []
        tag = self._core.next_tag()
        lease_until = self._core.lease.until
        order = led.prepare(now, tag, wanted, lease_until)
        self._sent[tag] = led
        anchor = led.anchor
        return [
            SendGrant(
                led.name,
                address,
                led.epoch,
                led.version,
                dict(order.shards),
                anchor.clock if anchor else 0,
                anchor.incarnation if anchor else "",
                led.lifetime_ms(lease_until),
                tag,
                GRANT_TIMEOUT,
            )
        ]

    def _revocations(self, now: float) -> list[Action]:
        """Return empty orders to targets led no more, so that nobody waits long."""
        holdings = self._core.holdings
        actions: list[Action] = []
        for led in holdings.former_leads:
            busy = holdings.flights.target_busy(now, led.name)
            if busy or now < led.send_at or not led.may_hold_any(now):
                continue
            actions += self._send(now, led, {})
            led.send_at = now + HEARTBEAT
        return actions

    def answer(
        self, now: float, target: str, tag: int, answer: TargetAnswer | None
    ) -> list[Action]:
        """Take in a target's answer to an order.

        Parameters
        ----------
        now : float
        target : str
        tag : int
        answer : TargetAnswer or None
            None when no answer came.

        Returns
        -------
        list of Action
        """
        led = self._sent.get(tag)
        if led is None or led.name != target:
            return []
        if answer is None:
            led.lost(now, tag)
        else:
            led.answered(now, tag, answer)
            self._sent.pop(tag)
        return [*self._core.holdings.advance(now), *self.due(now)]

    def _notices(self, now: float) -> list[Action]:
        """Return notices of led targets that went up or down."""
        leads = self._core.holdings.leads
        notices: list[Action] = []
        states: dict[str, str] = {}
        for target in sorted(leads):
            led = leads[target]
            reason = led.down_reason(now)
            told = self._told.get(target)
            if reason:
                states[target] = reason
                if told != reason:
                    notices.append(TargetLost(target, reason))
            elif led.up(now):
                states[target] = f"up:{led.incarnation}:{led.cold}"
                if told != states[target]:
                    notices.append(TargetUp(target, led.incarnation, led.cold))
        self._told = states
        return notices
