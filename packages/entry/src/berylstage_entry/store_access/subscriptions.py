"""VMs without a record in the store subscribe to what the coordinator publishes.

The publisher sends to the VMs whose records are in the store. A VM whose lease the
store has revoked, or that cannot register, would hear nothing more, and would ask the
store again and again.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.addresses import split_host_port
from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylstage_entry.membership import Membership

# First byte of the datagram.
SUBSCRIPTION_TYPE = 36
# Seconds between two datagrams of a VM.
SUBSCRIPTION_INTERVAL_SECONDS = 1.0
# Seconds between two checks whether a VM has to subscribe.
CHECK_INTERVAL_SECONDS = 0.25
# Time for which a VM is sent to after its last datagram: two of three may be lost.
SUBSCRIPTION_SECONDS = 3.0
# Time without published changes after which a VM subscribes, whatever it knows of its
# record. Its removal is published to the remaining VMs only. The publisher publishes
# twice in this time.
MAX_SILENCE_SECONDS = 1.0
# Time without published changes after which other VMs are asked to forward the
# subscription, because the coordinator may have changed.
FORWARD_AFTER_SECONDS = 2.0
FORWARDING_VMS = 2
# Number of subscribers of a coordinator. Further ones are ignored.
MAX_SUBSCRIBERS = 1000

log = Logger(__name__)


class Subscription:
    """What a VM without a record sends.

    Parameters
    ----------
    control_address : str
        Address at which it listens for other VMs.
    forwarded : bool
        Whether another VM has passed it on. It is passed on once only.
    """

    __slots__ = ("control_address", "forwarded", "host")

    def __init__(self, control_address: str, forwarded: bool = False):
        self.control_address = control_address
        self.host, _ = split_host_port(control_address)
        self.forwarded = forwarded

    def encode(self) -> bytes:
        """Return the datagram."""
        doc = [self.control_address, int(self.forwarded)]
        return bytes([SUBSCRIPTION_TYPE]) + json.dumps(doc).encode()

    @classmethod
    def decode(cls, data: bytes) -> Subscription:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
            If the datagram is not a valid subscription.
        """
        try:
            address, forwarded = parse_json(data[1:])
            return cls(str(address), bool(forwarded))
        except (ValueError, TypeError) as exc:
            raise InvalidRecord(f"datagram is not a valid subscription: {exc}") from exc


class Subscribers:
    """The VMs that have subscribed with this one, until their time is over."""

    __slots__ = ("_expiries",)

    def __init__(self) -> None:
        # When each subscription ends, by control address.
        self._expiries: dict[str, float] = {}

    def renew(self, address: str, now: float) -> bool:
        """Start or prolong a subscription; return whether it is a new one."""
        self._drop_expired(now)
        is_new = address not in self._expiries
        if not is_new or len(self._expiries) < MAX_SUBSCRIBERS:
            self._expiries[address] = now + SUBSCRIPTION_SECONDS
        return is_new

    def addresses(self, now: float) -> set[str]:
        """Return the control addresses of the VMs that have subscribed."""
        self._drop_expired(now)
        return set(self._expiries)

    def _drop_expired(self, now: float) -> None:
        for address in [a for a, end in self._expiries.items() if end <= now]:
            del self._expiries[address]


def subscription_cause(
    is_registered: bool, is_listed: bool, silent_seconds: float
) -> str:
    """Return why a VM has to subscribe; empty if it does not.

    Parameters
    ----------
    is_registered : bool
        Whether the store has accepted its record or last renewal.
    is_listed : bool
        Whether its record is among those that it knows.
    silent_seconds : float
        Seconds since it last received published changes.
    """
    if not is_listed:
        return "no record"
    if not is_registered:
        return "lease not renewed"
    return "no updates" if silent_seconds > MAX_SILENCE_SECONDS else ""


class SubscriptionClient:
    """Subscribes with the coordinator for as long as this VM has to.

    Parameters
    ----------
    vm : str
    control_address : str
        Address at which this VM listens for others.
    membership : Membership
    rng : Random
    """

    def __init__(
        self, vm: str, control_address: str, membership: Membership, rng: Random
    ):
        self._vm = vm
        self._own = Subscription(control_address)
        self._membership = membership
        self._rng = rng
        self._task: asyncio.Task | None = None
        self._received_at = float("-inf")
        self._sent_at = float("-inf")
        self._cause = ""
        # VMs that have subscribed with this one.
        self.subscribers = Subscribers()
        self.is_coordinator: Callable[[], bool] = lambda: False
        self.coordinator_address: Callable[[], str] = lambda: ""
        self.send: Callable[[str, bytes], None] = lambda host, data: None
        # Called with the name of a counter to increment.
        self.count: Callable[[str], None] = lambda name: None

    def start(self) -> None:
        """Start to check whether this VM has to subscribe."""
        self._received_at = now()
        self._task = supervise("subscriptions", self._run)

    def stop(self) -> None:
        """Stop to subscribe."""
        if self._task is not None:
            self._task.cancel()

    def record_update(self) -> None:
        """Record that published changes have arrived."""
        self._received_at = now()

    def receive(self, data: bytes, host: str = "") -> None:
        """Take another VM's subscription, or pass it on to the coordinator."""
        try:
            subscription = Subscription.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid subscription ignored", extra={"cause": str(exc)})
            return
        address = subscription.control_address
        if address == self._own.control_address:
            return
        if self.is_coordinator():
            if self.subscribers.renew(address, now()):
                self.count("subscribers")
                log.info("VM without a record subscribed", extra={"vm": address})
        elif not subscription.forwarded:
            forwarded = Subscription(address, forwarded=True)
            self._send_to_coordinator(forwarded.encode())

    def subscriber_addresses(self) -> set[str]:
        """Return the control addresses to publish to beside those of the members."""
        return self.subscribers.addresses(now()) if self.is_coordinator() else set()

    def subscriber_hosts(self) -> set[str]:
        """Return the hosts to publish to beside those of the members."""
        return {split_host_port(address)[0] for address in self.subscriber_addresses()}

    def check(self) -> None:
        """Subscribe if this VM has to, and has not done so within the interval."""
        silent_seconds = now() - self._received_at
        cause = ""
        if not self.is_coordinator():
            cause = subscription_cause(
                self._membership.is_registered,
                self._vm in self._membership.names(),
                silent_seconds,
            )
        if bool(cause) != bool(self._cause):
            log.info("subscription", extra={"active": bool(cause), "cause": cause})
        self._cause = cause
        if not cause or now() - self._sent_at < SUBSCRIPTION_INTERVAL_SECONDS:
            return
        self._sent_at = now()
        self.count("subscriptions_sent")
        self._send_to_coordinator(self._own.encode())
        if silent_seconds > FORWARD_AFTER_SECONDS:
            hosts = sorted(
                {m.host for m in self._membership.members()} - {self._own.host}
            )
            for host in self._rng.sample(hosts, min(FORWARDING_VMS, len(hosts))):
                self.send(host, self._own.encode())

    def _send_to_coordinator(self, data: bytes) -> None:
        address = self.coordinator_address()
        if address and address != self._own.control_address:
            self.send(split_host_port(address)[0], data)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()
