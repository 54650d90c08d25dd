"""Requests for the slots of a group of targets, and the decisions about them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from berylstage_policy.slot_shares import KindKey

# Added to the priority of a request that would be late. It is larger than any priority,
# so that requests which can be in time go first.
LATE_PRIORITY = 1000


class RequestId(NamedTuple):
    """Unique identifier of a request: the VM that sent it and that VM's counter."""

    host: str
    number: int


class QueuedRequest:
    """A request for one of the queue's targets.

    Parameters
    ----------
    request_id : RequestId
    kind : str
        Requests of one kind have similar service times.
    origin : str
        Origin of the request, for the locality penalty of
        :class:`~berylstage_policy.service_times.ServiceTimes`.
    priority : int
        0 is the most urgent.
    soft_deadline : float
        Time until which the answer has its full value.
    objective : float
        Seconds from the request's arrival to ``soft_deadline``.
    deadline : float
        Time after which the answer has no value.
    now : float
    has_large_body : bool
        Whether it takes a noticeable time from the permit to its arrival at the target.
    """

    __slots__ = (
        "deadline",
        "has_large_body",
        "key",
        "kind",
        "last_seen",
        "objective",
        "origin",
        "priority",
        "rank",
        "request_id",
        "soft_deadline",
    )

    def __init__(
        self,
        request_id: RequestId,
        kind: str,
        origin: str,
        priority: int,
        soft_deadline: float,
        objective: float,
        deadline: float,
        now: float,
        has_large_body: bool = False,
    ):
        self.request_id = request_id
        self.kind = kind
        self.origin = origin
        self.priority = priority
        self.soft_deadline = soft_deadline
        self.objective = objective
        self.deadline = deadline
        self.last_seen = now
        self.has_large_body = has_large_body
        self.rank = (priority, soft_deadline)
        self.key = KindKey(kind, priority)

    @property
    def is_behind(self) -> bool:
        """Whether the request ranks behind all that can be in time."""
        return self.rank[0] >= LATE_PRIORITY

    def rank_behind(self) -> None:
        """Rank the request behind all that can be in time."""
        self.rank = (LATE_PRIORITY + self.priority, self.soft_deadline)


class PermitStatus(Enum):
    """Status of a request for a permit."""

    GRANTED = 1
    QUEUED = 2
    REFUSED = 3
    # This VM no longer serves the queue.
    QUEUE_CLOSED = 4


class Decision:
    """Decision about one request.

    Parameters
    ----------
    request_id : RequestId
    status : PermitStatus
    target : str
        Target to send the request to; empty unless granted.
    retry_after : float
        Seconds after which a refused request may be retried.
    is_promised : bool
        Whether a slot is expected to be free then that no other refused request has
        been told.
    """

    __slots__ = ("is_promised", "request_id", "retry_after", "status", "target")

    def __init__(
        self,
        request_id: RequestId,
        status: PermitStatus,
        target: str = "",
        retry_after: float = 0.0,
        is_promised: bool = False,
    ):
        self.request_id = request_id
        self.status = status
        self.target = target
        self.retry_after = retry_after
        self.is_promised = is_promised
