"""Where the records of requests come from when a shard is handed over."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_messages.control_pb2 import ShardRecords


class RecordSource(ABC):
    """The table of requests that may not be repeated, as a handover reads it."""

    @abstractmethod
    def export(self, shard: str) -> ShardRecords | None:
        """Return what is known of a shard's requests, or None when it is too much.

        Parameters
        ----------
        shard : str
            A shard that this VM admits no more.

        Returns
        -------
        ShardRecords or None
        """
