"""What callers saw of their requests."""

from __future__ import annotations

from berylstage_standins.call_record import CERTAIN, CallOutcome, CallRecord


class Attempt:
    """One HTTP request of a caller and its end.

    Parameters
    ----------
    request_id : str
        Unique per attempt.
    record : CallRecord
    retry_after : float
        Seconds that the refusal asks to wait; 0 when it does not.
    """

    __slots__ = ("request_id", "record", "retry_after")

    def __init__(self, request_id: str, record: CallRecord, retry_after: float = 0.0):
        self.request_id = request_id
        self.record = record
        self.retry_after = retry_after

    @property
    def outcome(self) -> CallOutcome:
        """How the attempt ended."""
        return self.record.outcome

    @property
    def may_have_run(self) -> bool:
        """Whether the work may have been done."""
        return self.record.outcome not in CERTAIN


class Request:
    """One request of a caller with all its attempts.

    Parameters
    ----------
    kind : str
    repeatable : bool
    digest : str
        Of the body, which no other request has.
    """

    __slots__ = ("kind", "repeatable", "digest", "attempts")

    def __init__(self, kind: str, repeatable: bool, digest: str):
        self.kind = kind
        self.repeatable = repeatable
        self.digest = digest
        self.attempts: list[Attempt] = []

    @property
    def outcome(self) -> CallOutcome:
        """The end that the caller goes by.

        Unknown when any attempt may have run and none was answered: a later refusal
        speaks of itself only.
        """
        if any(a.outcome is CallOutcome.ANSWERED for a in self.attempts):
            return CallOutcome.ANSWERED
        if any(a.may_have_run for a in self.attempts):
            return CallOutcome.UNKNOWN
        return CallOutcome.NOT_RUN

    @property
    def seconds(self) -> float:
        """Time from the first sending to the last end."""
        return self.attempts[-1].record.end - self.attempts[0].record.start
