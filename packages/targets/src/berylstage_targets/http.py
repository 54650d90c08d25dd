"""A target over HTTP."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from urllib.parse import quote

from berylstage_transfers.call import Answer, Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost, CallFailed, NeverSent

from berylstage_targets.errors import NotRun, OutcomeUnknown, TargetError
from berylstage_targets.target import (
    GrantAnswer,
    GrantOrder,
    LoadReport,
    TargetClient,
    WorkAnswer,
    WorkRequest,
)

if TYPE_CHECKING:
    from typing import Any

# Connections set aside for grants, cancellation and reports, so that none of these
# ever waits behind work.
CONTROL_CONNECTIONS = 2
# A target takes some 50 to 120 connections from all VMs together, and a parts order
# opens a new one each time. A VM that kept all of them would leave none to the VM that
# leads the target next, whose orders would then end as unknown, one after the
# other. So each keeps a share that leaves room for 11 VMs and more, but no fewer than
# a target has slots today.
KEPT_SHARE = 16
KEPT_CONNECTIONS = 3
# Seconds that a cancellation waits for its answer.
CANCEL_TIMEOUT = 1.0
# Cancellations under way at once for one target. More would only queue up in front of
# a target that does not answer, and its own deadlines end the work as well.
MAX_CANCELS = 64

_JSON = {"Content-Type": "application/json"}
_OK = 200
_UNAVAILABLE = 503


class HttpTargetClient(TargetClient):
    """One target over HTTP.

    The calls and answers are listed in ``docs/internals/target-contract.md``. Each
    target has connections of its own, so that a slow one holds up no other.

    Parameters
    ----------
    address : str
        ``host:port`` of the target.
    connections : int
        Connections that this VM may hold to the target, at least 3; work uses all
        but two.
    vm : str
        Name of this VM, told to the target.
    """

    def __init__(self, address: str, connections: int, vm: str = ""):
        self.base = f"http://{address}"
        self.vm = vm
        kept = max(KEPT_CONNECTIONS, connections // KEPT_SHARE)
        self._work = CallClient(max(1, connections - CONTROL_CONNECTIONS), kept)
        self._control = CallClient(CONTROL_CONNECTIONS)
        self._cancels: set[asyncio.Task[bool]] = set()

    async def send(self, req: WorkRequest) -> WorkAnswer:  # noqa: D102
        call = None
        try:
            call = self._work_call(req)
            answer = await self._work.call(call)
        except NeverSent as exc:
            raise NotRun(str(exc), "connect") from exc
        except AnswerLost as exc:
            self._cancel_later(req.request_id)
            raise OutcomeUnknown(str(exc), "no-answer") from exc
        except asyncio.CancelledError:
            if call is not None and call.sent:
                self._cancel_later(req.request_id)
            raise
        return _work_answer(req, answer)

    def _work_call(self, req: WorkRequest) -> Call:
        parts = (req.service, req.kind, req.key)
        path = "/".join(quote(part, safe="") for part in parts)
        headers = {
            "Request-Id": req.request_id,
            "Shard": req.shard,
            "Fence": str(req.fence),
            "Epoch": str(req.epoch),
            "Deadline-Unix-Ms": str(int(req.deadline * 1000)),
            "Original-Method": req.method,
            "Content-Type": req.content_type,
            "Idempotency-Key": req.idempotency_key,
            "Vm": self.vm,
        }
        return Call(
            "POST",
            f"{self.base}/work/{path}",
            headers,
            req.body,
            req.timeout,
            echo=req.request_id,
            fresh=req.fresh_connection,
        )

    def _cancel_later(self, request_id: str) -> None:
        """Tell the target that nobody waits for a request any more."""
        if len(self._cancels) >= MAX_CANCELS:
            return
        task = asyncio.ensure_future(self.cancel(request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def grant(self, order: GrantOrder, timeout: float) -> GrantAnswer:  # noqa: D102
        fields = {name: getattr(order, name) for name in GrantOrder.__slots__}
        body = json.dumps(fields).encode()
        doc = await self._json_call("PUT", "/grants", timeout, body)
        try:
            return GrantAnswer(**doc)
        except TypeError as exc:
            raise _unreadable("PUT /grants", exc) from exc

    async def cancel(self, request_id: str) -> bool:  # noqa: D102
        path = f"/cancel/{quote(request_id, safe='')}"
        try:
            # What made the caller give up may be a connection that went silent, and
            # others with it, so the order goes out on a new one.
            await self._json_call("POST", path, CANCEL_TIMEOUT, b"", fresh=True)
        except TargetError:
            # A target that does not answer is left to its own deadline.
            return False
        return True

    async def report(self, timeout: float) -> LoadReport:  # noqa: D102
        doc = await self._json_call("GET", "/load", timeout)
        try:
            return LoadReport(**doc)
        except TypeError as exc:
            raise _unreadable("GET /load", exc) from exc

    async def _json_call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        fresh: bool = False,
    ) -> dict[str, Any]:
        try:
            call = Call(method, self.base + path, _JSON, body, timeout, fresh=fresh)
            answer = await self._control.call(call)
        except CallFailed as exc:
            raise TargetError(str(exc), "no-answer") from exc
        if answer.status != _OK:
            raise _unreadable(f"{method} {path}", f"status {answer.status}")
        try:
            return json.loads(answer.body)
        except ValueError as exc:
            raise _unreadable(f"{method} {path}", exc) from exc

    async def close(self) -> None:  # noqa: D102
        for task in list(self._cancels):
            task.cancel()
        await asyncio.gather(*self._cancels, return_exceptions=True)
        self._work.close()
        self._control.close()


def _work_answer(req: WorkRequest, answer: Answer) -> WorkAnswer:
    """Return the target's answer, or raise the error that fits."""
    refusal = answer.header(b"not-run")
    if answer.status == _UNAVAILABLE and refusal:
        raise NotRun(
            f"{req.request_id}: the target refused it ({refusal}); send it again "
            "later or elsewhere",
            refusal,
        )
    incarnation = answer.header(b"incarnation")
    if not incarnation:
        raise OutcomeUnknown(
            f"{req.request_id}: the answer names no incarnation; check that the "
            "address is the target's",
            "unreadable",
        )
    return WorkAnswer(
        answer.status, answer.body, answer.header(b"content-type"), incarnation
    )


def _unreadable(call: str, cause: Exception | str) -> TargetError:
    """Return the error for an answer that does not follow the contract."""
    return TargetError(
        f"{call}: the answer does not follow the contract ({cause}); check that the "
        "address is the target's",
        "unreadable",
    )
