"""Finds out whether any VM has requests at a target that refuses connections.

A target that leaves closes its port first and completes the requests that it has, and
all VMs are refused alike. If it were taken for terminated, its keys would be granted to
another target while it still works on them. A process that has ended closes all
connections, so no VM has one open.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.work_messages import WorkQuestion, WorkReply

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.membership import Membership
    from berylstage_entry.target_clients import TargetClients
    from berylstage_entry.targets import Target

# Number of times that a VM is asked, and the seconds to wait for its answer each time.
# A datagram may be lost; a round trip takes some milliseconds.
ATTEMPTS = 3
REPLY_TIMEOUT_SECONDS = 0.1
# Seconds for which a VM is asked after its record has gone, unless requests last
# longer: VMs whose records have lapsed in an outage of the store go on serving, and
# write them again within this time.
DEPARTED_VM_SECONDS = 15.0
# Question numbers are drawn from the numbers below this one.
FIRST_NUMBERS = 1 << 31

log = Logger(__name__)


class _Survey:
    """A question and what VMs have answered.

    Parameters
    ----------
    hosts : set of str
        VMs that are asked.
    """

    __slots__ = ("busy", "ended", "missing")

    def __init__(self, hosts: set[str]):
        # VMs that have not answered, and those that may have requests at the target.
        self.missing = hosts
        self.busy: set[str] = set()
        self.ended = asyncio.Event()

    @property
    def doubtful(self) -> set[str]:
        """VMs that do not rule out that the target runs their requests."""
        return self.busy or self.missing

    def record_reply(self, host: str, may_run: bool) -> None:
        """Record a VM's answer."""
        self.missing.discard(host)
        if may_run:
            self.busy.add(host)
        if self.busy or not self.missing:
            self.ended.set()


class WorkSurvey:
    """Asks all VMs for their requests at a target, and answers the same question.

    Parameters
    ----------
    clients : TargetClients
    cluster_view : ClusterView
    membership : Membership
    host : str
        Host of this VM.
    rng : Random
    """

    def __init__(
        self,
        clients: TargetClients,
        cluster_view: ClusterView,
        membership: Membership,
        host: str,
        rng: Random,
    ):
        self._clients = clients
        self._cluster_view = cluster_view
        self._membership = membership
        self._host = host
        self._next_number = rng.randrange(FIRST_NUMBERS)
        self._surveys: dict[int, _Survey] = {}
        self._started_at = now()
        self._known_hosts: set[str] = set()
        # When the records of VMs that are no longer known have gone.
        self._departed_at: dict[str, float] = {}
        # VMs that did not rule out requests at the target asked about last.
        self._doubtful: set[str] = set()
        # Sends a datagram to the VM of a host.
        self.send: Callable[[str, bytes], None] = lambda host, data: None

    def update_members(self) -> None:
        """Take note of VMs whose records have gone.

        A VM that stops removes its record before its last requests have ended.
        """
        hosts = {member.host for member in self._membership.members()}
        for host in self._known_hosts - hosts:
            self._departed_at[host] = now()
        for host in hosts:
            self._departed_at.pop(host, None)
        self._known_hosts = hosts

    async def is_idle(self, target: Target, withhold_seconds: float) -> bool:
        """Tell whether a target certainly runs no request, and will be sent none.

        Parameters
        ----------
        target : Target
        withhold_seconds : float
            Seconds for which all VMs then send it nothing.

        Returns
        -------
        bool
            False also if a VM does not answer.
        """
        if not self._withhold_if_idle(target.identity, withhold_seconds):
            log.info(
                "target that refuses connections may run requests of this VM",
                extra={"target": target.name},
            )
            return False
        hosts = self._hosts()
        # VMs that have not answered lately, or had requests, are asked first: where
        # hundreds of VMs are to be asked about many targets, one of them decides.
        for group in (hosts & self._doubtful, hosts - self._doubtful):
            survey = await self._ask(target, group, withhold_seconds)
            if survey.doubtful:
                self._doubtful = survey.doubtful
                self._log_doubt(target, survey)
                return False
        self._doubtful = set()
        return True

    async def _ask(
        self, target: Target, hosts: set[str], withhold_seconds: float
    ) -> _Survey:
        """Ask VMs until all have answered, or one has requests."""
        survey = _Survey(hosts)
        number = self._next_number
        self._next_number = (number + 1) % (2 * FIRST_NUMBERS)
        self._surveys[number] = survey
        question = WorkQuestion(number, *target.identity, withhold_seconds).encode()
        try:
            for _ in range(ATTEMPTS):
                if not survey.missing or survey.busy:
                    break
                for host in sorted(survey.missing):
                    self.send(host, question)
                with suppress(TimeoutError):
                    async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                        await survey.ended.wait()
        finally:
            del self._surveys[number]
        return survey

    def receive_question(self, data: bytes, host: str) -> None:
        """Answer the coordinator's question."""
        try:
            question = WorkQuestion.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid work question ignored", extra={"cause": str(exc)})
            return
        is_idle = self._withhold_if_idle(question.identity, question.withhold_seconds)
        self.send(host, WorkReply(question.number, not is_idle).encode())

    def receive_reply(self, data: bytes, host: str) -> None:
        """Take another VM's answer."""
        try:
            reply = WorkReply.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid work reply ignored", extra={"cause": str(exc)})
            return
        survey = self._surveys.get(reply.number)
        if survey is not None:
            survey.record_reply(host, reply.may_run)

    def _withhold_if_idle(
        self, identity: tuple[str, int], withhold_seconds: float
    ) -> bool:
        """Tell whether a target runs nothing of this VM, and send it nothing then."""
        # Requests of an earlier process of this VM may still run.
        is_new = now() - self._started_at < self._longest_request_seconds()
        if is_new or self._clients.may_run_requests(identity):
            return False
        self._clients.sent_requests.withhold(identity, withhold_seconds)
        return True

    def _hosts(self) -> set[str]:
        """Return the other VMs that may have requests at targets."""
        longest = max(DEPARTED_VM_SECONDS, self._longest_request_seconds())
        asked_since = now() - longest
        departed = {host for host, at in self._departed_at.items() if at > asked_since}
        members = {member.host for member in self._membership.members()}
        return (members | departed) - {self._host}

    def _longest_request_seconds(self) -> float:
        """Return how long requests may last; infinite while that is not known."""
        cfg = self._cluster_view.configuration
        if cfg is None:
            return inf
        return max((route.timeout for route in cfg.routes), default=0.0)

    def _log_doubt(self, target: Target, survey: _Survey) -> None:
        log.info(
            "target that refuses connections may run requests of other VMs",
            extra={
                "target": target.name,
                "vms": sorted(survey.doubtful),
                "cause": "requests" if survey.busy else "no answer",
            },
        )
