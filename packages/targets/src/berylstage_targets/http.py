"""HTTP client of a target."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import quote

from berylstage_transfers.call import Answer, Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.connection_age import ConnectionAgeLimit
from berylstage_transfers.errors import AnswerLost, CallFailed, NeverSent

from berylstage_targets.errors import NotRun, OutcomeUnknown, TargetError
from berylstage_targets.target import (
    GrantAnswer,
    GrantRequest,
    LoadReport,
    TargetClient,
    WorkAnswer,
    WorkRequest,
)

if TYPE_CHECKING:
    from typing import Any

# Connections reserved for grants and load reports, which must not queue behind work,
# and for cancellations. When a target freezes, every request in flight is cancelled and
# each cancellation waits until its timeout. Grants must not queue behind these either,
# or the target would reject all work once it resumes.
CONTROL_CONNECTIONS = 2
CANCEL_CONNECTIONS = 2
# A target accepts about 50 to 120 connections from all VMs together, and each request
# that may not be repeated opens a new one. A VM that kept all of them would leave none
# for the target's next leader, whose requests would then end with their outcome
# unknown. So a VM keeps only a fraction, which leaves room for at least 11 VMs, but no
# fewer connections than a target has slots.
KEPT_CONNECTIONS_DIVISOR = 16
MIN_KEPT_CONNECTIONS = 3
# Time that a cancellation waits for its answer.
CANCEL_TIMEOUT_SECONDS = 1.0

_JSON = {"Content-Type": "application/json"}
_OK = 200
_UNAVAILABLE = 503


class HttpTargetClient(TargetClient):
    """HTTP client of a target.

    The calls and answers are listed in ``docs/internals/target-contract.md``. Each
    target has its own connections, so that a slow target does not delay the others.

    Parameters
    ----------
    address : str
        ``host:port`` of the target.
    connections : int
        Limit for this VM's connections to the target, at least 5. Work uses all but
        four of them.
    vm : str
        Name of this VM, sent to the target.
    """

    def __init__(self, address: str, connections: int, vm: str = ""):
        self.base = f"http://{address}"
        self.vm = vm
        kept = max(MIN_KEPT_CONNECTIONS, connections // KEPT_CONNECTIONS_DIVISOR)
        work = max(1, connections - CONTROL_CONNECTIONS - CANCEL_CONNECTIONS)
        # Grants are renewed several times a second, so a renewal is usually the first
        # call on a connection that no longer works. The shared limit then retires the
        # connections for work as well.
        age_limit = ConnectionAgeLimit()
        self._work_client = CallClient(work, kept, age_limit)
        self._control_client = CallClient(CONTROL_CONNECTIONS, age_limit=age_limit)
        self._cancel_client = CallClient(CANCEL_CONNECTIONS, 1, age_limit)

    async def send(self, req: WorkRequest) -> WorkAnswer:  # noqa: D102
        try:
            answer = await self._work_client.call(self._make_work_call(req))
        except NeverSent as exc:
            raise NotRun(str(exc), "connect") from exc
        except AnswerLost as exc:
            raise OutcomeUnknown(str(exc), "no-answer") from exc
        return _parse_work_answer(req, answer)

    def _make_work_call(self, req: WorkRequest) -> Call:
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

    async def grant(self, order: GrantRequest, timeout: float) -> GrantAnswer:  # noqa: D102
        fields = {name: getattr(order, name) for name in GrantRequest.__slots__}
        body = json.dumps(fields).encode()
        call = self._make_json_call("PUT", "/grants", timeout, body)
        doc = await _call_json(self._control_client, call)
        try:
            return GrantAnswer(**doc)
        except TypeError as exc:
            raise _contract_error("PUT /grants", exc) from exc

    async def cancel(self, request_id: str) -> bool:  # noqa: D102
        path = f"/cancel/{quote(request_id, safe='')}"
        # The request may have been cancelled because its connection no longer works,
        # and others may be affected, so the cancellation uses a new one.
        call = self._make_json_call(
            "POST", path, CANCEL_TIMEOUT_SECONDS, b"", fresh=True
        )
        try:
            await _call_json(self._cancel_client, call)
        except TargetError:
            # An unresponsive target drops the request at the request's deadline.
            return False
        return True

    async def report(self, timeout: float) -> LoadReport:  # noqa: D102
        call = self._make_json_call("GET", "/load", timeout)
        doc = await _call_json(self._control_client, call)
        try:
            return LoadReport(**doc)
        except TypeError as exc:
            raise _contract_error("GET /load", exc) from exc

    def _make_json_call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        fresh: bool = False,
    ) -> Call:
        return Call(method, self.base + path, _JSON, body, timeout, fresh=fresh)

    async def close(self) -> None:  # noqa: D102
        self._work_client.close()
        self._control_client.close()
        self._cancel_client.close()


async def _call_json(client: CallClient, call: Call) -> dict[str, Any]:
    """Make a call and return the JSON object in its answer."""
    name = f"{call.method} {call.url}"
    try:
        answer = await client.call(call)
    except CallFailed as exc:
        raise TargetError(str(exc), "no-answer") from exc
    if answer.status != _OK:
        raise _contract_error(name, f"status {answer.status}")
    try:
        return json.loads(answer.body)
    except (ValueError, RecursionError) as exc:
        raise _contract_error(name, exc) from exc


def _parse_work_answer(req: WorkRequest, answer: Answer) -> WorkAnswer:
    """Decode the target's answer, or raise the error that it stands for."""
    refusal = answer.header(b"not-run")
    if answer.status == _UNAVAILABLE and refusal:
        raise NotRun(
            f"{req.request_id}: the target rejected the request ({refusal}); retry it "
            "later or on another target",
            refusal,
        )
    incarnation = answer.header(b"incarnation")
    if not incarnation:
        raise OutcomeUnknown(
            f"{req.request_id}: the answer has no incarnation header; check that the "
            "address is the target's",
            "unreadable",
        )
    return WorkAnswer(
        answer.status, answer.body, answer.header(b"content-type"), incarnation
    )


def _contract_error(call: str, cause: Exception | str) -> TargetError:
    """Return the error for an answer that violates the contract."""
    return TargetError(
        f"{call}: the answer violates the contract ({cause}); check that the "
        "address is the target's",
        "unreadable",
    )
