"""A caller's request and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from asyncio import Task

    from berylstage_entry.errors import BadRequest, Refused
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.responses import Response


class Exchange:
    """A request and its response.

    Parameters
    ----------
    is_safe : bool
        Whether the request may run concurrently with others of its connection.
    keep_alive : bool
        Whether the caller keeps the connection open for further requests.

    Attributes
    ----------
    received_at : float
        Monotonic seconds at which the request head was complete.
    reserved_bytes : int
        Bytes reserved from the memory for bodies and responses.
    is_complete : bool
        Whether the whole request has been received.
    """

    __slots__ = (
        "body_chunks",
        "body_size",
        "is_complete",
        "is_safe",
        "keep_alive",
        "received_at",
        "refusal",
        "req",
        "reserved_bytes",
        "response",
        "task",
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
        """Whether the connection closes after the response."""
        return self.refusal is not None or not self.keep_alive
