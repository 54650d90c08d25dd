"""A target over HTTP, by tornado's curl client."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from urllib.parse import quote

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse

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

# Seconds to wait for a connection, which takes about 1 ms today.
CONNECT_TIMEOUT = 0.25
# Connections set aside for grants, cancellation and reports, so that none of these
# ever waits behind work.
CONTROL_CONNECTIONS = 2
# Seconds after which an idle connection is not used again: something between the
# two ends may have lost track of it, and a request on it would be lost.
MAX_IDLE = 10
# Seconds that a cancellation waits for its answer.
CANCEL_TIMEOUT = 1.0

_STATUS_UNAVAILABLE = 503
_STATUS_INTERIM_END = 200


class _CurlClient(CurlAsyncHTTPClient):
    """Curl client that can break off one transfer at once."""

    def abort(self, curl: pycurl.Curl) -> None:
        """Break off a transfer, which closes its connection."""
        if getattr(curl, "info", None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
            self._process_queue()


class _Transfer:
    """One transfer as it happens: what was sent and which headers came back."""

    __slots__ = ("aborted", "curl", "fresh", "headers", "request_id", "sent")

    def __init__(self, request_id: str, fresh: bool):
        self.request_id = request_id
        self.fresh = fresh
        self.sent = False
        self.aborted = False
        self.headers: dict[bytes, bytes] = {}
        self.curl: pycurl.Curl | None = None

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of a transfer, as the ``prepare_curl_callback``."""
        if self.aborted:
            raise ValueError("cancelled before it was sent")
        self.curl = curl
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE)
        if self.fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _before_sending(self, *_addresses: Any) -> int:
        # libcurl sends a request again when a kept connection closes before any
        # answer. The target may have run it by then, and its ledger would show it
        # twice; so the second sending is refused and the outcome is unknown.
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> int | None:
        if line.startswith(b"HTTP/"):
            self.headers.clear()
            self.headers[b":status"] = line.split(None, 2)[1]
            return None
        name, _, value = line.partition(b":")
        if value:
            self.headers[name.lower()] = value.strip()
            return None
        return self._at_end_of_headers(line)

    def _at_end_of_headers(self, line: bytes) -> int | None:
        # An answer to another request means that the two ends disagree on whose turn
        # it is, and every later answer on this connection would reach the wrong
        # caller. Refusing the header makes libcurl close the connection before it
        # could go back to the pool.
        if int(self.headers[b":status"]) < _STATUS_INTERIM_END:
            return None
        if self.headers.get(b"request-id", b"").decode("latin-1") != self.request_id:
            return 0
        return None

    def header(self, name: bytes) -> str:
        """Return a header of the answer; empty when it is missing."""
        return self.headers.get(name, b"").decode("latin-1")


