"""Requests passed between VMs, in both directions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_messages.peer_grpc import PeerBase
from berylstage_messages.peer_pb2 import (
    ANSWERED,
    IN_PROGRESS,
    NOT_RUN,
    UNKNOWN,
    ControlFrame,
    ForwardAnswer,
    ForwardRequest,
)

from berylstage_daemon.answers import Answer, Outcome, not_run, unknown
from berylstage_daemon.clock import now
from berylstage_daemon.errors import RequestError
from berylstage_daemon.peers import PeerLost, PeerNotReached
from berylstage_daemon.requests import CallerRequest, find_kind

if TYPE_CHECKING:
    from berylstage_daemon.application import Application
    from berylstage_daemon.peers import PeerLink

OUTCOME_CODES = {
    Outcome.ANSWERED: ANSWERED,
    Outcome.NOT_RUN: NOT_RUN,
    Outcome.UNKNOWN: UNKNOWN,
    Outcome.IN_PROGRESS: IN_PROGRESS,
}
OUTCOMES = {code: outcome for outcome, code in OUTCOME_CODES.items()}


async def forward(link: PeerLink, req: CallerRequest, target: str) -> Answer:
    """Pass a request to the VM that leads its target and return the end of it.

    Parameters
    ----------
    link : PeerLink
    req : CallerRequest
    target : str
        Chosen target; empty where the shard decides.

    Returns
    -------
    Answer
        *Not run* only if the other VM said so or was never reached.
    """
    remaining = req.deadline - now()
    if remaining <= 0:
        return not_run("deadline")
    try:
        reply = await link.forward(_encode(req, target, remaining), remaining)
    except PeerNotReached:
        return not_run("leader-unreachable")
    except PeerLost:
        return unknown("leader-lost")
    if reply.request_id != req.request_id:
        # An answer that belongs to another request must never reach this caller; it
        # can only come from a fault of the other VM, so nothing is known of ours.
        return unknown("crossed-answer")
    return _decode(reply)


class PeerService(PeerBase):
    """Serves the calls of other VMs.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app

    async def Exchange(self, stream) -> None:
        """Answer one control message."""
        frame = await stream.recv_message()
        if frame is None:
            return
        reply = self._app.control.answer_peer(frame.sender, frame.envelope)
        await stream.send_message(ControlFrame(envelope=reply))

    async def Forward(self, stream) -> None:
        """Work on a request that another VM received.

        When the other VM or its caller goes away, the stream is reset, grpclib
        cancels this call, and the work is cancelled at the target.
        """
        message = await stream.recv_message()
        if message is None:
            return
        answer = await self._serve(message)
        await stream.send_message(_encode_answer(message.request_id, answer))

    async def _serve(self, message: ForwardRequest) -> Answer:
        """Return the end of a passed request."""
        try:
            req = self._request(message)
        except RequestError as exc:
            # The sender knows a newer sheet than this VM, or an older one; the
            # difference lasts as long as a revision needs to spread.
            return not_run(exc.reason)
        # A VM that is cut off while it works ends within the lease; nothing here may
        # outlive the caller's deadline.
        try:
            async with asyncio.timeout(max(req.deadline - now(), 0.001)):
                return await self._app.leaders.serve(req, message.target)
        except TimeoutError:
            return unknown("deadline", 504)

    def _request(self, message: ForwardRequest) -> CallerRequest:
        """Return the request that a message carries."""
        cfg = self._app.configuration()
        service, kind = find_kind(cfg, message.service, message.kind)
        arrived = now()
        return CallerRequest(
            request_id=message.request_id,
            service=service,
            kind=kind,
            key=message.key,
            method=message.method,
            body=message.body,
            content_type=message.content_type,
            caller=message.caller,
            idempotency_key=message.idempotency_key,
            issued_at_ms=message.issued_at_ms,
            arrived=arrived,
            deadline=arrived + message.remaining_ms / 1000,
            attempt=message.attempt,
        )


def _encode(req: CallerRequest, target: str, remaining: float) -> ForwardRequest:
    """Return the message for a request."""
    return ForwardRequest(
        request_id=req.request_id,
        service=req.service.name,
        kind=req.kind.name,
        key=req.key,
        method=req.method,
        body=req.body,
        content_type=req.content_type,
        caller=req.caller,
        idempotency_key=req.idempotency_key,
        issued_at_ms=req.issued_at_ms,
        remaining_ms=max(int(remaining * 1000), 1),
        target=target,
        attempt=req.attempt,
    )


def _encode_answer(request_id: str, answer: Answer) -> ForwardAnswer:
    """Return the message for the end of a request."""
    retry_after = answer.retry_after
    return ForwardAnswer(
        request_id=request_id,
        outcome=OUTCOME_CODES[answer.outcome],
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        reason=answer.reason,
        retry_after_ms=0 if retry_after is None else int(retry_after * 1000),
        target=answer.target,
        epoch=answer.epoch,
        message=answer.message,
    )


def _decode(reply: ForwardAnswer) -> Answer:
    """Return the end of a request from its message."""
    retry_after = reply.retry_after_ms / 1000 if reply.retry_after_ms else None
    return Answer(
        OUTCOMES.get(reply.outcome, Outcome.UNKNOWN),
        reply.status,
        reply.reason,
        reply.body,
        reply.content_type,
        retry_after,
        reply.target,
        reply.epoch,
        reply.message,
    )
