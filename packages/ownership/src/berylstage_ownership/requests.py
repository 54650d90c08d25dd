"""Requests to other VMs that are under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import PEER_TIMEOUT

if TYPE_CHECKING:
    from berylstage_messages.control_pb2 import Envelope


class PeerRequest:
    """One request under way.

    Parameters
    ----------
    peer : str
    envelope : Envelope
    sent_at : float
    """

    __slots__ = ("peer", "envelope", "sent_at")

    def __init__(self, peer: str, envelope: Envelope, sent_at: float):
        self.peer = peer
        self.envelope = envelope
        self.sent_at = sent_at

    @property
    def kind(self) -> str | None:
        """Kind of the message, as the envelope names it."""
        return self.envelope.WhichOneof("body")


class PeerRequests:
    """All requests to other VMs under way, by tag."""

    def __init__(self) -> None:
        self._requests: dict[int, PeerRequest] = {}

    def add(self, tag: int, request: PeerRequest) -> None:
        """Note a request that leaves."""
        self._requests[tag] = request

    def take(self, tag: int) -> PeerRequest | None:
        """Return a request whose reply came, and forget it."""
        return self._requests.pop(tag, None)

    def waiting(self, peer: str, kind: str) -> bool:
        """Tell whether a request of a kind to a VM is under way."""
        return any(
            req.peer == peer and req.kind == kind for req in self._requests.values()
        )

    def drop_late(self, now: float) -> None:
        """Forget requests whose reply is long overdue."""
        self._requests = {
            tag: req
            for tag, req in self._requests.items()
            if now - req.sent_at <= 2 * PEER_TIMEOUT
        }
