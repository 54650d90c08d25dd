"""Budget of the memory that bodies, untaken answers and unread input share.

Answers the load of several hundred uploads at once at a VM of 160 MB. Each fits in
memory, all together do not, and a VM that is killed for its memory use loses all its
requests. Uploads are refused first, because each takes the memory of hundreds of small
requests.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Largest budget, in bytes: a third of the memory of a VM of 300 MB. Without a limit,
# five bodies of 64 MB at once would get such a VM killed.
MAX_BUDGET_BYTES = 100 * 1024 * 1024
# Smallest budget, in bytes: a few bodies of the usual largest size.
MIN_BUDGET_BYTES = 4 * 1024 * 1024
# Memory of the process without buffered bytes, in bytes; 40 to 44 MB were measured.
PROCESS_BYTES = 45_000_000
# Memory that a buffered byte costs, in bytes: the byte itself, its copy in a sending or
# joining buffer, and the fragmentation of the heap.
MEMORY_PER_BUFFERED_BYTE = 1.6
# Share of the VM's memory that the process may use. A VM of 160 MB stays below 120 MB,
# and a VM of 300 MB keeps the largest budget.
MEMORY_SHARE = 0.72
# Share of the budget that uploads may use. The rest is reserved for the bodies and
# answers of small requests.
UPLOAD_SHARE = 0.75

# Share of the budget that unfinished and large heads may use. The rest is reserved for
# small requests.
HEAD_SHARE = 0.5
# Memory of a header while its request is sent to a target, in buffered bytes, beside
# those of its name and value.
HEADER_LINE_BYTES = 64
# Bytes of the headers above which a head is large: several times those of an ordinary
# request.
LARGE_HEADERS_BYTES = 4 * 1024

# Memory of a request that is served, in buffered bytes: its task, and its connection to
# a target.
REQUEST_BYTES = 12 * 1024
# Requests in progress up to which further ones of the same connections start, whatever
# the memory.
MIN_PIPELINING_REQUESTS = 256

# Bytes of answers that may be arriving, as a share of the budget, which counts answers
# that have arrived. Both are rarely used up at the same time, as the budget leaves out
# more than a quarter of the memory.
ARRIVING_SHARE = 1 / 3

# Time constant of the measured rate at which uploads free memory, in seconds: about
# the time that an upload takes, so that the rate covers several of them.
FREED_RATE_SECONDS = 2.0
# Freed bytes per second that are assumed at least, so that a stop of all uploads does
# not put the time to come back hours ahead.
MIN_FREED_BYTES_PER_SECOND = 64 * 1024
# Shortest time to come back, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.05
# Share of its remaining time that a caller waits at most before it comes back.
MAX_WAIT_SHARE = 1 / 3


def compute_budget_bytes(memory_bytes: int | None) -> int:
    """Return the bytes that may be buffered.

    Parameters
    ----------
    memory_bytes : int or None
        Memory of the VM; None if it is not known.

    Returns
    -------
    int
    """
    if memory_bytes is None:
        return MAX_BUDGET_BYTES
    buffered = (MEMORY_SHARE * memory_bytes - PROCESS_BYTES) / MEMORY_PER_BUFFERED_BYTE
    return int(min(MAX_BUDGET_BYTES, max(MIN_BUDGET_BYTES, buffered)))


def compute_answer_bytes(memory_bytes: int | None) -> int:
    """Return the bytes of answers that may be arriving from targets.

    Parameters
    ----------
    memory_bytes : int or None
        Memory of the VM; None if it is not known.

    Returns
    -------
    int
    """
    return int(ARRIVING_SHARE * compute_budget_bytes(memory_bytes))


def compute_headers_bytes(fields: Sequence[tuple[str, str]]) -> int:
    """Return the memory that the headers of a request take, in buffered bytes."""
    size = sum(len(name) + len(value) for name, value in fields)
    return size + len(fields) * HEADER_LINE_BYTES


class FreedRate:
    """Rate at which uploads free memory, with the times promised to refused callers.

    Callers that are refused at the same time are told different times, one after the
    other as memory is freed. If all were told the same time, they would return at once
    and most would be refused again.

    Parameters
    ----------
    expected_rate : float
        Bytes per second that are freed as long as nothing has been measured.
    """

    __slots__ = ("_measured_at", "_promised_until", "_rate")

    def __init__(self, expected_rate: float):
        self._rate = max(expected_rate, MIN_FREED_BYTES_PER_SECOND)
        self._measured_at: float | None = None
        self._promised_until = 0.0

    def record(self, size: int, now: float) -> None:
        """Record that an upload has freed bytes.

        Parameters
        ----------
        size : int
        now : float
            Monotonic seconds.
        """
        self._rate = self.bytes_per_second(now) + size / FREED_RATE_SECONDS
        self._measured_at = now

    def bytes_per_second(self, now: float) -> float:
        """Return the bytes freed per second, which decay while nothing is freed."""
        if self._measured_at is None:
            return self._rate
        age = max(0.0, now - self._measured_at)
        return max(
            MIN_FREED_BYTES_PER_SECOND, self._rate * exp(-age / FREED_RATE_SECONDS)
        )

    def promise(self, size: int, time_left: float, now: float) -> float:
        """Return the seconds after which an upload may come back.

        Parameters
        ----------
        size : int
            Bytes of the upload that do not fit now.
        time_left : float
            Seconds that its caller has left. A caller waits a third of it at most, so a
            later time is not promised.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
        """
        longest = max(MIN_RETRY_AFTER_SECONDS, time_left * MAX_WAIT_SHARE)
        start = max(now, self._promised_until)
        end = start + size / self.bytes_per_second(now)
        if end - now > longest:
            return longest
        self._promised_until = end
        return max(MIN_RETRY_AFTER_SECONDS, end - now)


class MemoryBudget:
    """Bytes in use, and the decision whether further ones fit.

    Parameters
    ----------
    capacity : int
        Bytes that may be in use together.
    """

    __slots__ = ("capacity", "head_used", "upload_used", "used")

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.used = 0
        # Bytes of uploads among them.
        self.upload_used = 0
        # Bytes of unfinished and large heads among them.
        self.head_used = 0

    @property
    def is_full(self) -> bool:
        """Whether the budget is used up."""
        return self.used >= self.capacity

    def missing_bytes(self, size: int, is_upload: bool) -> int:
        """Return by how many bytes a body does not fit; 0 if it fits.

        Parameters
        ----------
        size : int
        is_upload : bool
            Whether it is the body of an upload, which must leave the reserved part of
            the budget free.

        Returns
        -------
        int
        """
        missing = self.used + size - self.capacity
        if is_upload:
            limit = int(self.capacity * UPLOAD_SHARE)
            missing = max(missing, self.upload_used + size - limit)
        return max(0, missing)

    @property
    def max_pipelining_requests(self) -> int:
        """Requests in progress at which connections with several wait for a response.

        Answers the load of callers that pipeline as many small requests as they may:
        their bytes are few, but each request costs memory while it is served.
        """
        return max(MIN_PIPELINING_REQUESTS, self.capacity // REQUEST_BYTES)

    def missing_head_bytes(self, size: int) -> int:
        """Return by how many bytes a large head does not fit; 0 if it fits."""
        return max(0, self.head_used + size - int(self.capacity * HEAD_SHARE))

    def add_head(self, size: int) -> None:
        """Count bytes of unfinished or large heads as used, or as free if negative."""
        self.used += size
        self.head_used += size

    def add(self, size: int, is_upload: bool = False) -> None:
        """Count bytes as used, whether they fit or not."""
        self.used += size
        if is_upload:
            self.upload_used += size

    def remove(self, size: int, is_upload: bool = False) -> None:
        """Count bytes as free again."""
        self.add(-size, is_upload)
