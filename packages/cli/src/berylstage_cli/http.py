"""Asking VMs over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import CallFailed

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
        self._client = CallClient(MAX_CALLS, connect_timeout=timeout)

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
            answer = await self._client.call(Call("GET", url, {}, None, self._timeout))
        except CallFailed as exc:
            raise VmFault(f"no answer ({exc})") from exc
        if answer.status == NOT_FOUND:
            raise UnknownKey(_error_text(answer.body))
        if answer.status != OK:
            raise VmFault(f"no answer (status {answer.status})")
        try:
            doc = json.loads(answer.body)
        except (ValueError, RecursionError) as exc:
            raise VmFault("its answer is no JSON") from exc
        if not isinstance(doc, dict):
            raise VmFault("its answer is no JSON object")
        return doc


def _error_text(body: bytes) -> str:
    """Return what a VM says about its refusal."""
    try:
        return str(json.loads(body)["error"])
    except (KeyError, TypeError, ValueError, RecursionError):
        return body.decode(errors="replace").strip()
