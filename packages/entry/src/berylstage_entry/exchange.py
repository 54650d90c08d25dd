"""One request of a caller and its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from asyncio import Task

    from berylstage_entry.errors import BadRequest, Refused
    from berylstage_entry.responses import Response
    from berylstage_entry.wire import CallerRequest


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    is_safe : bool
        Whether it may be begun beside others of its connection.
    keep_alive : bool
        Whether the caller means to send more on the connection.

    Attributes
    ----------
    received_at : float
        When its head was whole.
    reserved_bytes : int
        Bytes counted against what all bodies may take.
    is_complete : bool
        Whether all of it has been read.
    """

    __slots__ = (
        "received_at",
        "body_chunks",
        "reserved_bytes",
        "keep_alive",
        "refusal",
        "response",
        "req",
        "is_safe",
        "body_size",
        "task",
        "is_complete",
    )

    def __init__(self, is_safe: bool, keep_alive: bool):
        self.received_at = now()
        self.is_safe = is_safe
        self.keep_alive = keep_alive
        self.req: CallerRequest | None = None
        self.refusal: BadRequest | Refused | None = None
        self.body_chunks: list[bytes] = []
        self.body_size = 0
        self.reserved_bytes = 0
        self.is_complete = False
        self.task: Task | None = None
        self.response: Response | None = None

    @property
    def closes_connection(self) -> bool:
        """Whether the connection ends with it."""
        return self.refusal is not None or not self.keep_alive
