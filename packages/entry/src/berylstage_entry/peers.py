"""Questions to the other VMs."""

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

# Seconds for a question to another VM and its answer.
ASK_TIMEOUT = 0.5
# Questions under way at once.
QUESTIONS = 32
OK = 200

log = Logger(__name__)


class PeerClient:
    """Asks other VMs.

    Parameters
    ----------
    membership : Membership
    own_address : str
        Where this VM listens for others.
    """

    def __init__(self, membership: Membership, own_address: str):
        self._membership = membership
        self._own_address = own_address
        self._client: CallClient | None = None

    def others(self) -> list[str]:
        """Return where the other known VMs listen."""
        return sorted(set(self._membership.addresses()) - {self._own_address})

    async def ask(self, address: str, path: str, body: bytes = b"") -> bytes | None:
        """Return a VM's answer; None when it gives none."""
        if self._client is None:
            self._client = CallClient(QUESTIONS)
        call = Call("POST", f"http://{address}{path}", {}, body, ASK_TIMEOUT)
        try:
            answer = await self._client.call(call)
        except CallFailed as exc:
            log.debug("no answer from a VM", extra={"cause": str(exc)})
            return None
        return answer.body if answer.status == OK else None

    async def ask_all(self, path: str) -> Sequence[bytes | None]:
        """Return the answers of all other known VMs."""
        return await asyncio.gather(*(self.ask(a, path) for a in self.others()))

    def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            self._client.close()
