"""The store and the VM list over HTTP, by tornado's curl client."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import quote

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from berylstage_platform.errors import (
    PlatformError,
    RateLimited,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from berylstage_platform.store import Entry, Store, VmList, VmRecord

if TYPE_CHECKING:
    from typing import Any

# Calls of one VM that are under way at once; further ones wait their turn.
MAX_CALLS = 8
# Watches of one VM that wait at once. They have connections of their own, so that
# waiting watches never hold up a read or a write.
MAX_WATCHES = 8
# Seconds to wait for a connection; the platform is a few milliseconds away.
CONNECT_TIMEOUT = 1.0
# Seconds that a watch waits beyond its own time before it counts as silent.
WATCH_GRACE = 1.0
# Seconds after which an idle connection is not used again: something between the
# two ends may have lost track of it, and a call on it would wait in vain.
MAX_IDLE = 10

_STATUS_OK = 200
_STATUS_NO_CONTENT = 204
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_TOO_LARGE = 413
_STATUS_TOO_MANY = 429


class _SingleSend:
    """Lets libcurl send a request once.

    libcurl sends a request again, on a new connection, when a kept connection closes
    before any answer. A write whose answer was lost would then meet its own effect
    and look like a conflict, so the second sending is forbidden here.
    """

    __slots__ = ("sent",)

    def __init__(self) -> None:
        self.sent = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of a transfer, as the ``prepare_curl_callback``."""
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE)

    def _before_sending(self, *_addresses: Any) -> int:
        if self.sent:
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


class _Caller:
    """Sends calls to the platform and turns its failures into typed errors."""

    def __init__(self, address: str, max_calls: int):
        self.base = f"http://{address}"
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=max_calls,
            defaults={"follow_redirects": False, "allow_ipv6": False},
        )

    async def call(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
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
        HTTPResponse

        Raises
        ------
        StoreUnavailable
            No whole answer came in time, or the platform reported its own failure.
        RateLimited
            The platform refused the call.
        """
        guard = _SingleSend()
        req = HTTPRequest(
            self.base + path,
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT, timeout),
            request_timeout=timeout,
            prepare_curl_callback=guard.prepare,
        )
        try:
            answer = await self._client.fetch(req, raise_error=False)
        except CurlError as exc:  # pragma: no cover - raise_error=False returns it
            raise _unavailable(method, path, str(exc)) from exc
        if answer.code == _STATUS_TOO_MANY:
            raise RateLimited(
                f"{method} {path}: the platform's rate limit is reached; nothing was "
                "done, call again after a pause"
            )
        if answer.code >= 500:
            raise _unavailable(method, path, str(answer.error or answer.code))
        return answer

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _unavailable(method: str, path: str, cause: str) -> StoreUnavailable:
    """Return the error for a call without an answer."""
    settle = "; read back to see whether it took effect" if method != "GET" else ""
    return StoreUnavailable(f"{method} {path}: no answer ({cause}){settle}")


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
        self._calls = _Caller(address, MAX_CALLS)
        self._watches = _Caller(address, MAX_WATCHES)

    async def read(self, key: str) -> Entry:  # noqa: D102
        answer = await self._calls.call("GET", _kv_path(key), self.timeout)
        return _entry(key, answer)

    async def write(  # noqa: D102
        self, key: str, value: bytes, expected_version: int
    ) -> int:
        headers = {"If-Version": str(expected_version)}
        answer = await self._calls.call(
            "PUT", _kv_path(key), self.timeout, value, headers
        )
        if answer.code == _STATUS_CONFLICT:
            raise VersionConflict(
                f"{key}: expected version {expected_version}, the store has "
                f"{answer.headers.get('Version', 'another')}; read again and decide "
                "anew"
            )
        if answer.code == _STATUS_TOO_LARGE:
            raise ValueTooLarge(
                f"{key}: {len(value)} bytes are over the store's limit; split the value"
            )
        if answer.code != _STATUS_OK:
            raise _unexpected("PUT", key, answer)
        return _version("PUT", key, answer)

    async def watch(  # noqa: D102
        self, key: str, after_version: int, timeout: float
    ) -> Entry | None:
        path = f"{_kv_path(key)}?after={after_version}&wait_ms={int(timeout * 1000)}"
        answer = await self._watches.call("GET", path, timeout + WATCH_GRACE)
        if answer.code == _STATUS_NO_CONTENT:
            return None
        return _entry(key, answer)

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
        self._calls = _Caller(address, 1)

    async def vms(self) -> list[VmRecord]:  # noqa: D102
        answer = await self._calls.call("GET", "/vms", self.timeout)
        if answer.code != _STATUS_OK:
            raise _unexpected("GET", "/vms", answer)
        try:
            return [VmRecord(**doc) for doc in json.loads(answer.body)]
        except (ValueError, TypeError) as exc:
            raise _unavailable("GET", "/vms", f"unreadable list: {exc}") from exc

    async def close(self) -> None:
        """Close all connections."""
        self._calls.close()


def _entry(key: str, answer: HTTPResponse) -> Entry:
    """Return the entry that an answer to a read carries."""
    if answer.code == _STATUS_NOT_FOUND:
        return Entry(key, b"", 0)
    if answer.code != _STATUS_OK:
        raise _unexpected("GET", key, answer)
    return Entry(key, answer.body, _version("GET", key, answer))


def _version(method: str, key: str, answer: HTTPResponse) -> int:
    """Return the version that an answer names."""
    try:
        return int(answer.headers["Version"])
    except (KeyError, ValueError) as exc:
        raise _unavailable(method, key, "the answer names no version") from exc


def _unexpected(method: str, key: str, answer: HTTPResponse) -> PlatformError:
    """Return the error for an answer that the contract does not list."""
    return PlatformError(
        f"{method} {key}: the platform answered {answer.code}, which the contract does "
        "not list; check that the address is the platform's"
    )
