"""Work request received by a target."""

from __future__ import annotations

import asyncio

# Fields that are not written to the ledger.
_UNRECORDED_FIELDS = frozenset({"deadline", "dropped", "ended"})


class Job:
    """Work request and the state of its execution.

    Parameters
    ----------
    request_id, service, kind, key : str
    shard : str
        Shard name as used in grants; empty for services without key ownership.
    fence, epoch : int
    vm : str
        Name of the VM that sent the request.
    idempotency_key : str
    digest : str
        Digest of the body, by which a caller verifies that an answer is its own.
    deadline : float
        Unix time in seconds; 0 for no deadline.

    Attributes
    ----------
    dropped : asyncio.Event
        Set when the job is cancelled or its caller has disconnected.
    ended : asyncio.Event
        Set when the target has stopped working on the job.
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
        """Return the fields that are written to the ledger."""
        return {
            n: getattr(self, n) for n in self.__slots__ if n not in _UNRECORDED_FIELDS
        }
