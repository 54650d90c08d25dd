"""Errors of calls that have no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_transfers.errors import (
    AnswerLost,
    AnswerMalformed,
    AnswerMismatched,
    ConnectionClosed,
    ConnectionRefused,
    EndedBy,
    NeverSent,
    NotConnected,
)

if TYPE_CHECKING:
    from berylstage_transfers.call import Call

_MS_PER_SECOND = 1000


def describe_timeout(call: Call, now: float) -> str:
    """Describe how far a call got before its timeout.

    Parameters
    ----------
    call : Call
    now : float
        Monotonic seconds.
    """
    what = "Operation" if call.sent else "Connection"
    spent = int((call.timeout + now - call.deadline) * _MS_PER_SECOND)
    return (
        f"{what} timed out after {spent} milliseconds "
        f"with {len(call.answer_body)} bytes received"
    )


def fail_call(
    call: Call, cause: str, refused: bool = False, ended_by: EndedBy = EndedBy.CLIENT
) -> None:
    """Fail a call with the error that says whether it was sent.

    Parameters
    ----------
    call : Call
    cause : str
        Cause named in the error, unless the answer was refused.
    refused : bool
        Whether the connection was refused.
    ended_by : EndedBy
        Who ended a call that was sent.
    """
    if call.fut is None or call.fut.done():
        return
    cause = _find_refusal(call) or cause
    if call.sent:
        exc: Exception = _build_lost_error(call, cause, ended_by)
    else:
        exc = _build_unsent_error(call, cause, refused)
    call.fut.set_exception(exc)


def _find_refusal(call: Call) -> str:
    """Return why the answer was refused; empty if it was not."""
    if call.rejection:
        return call.rejection
    return "the answer belongs to another call" if call.answers_other_call else ""


def _build_lost_error(call: Call, cause: str, ended_by: EndedBy) -> AnswerLost:
    remedy = "check whether it took effect before sending it again"
    if call.method == "GET":
        remedy = "send it again"
    message = (
        f"{_describe(call)}: sent, but no complete answer arrived ({cause}); {remedy}"
    )
    if call.answers_other_call:
        return AnswerMismatched(message, call.received_id(), cause)
    if call.is_malformed:
        return AnswerMalformed(message, EndedBy.CLIENT, cause)
    if ended_by is EndedBy.SERVER:
        return ConnectionClosed(message, ended_by, cause)
    return AnswerLost(message, ended_by, cause)


def _build_unsent_error(call: Call, cause: str, refused: bool) -> NeverSent:
    if refused:
        return ConnectionRefused(
            f"{_describe(call)}: connection refused ({cause}); "
            "check that the server runs at this address"
        )
    error = NotConnected if call.started else NeverSent
    return error(f"{_describe(call)}: nothing was sent ({cause}); send it again")


def _describe(call: Call) -> str:
    return f"{call.method} {call.url}"
