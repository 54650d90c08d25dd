"""Requests offered for admission, the decisions about them, and their outcomes."""

from __future__ import annotations

from enum import Enum


class Ticket:
    """One attempt of a request, as admission and queueing see it.

    Parameters
    ----------
    id : str
        Unique per attempt.
    tenant : str
    request_class : str
        ``interactive``, ``standard`` or ``batch``.
    caller : str
        Client that sent the request. Within a tenant and class, callers share slot time
        fairly.
    service, kind, key : str
    arrived, deadline : float
        Monotonic seconds.
    expected_cost : float or None
        Seconds for which a slot is expected to be busy. None to use the queue's cost
        model.
    """

    __slots__ = (
        "id",
        "tenant",
        "request_class",
        "caller",
        "service",
        "kind",
        "key",
        "arrived",
        "deadline",
        "expected_cost",
    )

    def __init__(
        self,
        id: str,
        tenant: str,
        request_class: str,
        caller: str,
        service: str,
        kind: str,
        key: str,
        arrived: float,
        deadline: float,
        expected_cost: float | None = None,
    ):
        self.id = id
        self.tenant = tenant
        self.request_class = request_class
        self.caller = caller
        self.service = service
        self.kind = kind
        self.key = key
        self.arrived = arrived
        self.deadline = deadline
        self.expected_cost = expected_cost


class AttemptOutcome(Enum):
    """Outcome of an attempt that was started."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    COLD = "cold"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class RefuseReason(Enum):
    """Reason for which a request is refused."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    DRAINING = "draining"


class Decision:
    """Base class of the admission decisions about a request."""

    __slots__ = ("ticket_id",)

    def __init__(self, ticket_id: str):
        self.ticket_id = ticket_id


class Start(Decision):
    """The request starts: send it to the target now."""

    __slots__ = ()


class Wait(Decision):
    """The request is queued until ``finished``, ``expired`` or ``drain`` returns it."""

    __slots__ = ()


class Decline(Decision):
    """All slots are busy and the request did not run: try another target."""

    __slots__ = ()


class Refuse(Decision):
    """The request is refused and did not run.

    Parameters
    ----------
    ticket_id : str
    reason : RefuseReason
    retry_after : float
        Seconds after which the caller may retry; each caller gets a different delay.
    """

    __slots__ = ("reason", "retry_after")

    def __init__(self, ticket_id: str, reason: RefuseReason, retry_after: float):
        super().__init__(ticket_id)
        self.reason = reason
        self.retry_after = retry_after
