"""Record of one attempt of a caller's request."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class CallOutcome(Enum):
    """Result of an attempt, as named by the ``Berylstage-Outcome`` header.

    The caller itself sets ``LOST`` when it gets no answer, for example because the VM
    failed, and ``NOT_SENT`` when no VM accepts the connection.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in-progress"
    LOST = "lost"
    NOT_SENT = "not-sent"


# Outcomes which guarantee that the work did not run in that attempt.
CERTAIN = frozenset({CallOutcome.NOT_RUN, CallOutcome.NOT_SENT})


class CallRecord:
    """One attempt of a request.

    Parameters
    ----------
    service, kind, key : str
    digest : str
        Digest of the body: equal for all attempts of a request, different for each
        request.
    idempotency_key : str
        Empty for work that may be repeated.
    vm : str
        Address of the VM that the attempt was sent to.
    outcome : CallOutcome
    status : int
        HTTP status; 0 without an answer.
    reason : str
        Value of the ``Berylstage-Reason`` header, or the cause of a lost answer.
    own : bool
        Whether the answer belongs to this request.
    start, end : float
        Monotonic seconds.
    """

    __slots__ = (
        "digest",
        "end",
        "idempotency_key",
        "key",
        "kind",
        "outcome",
        "own",
        "reason",
        "service",
        "start",
        "status",
        "vm",
    )

    def __init__(
        self,
        service: str,
        kind: str,
        key: str,
        digest: str,
        idempotency_key: str,
        vm: str,
        outcome: CallOutcome,
        status: int,
        reason: str,
        own: bool,
        start: float,
        end: float,
    ):
        self.service = service
        self.kind = kind
        self.key = key
        self.digest = digest
        self.idempotency_key = idempotency_key
        self.vm = vm
        self.outcome = outcome
        self.status = status
        self.reason = reason
        self.own = own
        self.start = start
        self.end = end

    def to_json(self) -> str:
        """Return the record as one line of JSON."""
        doc = {name: getattr(self, name) for name in self.__slots__}
        return json.dumps({**doc, "outcome": self.outcome.value})

    @classmethod
    def from_json(cls, line: str) -> CallRecord:
        """Parse a line written by :meth:`to_json`."""
        doc = json.loads(line)
        return cls(**{**doc, "outcome": CallOutcome(doc["outcome"])})


def read_calls(path: Path) -> list[CallRecord]:
    """Read a file with one JSON record per line.

    Parameters
    ----------
    path : Path

    Returns
    -------
    list of CallRecord
    """
    return [CallRecord.from_json(line) for line in path.read_text().splitlines()]