class HttpTargetClient(TargetClient):
    """One target over HTTP.

    The calls and answers are listed in ``docs/internals/target-contract.md``.

    Parameters
    ----------
    address : str
        ``host:port`` of the target.
    connections : int
        Connections that the target accepts; work uses all but a few.
    vm : str
        Name of this VM, told to the target.
    """

    def __init__(self, address: str, connections: int, vm: str = ""):
        self.base = f"http://{address}"
        self.vm = vm
        work = max(1, connections - CONTROL_CONNECTIONS)
        self._work = _client(work)
        self._control = _client(CONTROL_CONNECTIONS)
        self._cancels: set[asyncio.Task[None]] = set()

    async def send(self, req: WorkRequest) -> WorkAnswer:  # noqa: D102
        transfer = _Transfer(req.request_id, req.fresh_connection)
        fut = asyncio.ensure_future(
            self._work.fetch(self._http_request(req, transfer), raise_error=False)
        )
        try:
            answer = await asyncio.shield(fut)
        except asyncio.CancelledError:
            self._break_off(transfer)
            raise
        return _work_answer(req, transfer, answer)

    def _http_request(self, req: WorkRequest, transfer: _Transfer) -> HTTPRequest:
        path = "/".join(quote(part, safe="") for part in (req.service, req.kind))
        headers = {
            "Request-Id": req.request_id,
            "Shard": str(req.shard),
            "Fence": str(req.fence),
            "Epoch": str(req.epoch),
            "Deadline-Unix-Ms": str(int(req.deadline * 1000)),
            "Original-Method": req.method,
            "Content-Type": req.content_type,
            "Vm": self.vm,
        }
        if req.idempotency_key:
            headers["Idempotency-Key"] = req.idempotency_key
        return HTTPRequest(
            f"{self.base}/work/{path}/{quote(req.key, safe='')}",
            method="POST",
            body=req.body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT, req.timeout),
            request_timeout=req.timeout,
            prepare_curl_callback=transfer.prepare,
        )

    def _break_off(self, transfer: _Transfer) -> None:
        transfer.aborted = True
        if transfer.curl is not None:
            self._work.abort(transfer.curl)
        if not transfer.sent:
            return
        task = asyncio.ensure_future(self.cancel(transfer.request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def grant(self, order: GrantOrder, timeout: float) -> GrantAnswer:  # noqa: D102
        fields = {name: getattr(order, name) for name in GrantOrder.__slots__}
        body = json.dumps(fields).encode()
        doc = await self._call("PUT", "/grants", timeout, body)
        try:
            return GrantAnswer(**doc)
        except TypeError as exc:
            raise _unreadable("PUT /grants", exc) from exc

    async def cancel(self, request_id: str) -> None:  # noqa: D102
        path = f"/cancel/{quote(request_id, safe='')}"
        try:
            await self._call("POST", path, CANCEL_TIMEOUT, b"")
        except TargetError:
            # Cancelling saves the target work and proves nothing, so a target that
            # does not answer is left to its own deadline.
            return

    async def report(self, timeout: float) -> LoadReport:  # noqa: D102
        doc = await self._call("GET", "/load", timeout)
        try:
            return LoadReport(**doc)
        except TypeError as exc:
            raise _unreadable("GET /load", exc) from exc

    async def _call(
        self, method: str, path: str, timeout: float, body: bytes | None = None
    ) -> dict[str, Any]:
        transfer = _Transfer("", False)
        req = HTTPRequest(
            self.base + path,
            method=method,
            body=body,
            connect_timeout=min(CONNECT_TIMEOUT, timeout),
            request_timeout=timeout,
            prepare_curl_callback=transfer.prepare,
        )
        answer = await self._control.fetch(req, raise_error=False)
        if answer.code != _STATUS_INTERIM_END:
            raise TargetError(
                f"{method} {path}: {answer.error or answer.code}; probe the target "
                "again or move its shards",
                "no-answer",
            )
        try:
            return json.loads(answer.body)
        except ValueError as exc:
            raise _unreadable(f"{method} {path}", exc) from exc

    async def close(self) -> None:  # noqa: D102
        for task in list(self._cancels):
            task.cancel()
        self._work.close()
        self._control.close()


def _client(max_clients: int) -> _CurlClient:
    """Return a client of its own, so that a slow target holds up no other."""
    return _CurlClient(
        force_instance=True,
        max_clients=max_clients,
        defaults={"follow_redirects": False, "allow_ipv6": False},
    )


def _work_answer(
    req: WorkRequest, transfer: _Transfer, answer: HTTPResponse
) -> WorkAnswer:
    """Turn what came back into the answer, or into the error that fits."""
    if answer.error is not None and answer.code == 599:
        if not transfer.sent:
            raise NotRun(
                f"{req.request_id}: no connection to the target ({answer.error}); "
                "send it again or elsewhere",
                "connect",
            )
        raise _unknown(req, str(answer.error))
    refusal = transfer.header(b"not-run")
    if answer.code == _STATUS_UNAVAILABLE and refusal:
        raise NotRun(
            f"{req.request_id}: the target refused it ({refusal}); send it again later",
            refusal,
        )
    incarnation = transfer.header(b"incarnation")
    if not incarnation:
        raise _unknown(req, "the answer names no incarnation")
    framed = transfer.header(b"content-length") or transfer.header(b"transfer-encoding")
    if not framed:
        raise _unknown(req, "nothing says that the body is whole")
    return WorkAnswer(
        answer.code, answer.body, transfer.header(b"content-type"), incarnation
    )


def _unknown(req: WorkRequest, cause: str) -> OutcomeUnknown:
    """Return the error for a request that was sent and not answered whole."""
    return OutcomeUnknown(
        f"{req.request_id}: sent, but no whole answer came ({cause}); repeat it only "
        "if it may run twice",
        "no-answer",
    )


def _unreadable(call: str, exc: Exception) -> TargetError:
    """Return the error for an answer that does not follow the contract."""
    return TargetError(
        f"{call}: the answer does not follow the contract ({exc}); check that the "
        "address is the target's",
        "unreadable",
    )
