"""Memory for bodies, untaken answers and unread input of a VM's callers."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import Refused
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.memory.budget import (
    FreedRate,
    MemoryBudget,
    compute_budget_bytes,
)
from berylstage_entry.memory.untaken_answers import UntakenAnswer, choose_disconnects
from berylstage_entry.memory.upload_times import compute_link_bytes_per_second
from berylstage_entry.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from berylstage_entry.connection import CallerConnection

# Seconds between two checks of what callers have taken of their answers.
TAKEN_CHECK_SECONDS = 0.1
# Retry-After for a request that is no upload and whose head or body does not fit.
# Within this time a target receives a body of that size.
RETRY_AFTER_SECONDS = 0.5
# Log lines per second for refused uploads, as a VM may refuse hundreds in a second.
REFUSAL_LINES_PER_SECOND = 5.0
# Log lines per second for pauses of reading, as memory may fill and empty often.
PAUSE_LINES_PER_SECOND = 1.0

log = Logger(__name__)


class BufferMemory:
    """Reserves and releases the memory of bodies, answers and unread input.

    Parameters
    ----------
    memory_bytes : int, optional
        Memory of the VM; None if it is not known. Reading is paused only if it is
        known, and so are callers disconnected that do not take their answers.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s.
    metrics : Metrics, optional
    """

    def __init__(
        self,
        memory_bytes: int | None = None,
        link_mbps: float = 0.0,
        metrics: Metrics | None = None,
    ):
        self.budget = MemoryBudget(compute_budget_bytes(memory_bytes))
        self._is_limited = memory_bytes is not None
        self._freed_rate = FreedRate(compute_link_bytes_per_second(link_mbps))
        self._metrics = metrics or Metrics()
        self._log_limiter = LogRateLimiter(REFUSAL_LINES_PER_SECOND)
        self._pause_limiter = LogRateLimiter(PAUSE_LINES_PER_SECOND)
        # Returns all connections, some of which pause reading while memory is full.
        self.connections: Callable[[], Iterable[CallerConnection]] = lambda: ()
        self._is_paused = False
        # Requests of all connections from their heads to their responses.
        self.requests_in_progress = 0
        self._update_handle: asyncio.Handle | None = None
        self._end_heads_handle: asyncio.Handle | None = None
        # Connections with answers that the kernel has not taken.
        self._untaken: set[CallerConnection] = set()
        self._timer: asyncio.TimerHandle | None = None
        # Most bytes that did not fit since the last check.
        self._missing = 0

    # Heads.

    def reserve_large_head(self, size: int) -> bool:
        """Reserve memory for a large head; return False if it does not fit.

        Requests whose heads are unfinished have to make room for it.
        """
        self._end_unfinished_heads(size)
        if self.budget.missing_head_bytes(size):
            return False
        self.budget.add_head(size)
        self._update_reading()
        return True

    def release_large_head(self, size: int) -> None:
        """Release the memory of a large head."""
        if size:
            self.budget.add_head(-size)
            self._update_reading()

    def count_unfinished_head(self, change: int) -> None:
        """Count bytes of heads that are being received, or that are complete."""
        if not change:
            return
        self.budget.add_head(change)
        self._update_reading()
        if self._end_heads_handle is None and self.budget.missing_head_bytes(0):
            loop = asyncio.get_running_loop()
            self._end_heads_handle = loop.call_soon(self._end_unfinished_heads, 0)

    def _end_unfinished_heads(self, size: int) -> None:
        """Refuse the requests whose heads have been unfinished for the longest time.

        Callers that never finish theirs would otherwise keep the memory from others.

        Parameters
        ----------
        size : int
            Bytes that must fit afterwards.
        """
        if self._end_heads_handle is not None:
            self._end_heads_handle.cancel()
            self._end_heads_handle = None
        if not self.budget.missing_head_bytes(size):
            return
        conns = [conn for conn in self.connections() if conn.intake.is_receiving_head]
        conns.sort(key=lambda conn: conn.intake.begun_at)
        for conn in conns:
            if not self.budget.missing_head_bytes(size):
                break
            self._metrics.increment("unfinished head refused for memory")
            conn.refuse_unfinished_head(Refused("head-memory", RETRY_AFTER_SECONDS))

    def refuse_head(self) -> Refused:
        """Return the refusal of a request whose large head does not fit."""
        self._metrics.increment("large head refused for memory")
        return Refused("head-memory", RETRY_AFTER_SECONDS)

    # Bodies and answers.

    def reserve_body(self, size: int, is_upload: bool = False) -> bool:
        """Reserve memory for bytes of a body; return False if they do not fit."""
        if self.budget.missing_bytes(size, is_upload):
            self._missing = max(self._missing, self.budget.missing_bytes(size, False))
            return False
        self.budget.add(size, is_upload)
        self._update_reading()
        return True

    def reserve_expected_answer(self, size: int) -> int:
        """Count the expected bytes of an answer, and return the counted number.

        Requests that are started at once, for instance after a pause, would otherwise
        all be started before the answer of any of them is counted.
        """
        return self.reserve_answer(size) if self._is_limited else 0

    def reserve_answer(self, size: int) -> int:
        """Count bytes of an answer or of unread input, and return their number."""
        self.budget.add(size)
        self._update_reading()
        return size

    def release(self, size: int, is_upload: bool = False) -> None:
        """Release reserved memory."""
        if not size:
            return
        self.budget.remove(size, is_upload)
        if is_upload:
            self._freed_rate.record(size, now())
        self._update_reading()

    def refuse_body(self) -> Refused:
        """Return the refusal of a request whose body does not fit."""
        self._metrics.increment("body refused for memory")
        return Refused("body-memory", RETRY_AFTER_SECONDS)

    def refuse_upload(self, size: int, time_left: float) -> Refused:
        """Return the refusal of an upload whose body does not fit.

        Parameters
        ----------
        size : int
            Declared bytes of the body, or those that did not fit.
        time_left : float
            Seconds that the caller has left.
        """
        moment = now()
        missing = self.budget.missing_bytes(size, True)
        retry_after = self._freed_rate.promise(missing, time_left, moment)
        self._metrics.increment("upload refused for memory")
        detail = (
            f"{size} bytes, used {self.budget.used} of {self.budget.capacity}, "
            f"uploads {self.budget.upload_used}"
        )
        if self._log_limiter.take():
            log.info(
                "upload refused for memory",
                extra={
                    "bytes": size,
                    "used": self.budget.used,
                    "uploads": self.budget.upload_used,
                    "capacity": self.budget.capacity,
                    "freed_per_s": round(self._freed_rate.bytes_per_second(moment)),
                    "back_in": round(retry_after, 3),
                    "left_out": self._log_limiter.take_suppressed_count(),
                },
            )
        return Refused("upload-memory", retry_after, detail)

    # Reading.

    @property
    def allows_pipelining(self) -> bool:
        """Whether connections with a request in progress may start another one."""
        has_room = self.requests_in_progress < self.budget.max_pipelining_requests
        return has_room and not self.budget.is_full

    @property
    def pauses_reading(self) -> bool:
        """Whether no further request is read, because the budget is used up."""
        return self._is_limited and self.budget.is_full

    def _update_reading(self) -> None:
        """Let the connections pause reading at once, or resume it soon.

        What has been read is always parsed. Input that waited for memory would itself
        be counted, and might keep the memory full. Connections that are ready to be
        read in the same iteration of the event loop must not be read any more: after a
        pause, all of them are.
        """
        if self.pauses_reading == self._is_paused:
            return
        if self.pauses_reading:
            self._update_connections()
        elif self._update_handle is None:
            loop = asyncio.get_running_loop()
            self._update_handle = loop.call_soon(self._resume_connections)

    def _resume_connections(self) -> None:
        self._update_handle = None
        self._update_connections()

    def _update_connections(self) -> None:
        if self.pauses_reading == self._is_paused:
            return
        self._is_paused = self.pauses_reading
        if self._is_paused:
            self._metrics.increment("reading paused for memory")
        if self._is_paused and self._pause_limiter.take():
            log.info(
                "reading paused for memory",
                extra={
                    "used": self.budget.used,
                    "capacity": self.budget.capacity,
                    "left_out": self._pause_limiter.take_suppressed_count(),
                },
            )
        for conn in list(self.connections()):
            conn.update_reading()

    # Answers that are not taken.

    def watch(self, conn: CallerConnection) -> None:
        """Follow how much of its answers a connection's caller takes."""
        self._untaken.add(conn)
        self._schedule_check()

    def forget(self, conn: CallerConnection) -> None:
        """Stop following a connection that is closed."""
        self._untaken.discard(conn)

    def _schedule_check(self) -> None:
        if self._timer is None and self._untaken:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TAKEN_CHECK_SECONDS, self._check_taken)

    def _check_taken(self) -> None:
        self._timer = None
        for conn in list(self._untaken):
            if not conn.memory.count_untaken_answers():
                self._untaken.discard(conn)
        missing, self._missing = self._missing, 0
        if self.budget.is_full:
            missing = max(missing, self.budget.used - self.budget.capacity + 1)
        if missing and self._is_limited:
            self._disconnect(missing)
        self._schedule_check()

    def _disconnect(self, missing: int) -> None:
        """Disconnect callers that do not take their answers, to free memory."""
        moment = now()
        by_id = {id(conn): conn for conn in self._untaken}
        answers = [
            conn.memory.describe_untaken(number) for number, conn in by_id.items()
        ]
        for answer in choose_disconnects(answers, missing, moment):
            conn = by_id[answer.connection]
            self._metrics.increment("caller disconnected for memory")
            log.warning(
                "caller disconnected for memory",
                extra={
                    "id": conn.last_request_id,
                    "bytes": answer.size,
                    "stalled": round(moment - answer.last_taken_at, 1),
                    "late": round(moment - answer.deadline, 1),
                },
            )
            conn.memory.disconnect()


