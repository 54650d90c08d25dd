"""Fingerprint by which VMs recognize attempts of the same request."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_entry.protocols import CallerRequest

FINGERPRINT_BYTES = 8
# Bytes of the length that precedes each part, so that parts cannot run together.
_LENGTH_BYTES = 8
_MAX_KEY_BYTES = 64


def compute_fingerprint(service: str, req: CallerRequest) -> int:
    """Return a hash of what stays the same from attempt to attempt of a request.

    Identifiers and deadlines differ in each attempt. The same bytes have different
    fingerprints at different services.

    Parameters
    ----------
    service : str
    req : CallerRequest

    Returns
    -------
    int
        Of ``FINGERPRINT_BYTES`` bytes.
    """
    key = blake2b(service.encode(), digest_size=_MAX_KEY_BYTES).digest()
    digest = blake2b(digest_size=FINGERPRINT_BYTES, key=key)
    owned_key = "" if req.key is None else str(req.key)
    parts = (req.method, req.host, req.path, owned_key)
    for part in (*(text.encode() for text in parts), req.body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as it appears in logs."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
