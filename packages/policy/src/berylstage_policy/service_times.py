"""Interface through which the shared queue of slots learns service times."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ServiceTimes(ABC):
    """Service time estimates of targets."""

    @abstractmethod
    def seconds(self, target: str, kind: str) -> float:
        """Return a target's current service time for a request kind."""

    @abstractmethod
    def locality_penalty(self, target: str, origin: str, kind: str) -> float:
        """Return the seconds added to a target's time if it is not local to a request.

        The penalty affects only the choice among targets.
        """