class TakenAnswers:
    """What the caller of one connection has taken of its answers.

    Attributes
    ----------
    counted : int
        Bytes that are counted in the budget.
    last_taken_at : float
        Monotonic seconds.
    deadline : float
        Monotonic seconds at which the caller stops waiting for its latest answer.
    """

    __slots__ = ("counted", "deadline", "last_taken_at", "_last_unacknowledged")

    def __init__(self) -> None:
        self.counted = 0
        self.deadline = -inf
        self.last_taken_at = now()
        self._last_unacknowledged = 0

    def record_answer(self, deadline: float, unacknowledged: int) -> None:
        """Record that an answer was written.

        Parameters
        ----------
        deadline : float
            Monotonic seconds at which its caller stops waiting.
        unacknowledged : int
            Bytes that the caller has not acknowledged, with this answer.
        """
        self.deadline = max(self.deadline, deadline)
        if not self._last_unacknowledged:
            self.last_taken_at = now()
        self._last_unacknowledged = unacknowledged

    def record_unacknowledged(self, unacknowledged: int) -> None:
        """Record the bytes that the caller has not acknowledged."""
        if unacknowledged < self._last_unacknowledged:
            self.last_taken_at = now()
        self._last_unacknowledged = unacknowledged

    def describe(self, connection: int) -> UntakenAnswer:
        """Return the untaken answers with the connection's identifier."""
        return UntakenAnswer(
            connection, self.counted, self.last_taken_at, self.deadline
        )
