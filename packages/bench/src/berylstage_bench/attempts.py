"""What a caller saw of each request that it sent."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended, as its caller saw it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in-progress"
    NOT_SENT = "not-sent"
    LOST = "lost"
    WRONG_ANSWER = "wrong-answer"


# Outcomes after which the request may have run.
OPEN_OUTCOMES = frozenset(
    {Outcome.UNKNOWN, Outcome.LOST, Outcome.IN_PROGRESS, Outcome.WRONG_ANSWER}
)


class Attempt:
    """One HTTP request of a caller and its end.

    Parameters
    ----------
    request_id : str
        Unique per attempt.
    service, kind, key : str
    vm : str
        VM that the caller sent it to.
    digest : str
        Digest of the body, the same in all attempts of one request.
    sent, ended : float
        Monotonic seconds.
    outcome : Outcome
    reason : str
    target : str
        Target that answered, as the answer says.
    retry_after : float
        Seconds that the refusal asks to wait; 0 when it does not.
    """

    __slots__ = (
        "request_id",
        "service",
        "kind",
        "key",
        "vm",
        "digest",
        "sent",
        "ended",
        "outcome",
        "reason",
        "target",
        "retry_after",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        kind: str,
        key: str,
        vm: str,
        digest: str,
        sent: float,
        ended: float,
        outcome: Outcome,
        reason: str = "",
        target: str = "",
        retry_after: float = 0.0,
    ):
        self.request_id = request_id
        self.service = service
        self.kind = kind
        self.key = key
        self.vm = vm
        self.digest = digest
        self.sent = sent
        self.ended = ended
        self.outcome = outcome
        self.reason = reason
        self.target = target
        self.retry_after = retry_after


class Request:
    """One request of a caller with all its attempts.

    Parameters
    ----------
    kind : str
    repeatable : bool
    """

    __slots__ = ("kind", "repeatable", "attempts")

    def __init__(self, kind: str, repeatable: bool):
        self.kind = kind
        self.repeatable = repeatable
        self.attempts: list[Attempt] = []

    @property
    def outcome(self) -> Outcome:
        """The end that the caller goes by.

        Unknown when any attempt may have run and none was answered: a later refusal
        speaks of itself only.
        """
        outcomes = [attempt.outcome for attempt in self.attempts]
        for outcome in (Outcome.ANSWERED, Outcome.WRONG_ANSWER):
            if outcome in outcomes:
                return outcome
        if OPEN_OUTCOMES.intersection(outcomes):
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    @property
    def seconds(self) -> float:
        """Time from the first sending to the last end."""
        return self.attempts[-1].ended - self.attempts[0].sent
