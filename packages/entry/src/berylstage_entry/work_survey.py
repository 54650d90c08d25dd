"""Finds out whether any VM has requests at a target that refuses connections.

A target that leaves closes its port first and completes the requests that it has, and
all VMs are refused alike. If it were taken for terminated, its keys would be granted to
another target while it still works on them. A process that has ended closes all
connections, so no VM has one open.
"""

from __future__ import annotations

import asyncio
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
# Question numbers are drawn from the numbers below this one.
FIRST_NUMBERS = 1 << 31

log = Logger(__name__)


class _Survey:
    """A question and the VMs whose answers are missing."""

    __slots__ = ("ended", "is_busy", "missing")

    def __init__(self, hosts: set[str]):
        self.missing = hosts
        # Whether a VM has said that it may have requests at the target.
        self.is_busy = False
        self.ended = asyncio.Event()


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
        # When VMs that have stopped were no longer known.
        self._departed_at: dict[str, float] = {}
        # Sends a datagram to the VM of a host.
        self.send: Callable[[str, bytes], None] = lambda host, data: None

    def update_members(self) -> None:
        """Take note of VMs that have stopped.

        They are no longer known before their last requests have ended.
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
            self._log_work(target, "this VM")
            return False
        survey = _Survey(self._hosts())
        number = self._next_number
        self._next_number = (number + 1) % (2 * FIRST_NUMBERS)
        self._surveys[number] = survey
        question = WorkQuestion(number, *target.identity, withhold_seconds)
        try:
            await self._ask(survey, question.encode())
        finally:
            del self._surveys[number]
        if survey.is_busy:
            self._log_work(target, "another VM")
        elif survey.missing:
            log.info(
                "VMs did not say whether a target runs their requests",
                extra={"target": target.name, "vms": sorted(survey.missing)},
            )
        return not survey.is_busy and not survey.missing

    async def _ask(self, survey: _Survey, question: bytes) -> None:
        """Ask the VMs until all have answered, or one has requests."""
        for _ in range(ATTEMPTS):
            if not survey.missing:
                return
            for host in sorted(survey.missing):
                self.send(host, question)
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    await survey.ended.wait()
                return
            except TimeoutError:
                continue

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
        if survey is None:
            return
        survey.missing.discard(host)
        survey.is_busy |= reply.may_run
        if survey.is_busy or not survey.missing:
            survey.ended.set()

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
        moment, longest = now(), self._longest_request_seconds()
        departed = {
            host for host, at in self._departed_at.items() if moment - at < longest
        }
        members = {member.host for member in self._membership.members()}
        return (members | departed) - {self._host}

    def _longest_request_seconds(self) -> float:
        cfg = self._cluster_view.configuration
        timeouts = [route.timeout for route in cfg.routes] if cfg is not None else []
        return max(timeouts, default=0.0)

    def _log_work(self, target: Target, whose: str) -> None:
        log.info(
            "target that refuses connections may still run requests",
            extra={"target": target.name, "of": whose},
        )
