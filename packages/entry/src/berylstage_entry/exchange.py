"""A caller's request and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from asyncio import Task, TimerHandle

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
    is_head : bool
        Whether the request's method is HEAD.

    Attributes
    ----------
    received_at : float
        Monotonic seconds at which the request head was complete.
    body : bytearray
        Part of the body that has been received.
    declared_bytes : int or None
        Length of the body that the request head declares.
    is_upload : bool
        Whether its route has large bodies.
    reserved_bytes : int
        Bytes reserved from the memory for bodies and responses.
    reserved_head_bytes : int
        Bytes reserved from it for a large head.
    reserved_upload_bytes : int
        Bytes of an upload's body reserved from it.
    ends_early : bool
        Whether it is answered before its whole body has been received.
    deadline : float
        Monotonic seconds at which the caller stops waiting.
    is_complete : bool
        Whether the whole request has been received.
    """

    __slots__ = (
        "body",
        "body_size",
        "body_timer",
        "deadline",
        "declared_bytes",
        "ends_early",
        "is_complete",
        "is_head",
        "is_safe",
        "is_upload",
        "keep_alive",
        "received_at",
        "refusal",
        "req",
        "reserved_bytes",
        "reserved_head_bytes",
        "reserved_upload_bytes",
        "response",
        "task",
    )

    def __init__(self, is_safe: bool, keep_alive: bool, is_head: bool = False):
        self.received_at = now()
        self.is_safe = is_safe
        self.keep_alive = keep_alive
        self.is_head = is_head
        self.req: CallerRequest | None = None
        self.refusal: BadRequest | Refused | None = None
        # One growing buffer. Chunks that are joined at the end would leave gaps in the
        # heap that are too small for a whole body.
        self.body = bytearray()
        self.body_size = 0
        self.declared_bytes: int | None = None
        self.is_upload = False
        self.ends_early = False
        self.body_timer: TimerHandle | None = None
        self.deadline = self.received_at
        self.reserved_bytes = 0
        self.reserved_head_bytes = 0
        self.reserved_upload_bytes = 0
        self.is_complete = False
        self.task: Task | None = None
        self.response: Response | None = None

    @property
    def closes_connection(self) -> bool:
        """Whether the connection closes after the response."""
        return self.refusal is not None or not self.keep_alive
