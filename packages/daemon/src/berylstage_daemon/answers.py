"""Answers to callers and what they mean."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The ends that a request can come to (docs/usage/index.md)."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in-progress"


class Answer:
    """The end of one request.

    Parameters
    ----------
    outcome : Outcome
    status : int
        HTTP status for the caller.
    reason : str
        Short machine-readable reason; empty when answered.
    body : bytes
    content_type : str
    retry_after : float or None
        Seconds after which the caller may come back.
    target : str
        Target that answered, or that the request was meant for.
    epoch : int
        Epoch of the lead under which it was sent.
    message : str
        What the caller should do, where the outcome alone does not say it.
    """

    __slots__ = (
        "outcome",
        "status",
        "reason",
        "body",
        "content_type",
        "retry_after",
        "target",
        "epoch",
        "message",
    )

    def __init__(
        self,
        outcome: Outcome,
        status: int,
        reason: str = "",
        body: bytes = b"",
        content_type: str = "",
        retry_after: float | None = None,
        target: str = "",
        epoch: int = 0,
        message: str = "",
    ):
        self.outcome = outcome
        self.status = status
        self.reason = reason
        self.body = body
        self.content_type = content_type
        self.retry_after = retry_after
        self.target = target
        self.epoch = epoch
        self.message = message


# What a caller reads in the body when a request was not answered by a target.
REMEDIES = {
    Outcome.NOT_RUN: "the request did not run; come back after Retry-After",
    Outcome.UNKNOWN: (
        "the request may have run; look up its effect before you send it as new, "
        "or repeat it with the same Idempotency-Key"
    ),
    Outcome.IN_PROGRESS: (
        "an earlier request with this Idempotency-Key is still in work; "
        "come back after Retry-After with the same key"
    ),
}

# Every reason that this project's own code gives, and those of the target contract.
REASONS = frozenset(
    "cold shed slots draining unwilling fence epoch anchor connect deadline no-answer "
    "queue-full closed target-down no-owner not-leader no-lease moving moved "
    "leader-unreachable leader-lost crossed-answer unreadable-answer unreadable "
    "in-progress unknown-before not-fresh clock-ahead table-full no-service no-kind "
    "internal busy".split()
)
OTHER_REASON = "other"
# Why a target with no free slot hands a request back: it may go to another one.
BUSY = "busy"


def reason_label(reason: str) -> str:
    """Return a reason as part of a metric's name.

    Reasons come from targets too. One that put a number or a name into its refusals
    would make a new metric of each, until the metrics' server is full.

    Parameters
    ----------
    reason : str

    Returns
    -------
    str
        One of `REASONS`, or ``other``.
    """
    return reason if reason in REASONS else OTHER_REASON


# A quarter of a second is twice the longest planned move seen in `make demo`; a
# caller that comes back sooner would meet the same refusal.
DEFAULT_RETRY_AFTER = 0.25


def not_run(reason: str, retry_after: float = DEFAULT_RETRY_AFTER) -> Answer:
    """Return the answer for a request that certainly did not run.

    Parameters
    ----------
    reason : str
    retry_after : float
        Seconds.

    Returns
    -------
    Answer
    """
    return Answer(Outcome.NOT_RUN, 503, reason, retry_after=retry_after)


def unknown(reason: str, status: int = 502) -> Answer:
    """Return the answer for a request that may have run.

    Parameters
    ----------
    reason : str
    status : int
        502, or 504 when the deadline passed.

    Returns
    -------
    Answer
    """
    return Answer(Outcome.UNKNOWN, status, reason)


def in_progress(retry_after: float = DEFAULT_RETRY_AFTER) -> Answer:
    """Return the answer for a repeated key whose first request is in work."""
    return Answer(Outcome.IN_PROGRESS, 409, "in-progress", retry_after=retry_after)


def settled(answer: Answer, doubt: Answer | None) -> Answer:
    """Return the end of a request over all its attempts.

    An attempt that was sent and not answered may have run, whatever became of the
    others. Told "not run", a caller would rely on something that is not so.

    Parameters
    ----------
    answer : Answer
        End of the last attempt.
    doubt : Answer or None
        An end of another attempt whose outcome is unknown.

    Returns
    -------
    Answer
    """
    if doubt is not None and answer.outcome is Outcome.NOT_RUN:
        return doubt
    return answer
