"""The store and the VM list over HTTP."""

from __future__ import annotations

import json
from urllib.parse import quote

from berylstage_transfers.call import Answer, Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.connection_age import ConnectionAgeLimit
from berylstage_transfers.errors import CallFailed

from berylstage_platform.errors import (
    PlatformError,
    RateLimited,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from berylstage_platform.store import Entry, Store, VmList, VmRecord

# Calls of one VM that are under way at once; further ones wait their turn.
MAX_CALLS = 8
# Watches of one VM that wait at once. They have connections of their own, so that
# waiting watches never hold up a read or a write.
MAX_WATCHES = 8
# Seconds that a watch waits beyond its own time before it counts as silent.
WATCH_GRACE_SECONDS = 1.0

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500


class _PlatformClient:
    """Sends calls to the platform and turns its failures into typed errors."""

    def __init__(
        self, address: str, max_calls: int, age_limit: ConnectionAgeLimit | None = None
    ):
        self.base = f"http://{address}"
        self._client = CallClient(max_calls, age_limit=age_limit)

    async def call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call and return its answer of any status below 500.

        Parameters
        ----------
        method : str
        path : str
            Path and query, percent-encoded.
        timeout : float
            Seconds for the whole call.
        body : bytes, optional
        headers : dict of str to str, optional

        Returns
        -------
        Answer

        Raises
        ------
        StoreUnavailable
            No whole answer came in time, or the platform reported its own failure.
        RateLimited
            The platform refused the call.
        """
        try:
            call = Call(method, self.base + path, headers or {}, body, timeout)
            answer = await self._client.call(call)
        except CallFailed as exc:
            raise StoreUnavailable(str(exc)) from exc
        if answer.status == _TOO_MANY_REQUESTS:
            raise RateLimited(
                f"{method} {path}: the platform's rate limit is reached; nothing was "
                "done, call again after a pause"
            )
        if answer.status >= _SERVER_ERROR:
            raise _unavailable_error(method, path, f"status {answer.status}")
        return answer

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _unavailable_error(method: str, path: str, cause: str) -> StoreUnavailable:
    """Return the error for a call without a usable answer."""
    remedy = "; read back to see whether it took effect" if method != "GET" else ""
    return StoreUnavailable(f"{method} {path}: no usable answer ({cause}){remedy}")


def _kv_path(key: str) -> str:
    """Return the path of a key; every reserved character is percent-encoded."""
    return f"/kv/{quote(key, safe='')}"


class HttpStore(Store):
    """The platform's key-value service over HTTP.

    The calls and answers are listed in ``docs/internals/platform-contract.md``.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    timeout : float
        Seconds that a read or a write waits at most.
    """

    def __init__(self, address: str, timeout: float = 2.0):
        self.timeout = timeout
        age_limit = ConnectionAgeLimit()
        self._calls = _PlatformClient(address, MAX_CALLS, age_limit)
        self._watches = _PlatformClient(address, MAX_WATCHES, age_limit)

    async def read(self, key: str) -> Entry:  # noqa: D102
        answer = await self._calls.call("GET", _kv_path(key), self.timeout)
        return _parse_entry(key, answer)

    async def write(  # noqa: D102
        self, key: str, value: bytes, expected_version: int
    ) -> int:
        headers = {"If-Version": str(expected_version)}
        answer = await self._calls.call(
            "PUT", _kv_path(key), self.timeout, value, headers
        )
        if answer.status == _CONFLICT:
            raise VersionConflict(
                f"{key}: expected version {expected_version}, the store has "
                f"{answer.header(b'version') or 'another'}; read again and decide "
                "anew"
            )
        if answer.status == _TOO_LARGE:
            raise ValueTooLarge(
                f"{key}: {len(value)} bytes are over the store's limit; split the value"
            )
        if answer.status != _OK:
            raise _unexpected_status_error("PUT", key, answer)
        return _parse_version("PUT", key, answer)

    async def watch(  # noqa: D102
        self, key: str, after_version: int, timeout: float
    ) -> Entry | None:
        path = f"{_kv_path(key)}?after={after_version}&wait_ms={int(timeout * 1000)}"
        answer = await self._watches.call("GET", path, timeout + WATCH_GRACE_SECONDS)
        if answer.status == _NO_CONTENT:
            return None
        return _parse_entry(key, answer)

    async def close(self) -> None:  # noqa: D102
        self._calls.close()
        self._watches.close()


class HttpVmList(VmList):
    """The platform's list of VMs over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    timeout : float
        Seconds that a call waits at most.
    """

    def __init__(self, address: str, timeout: float = 2.0):
        self.timeout = timeout
        self._calls = _PlatformClient(address, 1)

    async def vms(self) -> list[VmRecord]:  # noqa: D102
        answer = await self._calls.call("GET", "/vms", self.timeout)
        if answer.status != _OK:
            raise _unexpected_status_error("GET", "/vms", answer)
        try:
            return [VmRecord(**doc) for doc in json.loads(answer.body)]
        except (ValueError, TypeError) as exc:
            raise _unavailable_error("GET", "/vms", f"unreadable list: {exc}") from exc

    async def close(self) -> None:
        """Close all connections."""
        self._calls.close()


def _parse_entry(key: str, answer: Answer) -> Entry:
    """Return the entry that an answer to a read carries."""
    if answer.status == _NOT_FOUND:
        return Entry(key, b"", 0)
    if answer.status != _OK:
        raise _unexpected_status_error("GET", key, answer)
    return Entry(key, answer.body, _parse_version("GET", key, answer))


def _parse_version(method: str, key: str, answer: Answer) -> int:
    """Return the version that an answer names."""
    try:
        return int(answer.header(b"version"))
    except ValueError as exc:
        raise _unavailable_error(method, key, "the answer names no version") from exc


def _unexpected_status_error(method: str, key: str, answer: Answer) -> PlatformError:
    """Return the error for an answer that the contract does not list."""
    return PlatformError(
        f"{method} {key}: the platform answered {answer.status}, which the contract "
        "does not list; check that the address is the platform's"
    )
