"""What goes to a target, and what its end means for the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_targets.target import WorkRequest

from berylstage_daemon.answers import Answer, Outcome, unknown
from berylstage_daemon.clock import now, wall

if TYPE_CHECKING:
    from berylstage_ownership.routing import Permit
    from berylstage_targets.target import WorkAnswer

    from berylstage_daemon.requests import CallerRequest

# A connection can go silent for good while new ones work. Work that takes this many
# times its usual time, and at least this long, is given up on its connection; if it
# may be repeated it goes out again on a new one. Ten times the usual time lies beyond
# the slowest thousandth of a healthy target's answers, and half a second is shorter
# than the shortest deadline in the examples.
SILENT_RATIO = 10.0
SILENT_AFTER = 0.5
# The time-out of a call is cut to whole milliseconds and fires by another clock, a
# hair before the deadline; its caller must still read that the deadline passed.
DEADLINE_SLACK = 0.02


def work_request(
    work_id: str,
    req: CallerRequest,
    shard: str,
    permit: Permit,
    remaining: float,
    usual: float,
) -> WorkRequest:
    """Return a request as it goes to the target.

    Parameters
    ----------
    work_id : str
        Unique name of this attempt.
    req : CallerRequest
    shard : str
        Empty where keys are not owned.
    permit : Permit
    remaining : float
        Seconds after which the target must have dropped it.
    usual : float
        Seconds that work of this kind takes at this target.

    Returns
    -------
    WorkRequest
    """
    timeout = remaining
    if req.kind.repeatable:
        timeout = min(remaining, max(SILENT_AFTER, SILENT_RATIO * usual))
    return WorkRequest(
        request_id=work_id,
        service=req.service.name,
        kind=req.kind.name,
        key=req.key,
        shard=shard,
        fence=permit.fence,
        epoch=permit.epoch,
        method=req.method,
        body=req.body,
        content_type=req.content_type,
        deadline=wall() + remaining,
        timeout=timeout,
        # A request that may not be repeated is lost if its connection has gone
        # silent, because nothing may be sent again. A new connection takes about
        # 1 ms and has just shown that it works.
        fresh_connection=not req.kind.repeatable or req.attempt > 0,
        idempotency_key=req.idempotency_key,
    )


def answered(reply: WorkAnswer, permit: Permit) -> Answer:
    """Return the end of an answered request."""
    return Answer(
        Outcome.ANSWERED,
        reply.status,
        body=reply.body,
        content_type=reply.content_type,
        target=permit.target,
        epoch=permit.epoch,
    )


def unanswered(deadline: float) -> Answer:
    """Return the end of a request that was sent and not answered.

    Parameters
    ----------
    deadline : float
        Monotonic seconds.
    """
    if now() >= deadline - DEADLINE_SLACK:
        return unknown("deadline", 504)
    return unknown("no-answer")


def for_target(answer: Answer, permit: Permit) -> Answer:
    """Name the target in an answer that it did not give."""
    answer.target = permit.target
    answer.epoch = permit.epoch
    return answer
