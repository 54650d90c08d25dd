"""The interface of the daemon's parts towards the application."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Part(ABC):
    """A part that the application starts, drains and stops."""

    @abstractmethod
    async def start(self) -> None:
        """Begin to work; parts that were added earlier are up already."""

    async def drain(self) -> None:
        """Let work in flight end; others still may ask this part for things."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop all tasks and let go of all connections."""
