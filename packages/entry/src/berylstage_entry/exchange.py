"""One request of a caller and its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from asyncio import Task

    from berylstage_entry.errors import BadRequest, Refused
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.replies import Reply


class Exchange:
    """One request and its answer.

    Parameters
    ----------
    safe : bool
        Whether it may be begun beside others of its connection.
    keeps_alive : bool
        Whether the caller means to send more on the connection.

    Attributes
    ----------
    arrived : float
        When its head was whole.
    held : int
        Bytes counted against what all bodies may take.
    whole : bool
        Whether all of it has been read.
    """

    __slots__ = (
        "arrived",
        "chunks",
        "held",
        "keeps_alive",
        "refusal",
        "reply",
        "req",
        "safe",
        "size",
        "task",
        "whole",
    )

    def __init__(self, safe: bool, keeps_alive: bool):
        self.arrived = now()
        self.safe = safe
        self.keeps_alive = keeps_alive
        self.req: CallerRequest | None = None
        self.refusal: BadRequest | Refused | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.held = 0
        self.whole = False
        self.task: Task | None = None
        self.reply: Reply | None = None

    @property
    def closes(self) -> bool:
        """Whether the connection ends with it."""
        return self.refusal is not None or not self.keeps_alive
