"""Limits of requests that all VMs keep together, each request with a token."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

    from berylstage_entry.errors import Refused


class Quota(ABC):
    """A limit for which a VM can ask the quota server for tokens.

    Attributes
    ----------
    name : str
        Determines the quota server.
    rate : float
        Requests per second over all VMs.
    burst : float
        Requests that may come at once beyond the rate.
    """

    __slots__ = ()

    name: str
    rate: float
    burst: float

    @property
    def is_limited(self) -> bool:
        """Whether requests need a token."""
        return self.rate > 0

    @property
    @abstractmethod
    def identity(self) -> Hashable:
        """Value that distinguishes the quota from all others."""

    @abstractmethod
    def encode_request(self, number: int, count: int) -> bytes:
        """Return the datagram that asks the quota server for tokens.

        Parameters
        ----------
        number : int
            Number of the request, counted by the requesting VM.
        count : int
            Number of requests that wait for a token.
        """

    @abstractmethod
    def build_refusal(self, retry_after: float, version: int) -> Refused:
        """Return the error for a request that gets no token.

        Parameters
        ----------
        retry_after : float
            Seconds until there is room for the request.
        version : int
            Version of the configuration in force.
        """


class Token:
    """Permission to send one request that a quota covers.

    Parameters
    ----------
    quota : hashable
        Identity of the quota.
    granted_at : float
        Monotonic seconds.
    """

    __slots__ = ("granted_at", "quota")

    def __init__(self, quota: Hashable, granted_at: float):
        self.quota = quota
        self.granted_at = granted_at
