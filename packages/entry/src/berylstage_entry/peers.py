"""HTTP calls to the other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import CallFailed
from logbook import Logger

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.membership import Membership

CALL_TIMEOUT_SECONDS = 0.5
MAX_CONCURRENT_CALLS = 32
STATUS_OK = 200

log = Logger(__name__)


class PeerClient:
    """Calls other VMs.

    Parameters
    ----------
    membership : Membership
    own_address : str
        Address at which this VM listens for the others.
    """

    def __init__(self, membership: Membership, own_address: str):
        self._membership = membership
        self._own_address = own_address
        self._client: CallClient | None = None

    def other_addresses(self) -> list[str]:
        """Return the addresses of the other known VMs."""
        return sorted(set(self._membership.addresses()) - {self._own_address})

    async def call(
        self,
        address: str,
        path: str,
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> bytes | None:
        """Return a VM's answer, or None if the call fails."""
        if self._client is None:
            self._client = CallClient(MAX_CONCURRENT_CALLS)
        call = Call("POST", f"http://{address}{path}", {}, body, timeout)
        try:
            answer = await self._client.call(call)
        except CallFailed as exc:
            log.debug("call to another VM failed", extra={"cause": str(exc)})
            return None
        return answer.body if answer.status == STATUS_OK else None

    async def call_all(self, path: str) -> Sequence[bytes | None]:
        """Call all other known VMs at once and return their answers."""
        return await asyncio.gather(
            *(self.call(a, path) for a in self.other_addresses())
        )

    def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            self._client.close()
