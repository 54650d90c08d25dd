"""Requests of callers as the daemon works on them."""

from __future__ import annotations

import re
import uuid
from typing import TYPE_CHECKING

from berylstage_daemon.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from berylstage_sheet.configuration import Configuration, Kind, Service

# A caller may ask for less time than the sheet gives its kind, or for more up to this.
LONGEST_TIMEOUT_MS = 120_000
UUID_TIME_SHIFT = 80
# Digits that are looked at: Python refuses to read numbers of thousands of them.
LONGEST_NUMBER = 20
# Largest number that passes from VM to VM.
LATEST_ISSUE_TIME = 2**63 - 1
# Names that callers choose go into headers, logs, queues and records, and pass from VM
# to VM. Unbounded, a few long ones would fill the memory of a small VM; a control
# character in one would break the log line or the header that it is copied into.
LONGEST_NAME = 200
NAME = re.compile(r"[\x20-\x7e]*")


class CallerRequest:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        The caller's, or made by the VM that received it.
    service : Service
    kind : Kind
    key : str
    method : str
    body : bytes
    content_type : str
    caller : str
        Name that the caller gives itself, for fairness; may be empty.
    idempotency_key : str
        Empty for repeatable kinds.
    issued_at_ms : int
        Unix milliseconds at which the caller first issued it; 0 if repeatable.
    arrived : float
        Monotonic seconds.
    deadline : float
        Monotonic seconds.
    attempt : int
        Counts the attempts of this VM and those before it.
    """

    __slots__ = (
        "request_id",
        "service",
        "kind",
        "key",
        "method",
        "body",
        "content_type",
        "caller",
        "idempotency_key",
        "issued_at_ms",
        "arrived",
        "deadline",
        "attempt",
    )

    def __init__(
        self,
        request_id: str,
        service: Service,
        kind: Kind,
        key: str,
        method: str,
        body: bytes,
        content_type: str,
        caller: str,
        idempotency_key: str,
        issued_at_ms: int,
        arrived: float,
        deadline: float,
        attempt: int = 0,
    ):
        self.request_id = request_id
        self.service = service
        self.kind = kind
        self.key = key
        self.method = method
        self.body = body
        self.content_type = content_type
        self.caller = caller
        self.idempotency_key = idempotency_key
        self.issued_at_ms = issued_at_ms
        self.arrived = arrived
        self.deadline = deadline
        self.attempt = attempt


def find_kind(cfg: Configuration, service: str, kind: str) -> tuple[Service, Kind]:
    """Return the service and kind that a URL names.

    Parameters
    ----------
    cfg : Configuration
    service, kind : str

    Returns
    -------
    tuple of Service and Kind

    Raises
    ------
    RequestError
        The sheet knows no such service or kind.
    """
    found = cfg.services.get(service)
    if found is None:
        names = ", ".join(sorted(cfg.services))
        raise RequestError(
            404, "no-service", f"no service {service!r}; the sheet has {names}"
        )
    if kind not in found.kinds:
        names = ", ".join(sorted(found.kinds))
        raise RequestError(404, "no-kind", f"{service} has no {kind!r}; it has {names}")
    return found, found.kinds[kind]


def read_name(headers: Mapping[str, str], name: str) -> str:
    """Return a header whose value the caller chooses; empty when it is missing.

    Parameters
    ----------
    headers : mapping of str to str
    name : str
        Name of the header.

    Returns
    -------
    str

    Raises
    ------
    RequestError
        The value is too long or has other than printable ASCII characters.
    """
    value = headers.get(name, "")
    if len(value) > LONGEST_NAME or not NAME.fullmatch(value):
        raise RequestError(
            400,
            "bad-header",
            f"{name} must have at most {LONGEST_NAME} characters, all printable ASCII",
        )
    return value


def read_timeout_ms(text: str | None, kind: Kind) -> int:
    """Return the time that a caller gives its request, in milliseconds.

    Parameters
    ----------
    text : str or None
        Header ``Request-Timeout-Ms``.
    kind : Kind
        Gives the default.

    Returns
    -------
    int

    Raises
    ------
    RequestError
        The header is no whole number in range.
    """
    if text is None:
        return kind.deadline_ms
    if not text.isdecimal() or not 0 < int(text[:LONGEST_NUMBER]) <= LONGEST_TIMEOUT_MS:
        raise RequestError(
            400,
            "bad-timeout",
            f"Request-Timeout-Ms must be a whole number from 1 to {LONGEST_TIMEOUT_MS}",
        )
    return int(text)


def read_issue_time(key: str | None, issued_at: str | None) -> int:
    """Return when a request that may not be repeated was first issued.

    Parameters
    ----------
    key : str or None
        Header ``Idempotency-Key``; a UUIDv7 carries its time (RFC 9562).
    issued_at : str or None
        Header ``Idempotency-Issued-At``, Unix milliseconds.

    Returns
    -------
    int
        Unix milliseconds.

    Raises
    ------
    RequestError
        The key is missing, or no issue time can be found.
    """
    if not key:
        raise RequestError(
            400,
            "no-idempotency-key",
            "this kind runs at most once: send an Idempotency-Key that you keep "
            "for repeats of the same request",
        )
    if issued_at is not None:
        if (
            not issued_at.isdecimal()
            or int(issued_at[:LONGEST_NUMBER]) > LATEST_ISSUE_TIME
        ):
            raise RequestError(
                400, "bad-issue-time", "Idempotency-Issued-At must be Unix milliseconds"
            )
        return int(issued_at)
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        raise RequestError(
            400,
            "no-issue-time",
            "send Idempotency-Issued-At (Unix milliseconds at which you first issued "
            "the request), or use a UUIDv7 as the key",
        )
    return parsed.int >> UUID_TIME_SHIFT
