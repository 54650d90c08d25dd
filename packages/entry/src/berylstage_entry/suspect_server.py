"""Server side of trials, for the services assigned to this VM.

Each VM keeps the evidence of the fleet as it is told, so that any of them can go on
from there when the VM that decided is lost.
"""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from berylstage_policy.suspects import EXCLUSIVE_ENDS, TrialId, TrialRequest
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.request_fingerprint import format_fingerprint
from berylstage_entry.supervision import supervise
from berylstage_entry.suspect_messages import (
    NO_TRIAL,
    STATES_PER_DATAGRAM,
    Outcome,
    OutcomeReport,
    TrialReply,
    TrialRequestMessage,
    decode_news,
    encode_news,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_policy.suspects import SuspectRegistry

    from berylstage_entry.membership import Membership

# Seconds for which changes are collected before all VMs are told, at least and for each
# VM: in a flood of suspects, one VM sends to all others.
MIN_NEWS_DELAY_SECONDS = 0.005
NEWS_DELAY_SECONDS_PER_VM = 0.0001
# Suspects that all VMs are told of at once.
MAX_STATES_AT_ONCE = 4 * STATES_PER_DATAGRAM
# Interval at which suspects are told again, for VMs that have started since or missed
# a datagram.
REFRESH_SECONDS = 1.0
# Log lines per second about suspects.
LINES_PER_SECOND = 10.0

log = Logger(__name__)


class SuspectServer:
    """Decides about trials, and tells all VMs of suspects.

    Parameters
    ----------
    registry : SuspectRegistry
        What this VM knows of suspects.
    membership : Membership
    """

    def __init__(self, registry: SuspectRegistry, membership: Membership):
        self._registry = registry
        self._membership = membership
        # Suspects that this VM decides about: those that have changed, and those that
        # are told again.
        self._changed: set[int] = set()
        self._grave: set[int] = set()
        self._news_task: asyncio.Task | None = None
        self._refresh_task: asyncio.Task | None = None
        self._log_limiter = LogRateLimiter(LINES_PER_SECOND)
        # Sends a datagram to all other VMs.
        self.send_to_all: Callable[[bytes], None] = lambda data: None
        # Sends a datagram to the VM of a host, which may be this one.
        self.send: Callable[[str, bytes], None] = lambda host, data: None
        # Counts an event, by name.
        self.count_event: Callable[[str], None] = lambda name: None

    def stop(self) -> None:
        """Stop telling the other VMs."""
        for task in (self._news_task, self._refresh_task):
            if task is not None:
                task.cancel()

    def receive_report(self, data: bytes, host: str) -> None:
        """Handle the datagram of an outcome."""
        try:
            self._handle_report(OutcomeReport.decode(data), host)
        except InvalidRecord as exc:
            log.warning(
                "invalid report of a suspect ignored", extra={"cause": str(exc)}
            )

    def receive_request(self, data: bytes, host: str) -> None:
        """Handle the datagram of a trial request."""
        try:
            self._handle_request(TrialRequestMessage.decode(data), host)
        except InvalidRecord as exc:
            log.warning("invalid trial request ignored", extra={"cause": str(exc)})

    def receive_news(self, data: bytes, host: str) -> None:
        """Take over what another VM tells of suspects."""
        try:
            states = decode_news(data)
        except InvalidRecord as exc:
            log.warning("invalid news of suspects ignored", extra={"cause": str(exc)})
            return
        moment = now()
        for state in states:
            self._registry.adopt(state, moment)

    def _handle_report(self, report: OutcomeReport, host: str) -> None:
        trial_id = TrialId(host, report.number) if report.number != NO_TRIAL else None
        if report.outcome is Outcome.TARGET_ENDED:
            self._handle_end(report, trial_id, host)
        elif report.outcome is Outcome.ANSWERED:
            if self._registry.record_answer(report.fingerprint):
                self._tell(report.fingerprint)
                self.count_event("suspect cleared")
                self._log("cleared", report.fingerprint, host)
        elif trial_id is not None:
            self._registry.release(report.fingerprint, trial_id)

    def _handle_request(self, message: TrialRequestMessage, host: str) -> None:
        moment, state = now(), message.state
        if self._registry.add_ends(state.fingerprint, state.ends, moment):
            # A report was lost, or another VM decided until now.
            self._tell(state.fingerprint)
        request = TrialRequest(
            state.fingerprint,
            TrialId(host, message.number),
            message.lane,
            message.seconds,
            message.is_keyed,
        )
        decision = self._registry.request_trial(request, moment)
        reply = TrialReply(message.number, decision.status, decision.seconds)
        self.send(host, reply.encode())

    def _handle_end(
        self, report: OutcomeReport, trial_id: TrialId | None, host: str
    ) -> None:
        is_convicted = self._registry.record_end(
            report.fingerprint, report.end, trial_id, now()
        )
        self._tell(report.fingerprint)
        self.count_event("target ended under suspect")
        if is_convicted:
            self.count_event("suspect convicted")
            self._log("convicted", report.fingerprint, host)
        else:
            self._log("suspected", report.fingerprint, host)

    def _log(self, change: str, fingerprint: int, host: str) -> None:
        if not self._log_limiter.take():
            return
        state = self._registry.describe(fingerprint, now())
        log.info(
            "suspect changed",
            extra={
                "change": change,
                "fingerprint": format_fingerprint(fingerprint),
                "ends": len(state.ends),
                "refused_for": round(state.seconds, 1),
                "from": host,
                "left_out": self._log_limiter.take_suppressed_count(),
            },
        )

    def _tell(self, fingerprint: int) -> None:
        """Tell all VMs of a suspect, together with others."""
        self._changed.add(fingerprint)
        self._grave.add(fingerprint)
        if self._news_task is None or self._news_task.done():
            self._news_task = supervise("news of suspects", self._send_news)
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = supervise("repeats of suspects", self._refresh)

    async def _send_news(self) -> None:
        vms = len(self._membership.members())
        while self._changed:
            due = set(islice(self._changed, MAX_STATES_AT_ONCE))
            self._changed -= due
            self._send_states(due)
            await asyncio.sleep(
                max(MIN_NEWS_DELAY_SECONDS, NEWS_DELAY_SECONDS_PER_VM * vms)
            )

    async def _refresh(self) -> None:
        """Tell again of suspects that need exclusive trials.

        Most suspects have been at one target that ended for another reason, and many
        of them are never sent again.
        """
        while True:
            await asyncio.sleep(REFRESH_SECONDS)
            self._grave = {
                f for f in self._grave if self._count_ends(f) >= EXCLUSIVE_ENDS
            }
            if not self._grave:
                return
            self._send_states(set(islice(self._grave, STATES_PER_DATAGRAM)))

    def _count_ends(self, fingerprint: int) -> int:
        return len(self._registry.describe(fingerprint, now()).ends)

    def _send_states(self, fingerprints: set[int]) -> None:
        moment = now()
        states = [self._registry.describe(f, moment) for f in fingerprints]
        for data in encode_news(states):
            self.send_to_all(data)
