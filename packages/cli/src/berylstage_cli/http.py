"""Asking VMs over HTTP, by tornado's curl client."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError

from berylstage_cli.vms import KeyOwner, UnknownKey, VmClient, VmFault, VmStatus

if TYPE_CHECKING:
    from berylstage_platform.store import VmRecord

MAX_CALLS = 32
NOT_FOUND = 404
OK = 200


class HttpVmClient(VmClient):
    """Asks VMs by their status and owner pages.

    Parameters
    ----------
    timeout : float
        Seconds to wait for one answer.
    """

    def __init__(self, timeout: float):
        self._timeout = timeout
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CALLS)

    async def status(self, record: VmRecord) -> VmStatus:
        """Return what a VM says of itself."""
        doc = await self._document(record, "/-/status")
        try:
            lease = doc.get("lease_until_ms")
            return VmStatus(
                vm=str(doc["vm"]),
                data_centre=str(doc["data_centre"]),
                configuration_revision=int(doc["configuration_revision"] or 0),
                assignment_revision=int(doc["assignment_revision"] or 0),
                ready=bool(doc["ready"]),
                lease_until_ms=None if lease is None else int(lease),
                targets=len(doc.get("targets") or ()),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise VmFault(f"its status cannot be read ({exc!r})") from exc

    async def owner(self, record: VmRecord, service: str, key: str) -> KeyOwner:
        """Return who answers for a key."""
        path = f"/-/owner/{quote(service, safe='')}/{quote(key, safe='')}"
        doc = await self._document(record, path)
        try:
            fence = doc.get("fence")
            return KeyOwner(
                service=service,
                key=key,
                shard=str(doc["shard"]),
                target=doc.get("target"),
                vm=doc.get("vm"),
                fence=None if fence is None else int(fence),
                told_by=record.name,
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise VmFault(f"its answer cannot be read ({exc!r})") from exc

    async def close(self) -> None:
        """Let go of connections."""
        self._client.close()

    async def _document(self, record: VmRecord, path: str) -> dict[str, Any]:
        """Return the JSON object that a VM serves under a path."""
        url = f"http://{record.http_address}{path}"
        try:
            res = await self._client.fetch(
                url,
                raise_error=False,
                connect_timeout=self._timeout,
                request_timeout=self._timeout,
                follow_redirects=False,
            )
        except (HTTPError, OSError) as exc:
            raise VmFault(f"no answer ({exc})") from exc
        if res.code == NOT_FOUND:
            raise UnknownKey(_error_text(res.body))
        if res.code != OK:
            raise VmFault(f"no answer ({res.reason or res.code})")
        try:
            doc = json.loads(res.body)
        except ValueError as exc:
            raise VmFault("its answer is no JSON") from exc
        if not isinstance(doc, dict):
            raise VmFault("its answer is no JSON object")
        return doc


def _error_text(body: bytes) -> str:
    """Return what a VM says about its refusal."""
    try:
        return str(json.loads(body)["error"])
    except (KeyError, TypeError, ValueError):
        return body.decode(errors="replace").strip()
