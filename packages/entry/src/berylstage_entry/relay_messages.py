"""Messages by which one VM has another one send a request to a target.

A message is a head as JSON, preceded by its length, and the body of the request or of
the answer as it is.
"""

from __future__ import annotations

import json
from enum import Enum
from struct import Struct
from typing import TYPE_CHECKING

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json
from berylstage_entry.protocols import CallerRequest, TargetAnswer
from berylstage_entry.responses import FINAL_STATUSES
from berylstage_entry.targets import LoadReport, TargetNotice

if TYPE_CHECKING:
    from typing import Any

# Largest body of a request: the internal server of a VM reads messages of up to 1 MB,
# and the rest is for the head, most of which are the headers of the caller.
MAX_BODY_BYTES = 768 * 1024
_LENGTH = Struct("!I")


class RelayOutcome(Enum):
    """What became of a relayed request; only the first four say what it did."""

    ANSWERED = "answered"
    # It may have run.
    LOST = "lost"
    # It may have run, and its target has ended.
    TARGET_ENDED = "target-ended"
    # The target could not be reached, although other targets can.
    TARGET_DOWN = "target-down"
    # This VM does not know the target, or may not send to it.
    TARGET_UNUSABLE = "target-unusable"
    # This VM has lost its link to the target, which others reach.
    NO_LINK = "no-link"
    # This VM has lost its links to all targets.
    CUT_OFF = "cut-off"
    # This VM is stopping or has no room.
    BUSY = "busy"


class RelayRequest:
    """A request that another VM is to send to a target.

    Parameters
    ----------
    vm : str
        Name of the VM that asks.
    target : str
        Name of the target.
    incarnation : int
    kind : str
        Name of the request's route.
    is_repeatable : bool
        Whether the request may be sent again although it may have run.
    req : CallerRequest
        With the time that is left.
    """

    __slots__ = ("incarnation", "is_repeatable", "kind", "req", "target", "vm")

    def __init__(
        self,
        vm: str,
        target: str,
        incarnation: int,
        kind: str,
        is_repeatable: bool,
        req: CallerRequest,
    ):
        self.vm = vm
        self.target = target
        self.incarnation = incarnation
        self.kind = kind
        self.is_repeatable = is_repeatable
        self.req = req

    def encode(self, seconds: float) -> bytes:
        """Return the message.

        Parameters
        ----------
        seconds : float
            Seconds until the answer must have arrived.
        """
        req = self.req
        head = {
            "vm": self.vm,
            "target": self.target,
            "incarnation": self.incarnation,
            "kind": self.kind,
            "repeatable": self.is_repeatable,
            "id": req.request_id,
            "method": req.method,
            "host": req.host,
            "path": req.path,
            "headers": req.headers,
            "seconds": seconds,
            "key": req.key,
            "workspace": req.workspace,
        }
        return _encode(head, req.body)

    @classmethod
    def decode(cls, data: bytes) -> RelayRequest:
        """Decode a message.

        Raises
        ------
        InvalidRecord
        """
        head, body = _decode(data)
        try:
            req = CallerRequest(
                head["id"],
                head["method"],
                head["host"],
                head["path"],
                head["headers"],
                head["seconds"],
                head["key"],
            )
            req.workspace = head["workspace"]
            req.body = body
            return cls(
                head["vm"],
                head["target"],
                head["incarnation"],
                head["kind"],
                head["repeatable"],
                req,
            )
        except KeyError as exc:
            raise InvalidRecord(f"the relayed request lacks the field {exc}") from exc


class RelayReply:
    """What became of a relayed request.

    Parameters
    ----------
    outcome : RelayOutcome
    cause : str
        For the log; empty for an answer.
    answer : TargetAnswer, optional
        The target's answer; None for all other outcomes.
    """

    __slots__ = ("answer", "cause", "outcome")

    def __init__(
        self,
        outcome: RelayOutcome,
        cause: str = "",
        answer: TargetAnswer | None = None,
    ):
        self.outcome = outcome
        self.cause = cause
        self.answer = answer

    def encode(self) -> bytes:
        """Return the message."""
        head: dict[str, Any] = {"outcome": self.outcome.value, "cause": self.cause}
        if self.answer is None:
            return _encode(head, b"")
        head["answer"] = _describe_answer(self.answer)
        return _encode(head, self.answer.body)

    @classmethod
    def decode(cls, data: bytes) -> RelayReply:
        """Decode a message.

        Raises
        ------
        InvalidRecord
        """
        head, body = _decode(data)
        try:
            outcome = RelayOutcome(head["outcome"])
            answer = None
            if outcome is RelayOutcome.ANSWERED:
                answer = _parse_answer(head["answer"], body)
            return cls(outcome, head["cause"], answer)
        except (KeyError, ValueError, TypeError) as exc:
            raise InvalidRecord(f"the reply to a relayed request: {exc}") from exc


def _describe_answer(answer: TargetAnswer) -> dict[str, Any]:
    """Return an answer without its body as plain data."""
    load, notice = answer.load, answer.notice
    return {
        "status": answer.status,
        "headers": answer.headers,
        "not_run": answer.not_run,
        "misdirected": answer.misdirected,
        "from_target": answer.is_from_target,
        "load": load
        and [load.running, load.waiting, load.slots, load.machine_slowdown],
        "closing": answer.closing,
        "notice": [
            notice.limit,
            notice.is_limit_invalid,
            notice.rest_seconds,
            notice.is_leaving,
        ],
    }


def _parse_answer(doc: dict[str, Any], body: bytes) -> TargetAnswer:
    load, status = doc["load"], doc["status"]
    if not isinstance(status, int) or status not in FINAL_STATUSES:
        raise ValueError(f"status {status!r}")
    return TargetAnswer(
        status,
        [(name, value) for name, value in doc["headers"]],
        body,
        doc["not_run"],
        doc["misdirected"],
        doc["from_target"],
        LoadReport(*load) if load is not None else None,
        doc["closing"],
        TargetNotice(*doc["notice"]),
    )


def _encode(head: dict[str, Any], body: bytes) -> bytes:
    text = json.dumps(head).encode()
    return _LENGTH.pack(len(text)) + text + body


def _decode(data: bytes) -> tuple[dict[str, Any], bytes]:
    try:
        (length,) = _LENGTH.unpack_from(data)
        end = _LENGTH.size + length
        head = parse_json(data[_LENGTH.size : end])
    except Exception as exc:
        raise InvalidRecord(f"a message about a relayed request: {exc}") from exc
    if not isinstance(head, dict):
        raise InvalidRecord("a message about a relayed request has no head")
    return head, data[end:]
