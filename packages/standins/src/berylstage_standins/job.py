"""One request for work as it arrived at a target."""

from __future__ import annotations

import asyncio

# Fields that the ledger does not show.
_HIDDEN = frozenset({"deadline", "dropped", "ended"})


class Job:
    """One request for work.

    Parameters
    ----------
    request_id, service, kind, key : str
    shard : str
        Name as grants have it; empty where keys are not owned.
    fence, epoch : int
    vm : str
        VM that sent it.
    idempotency_key : str
    digest : str
        Digest of the body, which tells a caller that an answer is its own.
    deadline : float
        Seconds since 1970; 0 for none.

    Attributes
    ----------
    dropped : asyncio.Event
        Set when nobody waits for the job any more.
    ended : asyncio.Event
        Set when the target works on it no more.
    """

    __slots__ = (
        "deadline",
        "digest",
        "dropped",
        "ended",
        "epoch",
        "fence",
        "idempotency_key",
        "key",
        "kind",
        "request_id",
        "service",
        "shard",
        "vm",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        kind: str,
        key: str,
        shard: str = "",
        fence: int = 0,
        epoch: int = 0,
        vm: str = "",
        idempotency_key: str = "",
        digest: str = "",
        deadline: float = 0.0,
    ):
        self.request_id = request_id
        self.service = service
        self.kind = kind
        self.key = key
        self.shard = shard
        self.fence = fence
        self.epoch = epoch
        self.vm = vm
        self.idempotency_key = idempotency_key
        self.digest = digest
        self.deadline = deadline
        self.dropped = asyncio.Event()
        self.ended = asyncio.Event()

    def record(self) -> dict:
        """Return the fields that the ledger shows."""
        return {n: getattr(self, n) for n in self.__slots__ if n not in _HIDDEN}
