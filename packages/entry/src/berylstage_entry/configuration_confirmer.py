"""Keeps the proof that this VM's configuration is recent enough for API keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_policy.confirmation import (
    Confirmation,
    Role,
    should_ask,
    should_read,
)
from logbook import Logger

from berylstage_entry.addresses import split_host_port
from berylstage_entry.clock import now
from berylstage_entry.confirmation_messages import (
    ConfirmationReply,
    ConfirmationRequest,
)
from berylstage_entry.errors import InvalidRecord, StoreError
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.membership import Membership
    from berylstage_entry.store_watcher import StoreWatcher

# Interval of the checks whether the configuration must be confirmed.
CHECK_INTERVAL_SECONDS = 0.2
# Delay before a failed reading is repeated.
READ_RETRY_SECONDS = 0.5
# Time for which a request waits for a confirmation: some round trips between VMs. A VM
# that stood still has no recent confirmation, although it is in touch.
MAX_WAIT_SECONDS = 0.15
# Question numbers are drawn from the numbers below this one.
FIRST_NUMBERS = 1 << 31

log = Logger(__name__)


class ConfigurationConfirmer:
    """Asks other VMs, or reads the store, before the configuration is too old.

    Parameters
    ----------
    store_watcher : StoreWatcher
    cluster_view : ClusterView
    membership : Membership
    host : str
        Host of this VM.
    revocation_seconds : float
        Seconds after which an API key that was taken away must not be served; infinite
        if there is no such limit.
    rng : Random
    """

    def __init__(
        self,
        store_watcher: StoreWatcher,
        cluster_view: ClusterView,
        membership: Membership,
        host: str,
        revocation_seconds: float,
        rng: Random,
    ):
        self._store_watcher = store_watcher
        self._cluster_view = cluster_view
        self._membership = membership
        self._host = host
        self._rng = rng
        self._is_limited = revocation_seconds < float("inf")
        self._confirmation = Confirmation(
            revocation_seconds, rng.randrange(FIRST_NUMBERS)
        )
        self._task: asyncio.Task | None = None
        self._confirmed = asyncio.Event()
        self._read_failed_at = float("-inf")
        # Time of the first question since the last confirmation.
        self._unanswered_since = float("inf")
        # Whether this VM is the coordinator, and the coordinator's address.
        self.is_coordinator: Callable[[], bool] = lambda: False
        self.coordinator_address: Callable[[], str] = lambda: ""
        self.is_standby: Callable[[], bool] = lambda: False
        # Sends a datagram to the VM of a host.
        self.send: Callable[[str, bytes], None] = lambda host, data: None

    def start(self) -> None:
        """Start to confirm the configuration, if there is a limit."""
        if self._is_limited:
            self._task = supervise("configuration confirmations", self._run)

    def stop(self) -> None:
        """Stop confirming the configuration."""
        if self._task is not None:
            self._task.cancel()

    def age(self) -> float:
        """Return the seconds since the configuration was known to be the store's."""
        return self._confirmation.age(now())

    def may_serve_keys(self) -> bool:
        """Return whether the configuration is recent enough to serve API keys."""
        return not self._is_limited or self._confirmation.is_recent(now())

    async def wait_until_recent(self) -> bool:
        """Wait shortly for a confirmation; return whether API keys may be served."""
        if self.may_serve_keys():
            return True
        if now() - self._unanswered_since > MAX_WAIT_SECONDS:
            # The other VMs have not confirmed it so far; waiting would not help.
            return False
        self._ask()
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                while not self.may_serve_keys():
                    self._confirmed.clear()
                    await self._confirmed.wait()
        except TimeoutError:
            return False
        return True

    def receive_request(self, data: bytes, host: str) -> None:
        """Answer another VM's question."""
        try:
            request = ConfirmationRequest.decode(data)
        except InvalidRecord as exc:
            log.warning(
                "invalid confirmation request ignored", extra={"cause": str(exc)}
            )
            return
        version = self._version()
        if version is not None and self.may_serve_keys():
            reply = ConfirmationReply(request.number, version, self.age())
            self.send(host, reply.encode())

    def receive_reply(self, data: bytes, host: str = "") -> None:
        """Take another VM's answer."""
        try:
            reply = ConfirmationReply.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid confirmation reply ignored", extra={"cause": str(exc)})
            return
        version = self._version()
        if version is None:
            return
        if self._confirmation.accept(reply.number, reply.version, reply.age, version):
            self._mark_confirmed()
        else:
            # This VM has missed a configuration.
            self._store_watcher.request_refresh(CallCause.MISSED_CONFIGURATION)

    def _version(self) -> int | None:
        cfg = self._cluster_view.configuration
        return cfg.version if cfg is not None else None

    def _role(self) -> Role:
        if self.is_coordinator():
            return Role.COORDINATOR
        return Role.STANDBY if self.is_standby() else Role.OTHER

    async def _run(self) -> None:
        while True:
            # VMs that start together would otherwise all ask at the same moments.
            await asyncio.sleep(CHECK_INTERVAL_SECONDS * self._rng.uniform(0.75, 1.25))
            cfg = self._cluster_view.configuration
            if cfg is None or cfg.workspaces is None:
                continue
            was_recent = self.may_serve_keys()
            role, age = self._role(), self.age()
            if should_ask(age) and role is not Role.COORDINATOR:
                self._ask()
            if should_read(age, role) and self._may_read(role):
                await self._read()
            self._log_change(was_recent)

    def _log_change(self, was_recent: bool) -> None:
        if self.may_serve_keys() == was_recent:
            return
        version, age = self._version(), round(self.age(), 2)
        if was_recent:
            log.warning(
                "configuration not confirmed; API keys refused",
                extra={"version": version, "age": age},
            )
        else:
            log.info(
                "configuration confirmed again", extra={"version": version, "age": age}
            )

    def _may_read(self, role: Role) -> bool:
        if now() - self._read_failed_at < READ_RETRY_SECONDS:
            return False
        # While the store is away, the readers find out when it is back.
        return role is not Role.OTHER or self._store_watcher.is_up_to_date()

    async def _read(self) -> None:
        asked_at = now()
        try:
            if await self._store_watcher.read_configuration():
                self._confirmation.record_reading(asked_at)
                self._mark_confirmed()
        except StoreError as exc:
            self._read_failed_at = now()
            self._store_watcher.record_failure(exc)

    def _mark_confirmed(self) -> None:
        self._unanswered_since = float("inf")
        self._confirmed.set()

    def _ask(self) -> None:
        """Ask the coordinator and, if it has not answered for a while, others too."""
        hosts = set()
        if address := self.coordinator_address():
            hosts.add(split_host_port(address)[0])
        if not hosts - {self._host} or should_read(self.age(), Role.STANDBY):
            members = [m.host for m in self._membership.members()]
            hosts.update(self._rng.sample(members, min(2, len(members))))
        self._unanswered_since = min(self._unanswered_since, now())
        for host in hosts - {self._host}:
            request = ConfirmationRequest(self._confirmation.ask(now()))
            self.send(host, request.encode())
