"""What stands in a queue, what is decided about it, and how it ended."""

from __future__ import annotations

from enum import Enum


class Ticket:
    """One request as the decisions see it.

    Parameters
    ----------
    id : str
        Unique per attempt.
    tenant : str
    request_class : str
        ``interactive``, ``standard`` or ``batch``.
    caller : str
        Who sent it; fairness within tenant and class is between callers.
    service, kind, key : str
    arrived, deadline : float
        Monotonic seconds.
    expected_cost : float or None
        Seconds that a slot will be busy; None for what the queue has learned.
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
    """How work that was started ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    COLD = "cold"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class RefuseReason(Enum):
    """Why a request is turned away."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    DRAINING = "draining"


class Decision:
    """What becomes of a ticket that was offered: one of those below."""

    __slots__ = ("ticket_id",)

    def __init__(self, ticket_id: str):
        self.ticket_id = ticket_id


class Start(Decision):
    """Send it to the target now."""

    __slots__ = ()


class Wait(Decision):
    """It waits; it comes out of ``finished``, ``expired`` or ``drain``."""

    __slots__ = ()


class Decline(Decision):
    """Try another target, as all slots are busy here; it did not run."""

    __slots__ = ()


class Refuse(Decision):
    """Turn it away now; it did not run.

    Parameters
    ----------
    ticket_id : str
    reason : RefuseReason
    retry_after : float
        Seconds after which the caller may come back, different for each caller.
    """

    __slots__ = ("reason", "retry_after")

    def __init__(self, ticket_id: str, reason: RefuseReason, retry_after: float):
        super().__init__(ticket_id)
        self.reason = reason
        self.retry_after = retry_after
