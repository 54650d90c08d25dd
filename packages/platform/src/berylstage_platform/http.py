"""HTTP clients of the platform's store and VM list."""

from __future__ import annotations

import json
import re
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

# Concurrent calls of one VM; further calls are queued.
MAX_CALLS = 8
# Concurrent watches of one VM. They have their own connections, so that waiting
# watches never delay a read or a write.
MAX_WATCHES = 8
# Time beyond a watch's own wait after which it is considered unanswered.
WATCH_GRACE_SECONDS = 1.0

# Far more digits than there are writes.
_VERSION = re.compile("[0-9]{1,19}")
_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500


class _PlatformClient:
    """Sends calls to the platform and converts failures into typed errors."""

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
        """Make a call and return its answer if the status is below 500 and not 429.

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
            No complete answer arrived in time, or the platform reported a server error.
        RateLimited
            The platform rejected the call because of its rate limit.
        """
        try:
            call = Call(method, self.base + path, headers or {}, body, timeout)
            answer = await self._client.call(call)
        except CallFailed as exc:
            raise StoreUnavailable(str(exc)) from exc
        if answer.status == _TOO_MANY_REQUESTS:
            raise RateLimited(
                f"{method} {path}: the platform's rate limit is exceeded and the call "
                "had no effect; retry after a delay"
            )
        if answer.status >= _SERVER_ERROR:
            raise _unavailable_error(method, path, f"status {answer.status}")
        return answer

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _unavailable_error(method: str, path: str, cause: str) -> StoreUnavailable:
    """Return the error for a call without a valid answer."""
    remedy = "; read again to check whether it took effect" if method != "GET" else ""
    return StoreUnavailable(f"{method} {path}: no valid answer ({cause}){remedy}")


def _kv_path(key: str) -> str:
    """Return the path of a key with every reserved character percent-encoded."""
    return f"/kv/{quote(key, safe='')}"


class HttpStore(Store):
    """HTTP client of the platform's key-value service.

    The calls and answers are listed in ``docs/internals/platform-contract.md``.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    timeout : float
        Seconds until a read or a write times out.
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
                f"{answer.header(b'version') or 'another'}; read it again before "
                "writing"
            )
        if answer.status == _TOO_LARGE:
            raise ValueTooLarge(
                f"{key}: {len(value)} bytes exceed the store's limit; split the value"
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
    """HTTP client of the platform's list of VMs.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform.
    timeout : float
        Seconds until a call times out.
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
        except (ValueError, TypeError, RecursionError) as exc:
            raise _unavailable_error("GET", "/vms", f"invalid list: {exc}") from exc

    async def close(self) -> None:
        """Close all connections."""
        self._calls.close()


def _parse_entry(key: str, answer: Answer) -> Entry:
    """Decode the entry in the answer to a read."""
    if answer.status == _NOT_FOUND:
        return Entry(key, b"", 0)
    if answer.status != _OK:
        raise _unexpected_status_error("GET", key, answer)
    return Entry(key, answer.body, _parse_version("GET", key, answer))


def _parse_version(method: str, key: str, answer: Answer) -> int:
    """Decode the version in an answer's header."""
    text = answer.header(b"version")
    if _VERSION.fullmatch(text) is None:
        raise _unavailable_error(method, key, "the answer has no version")
    return int(text)


def _unexpected_status_error(method: str, key: str, answer: Answer) -> PlatformError:
    """Return the error for a status that the contract does not list."""
    return PlatformError(
        f"{method} {key}: the platform returned status {answer.status}, which the "
        "contract does not list; check that the address is the platform's"
    )
