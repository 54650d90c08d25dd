"""HTTP API of the simulated platform, as specified in ``platform-contract.md``."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_platform.errors import ValueTooLarge, VersionConflict
from berylstage_platform.store import VmRecord
from tornado.httpserver import HTTPServer
from tornado.web import Application, Finish, HTTPError, RequestHandler

from berylstage_standins.connections import leave_unanswered
from berylstage_standins.key_values import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from berylstage_standins.platform import Platform

# Exceeds the store's limit, so that a value between the two limits is read and gets
# the status 413 that the contract requires.
MAX_REQUEST_BYTES = 4 * MAX_VALUE_BYTES


def make_server(platform: Platform) -> HTTPServer:
    """Return an HTTP server for a platform that does not listen yet.

    Parameters
    ----------
    platform : Platform

    Returns
    -------
    HTTPServer
    """
    state = {"platform": platform}
    application = Application(
        [
            (r"/kv/(.+)", _KeyHandler, state),
            (r"/leases", _LeasesHandler, state),
            (r"/leases/([^/]+)", _LeaseHandler, state),
            (r"/vms", _VmsHandler, state),
            (r"/vms/([^/]+)", _VmHandler, state),
            (r"/faults", _FaultsHandler, state),
            (r"/counts", _CountsHandler, state),
        ],
        log_function=lambda handler: None,
    )
    return HTTPServer(application, max_body_size=MAX_REQUEST_BYTES)


class _Handler(RequestHandler):
    """Base class for calls that are counted and subject to faults."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    async def prepare(self) -> None:
        admitted = self.platform.count(self.call_kind())
        await self.apply_down_fault()
        if not admitted:
            raise HTTPError(429)
        if self.platform.faults.slow_ms:
            await asyncio.sleep(self.platform.faults.slow_ms / 1000)

    def call_kind(self) -> str:
        """Return the kind under which the call is counted."""
        return "read" if self.request.method == "GET" else "write"

    async def apply_down_fault(self) -> None:
        """Apply the fault switch ``down`` to the call."""
        faults = self.platform.faults
        if not faults.down or not self.request.path.startswith(faults.down_for):
            return
        if faults.down == "error":
            raise HTTPError(503)
        if faults.down == "silent":
            await leave_unanswered(self)
        self.close_connection()

    def close_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
        raise Finish

    def write_error(self, status_code: int, **kwargs: object) -> None:
        self.finish()


class _KeyHandler(_Handler):
    """``/kv/<key>``."""

    def call_kind(self) -> str:
        if self.request.method == "PUT":
            return "write"
        return "watch" if "after" in self.request.query_arguments else "read"

    async def get(self, key: str) -> None:
        """Return the value, for a watch after it has changed."""
        if self.call_kind() == "watch" and not await self._changed(key):
            self.set_status(204)
            return
        found = self.platform.values.read(key)
        self.set_header("Version", str(found.version))
        self.set_header("Content-Type", "application/octet-stream")
        if not found.version:
            self.set_status(404)
            return
        self.write(found.value)

    async def _changed(self, key: str) -> bool:
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("wait_ms", "0")) / 1000
        changed = await self.platform.values.changed(key, after, wait)
        if self.platform.faults.watch_silent:
            await leave_unanswered(self)
        # The switch may have been set while the watch waited.
        await self.apply_down_fault()
        return changed

    async def put(self, key: str) -> None:
        """Write the value if the key has the expected version."""
        expected = int(self.request.headers.get("If-Version", "0"))
        lease = self.request.headers.get("Lease", "")
        values = self.platform.values
        try:
            version = values.write(key, self.request.body, expected, lease)
        except VersionConflict:
            self.set_header("Version", str(values.read(key).version))
            self.set_status(409)
            return
        except ValueTooLarge:
            raise HTTPError(413) from None
        except KeyError:
            raise HTTPError(410) from None
        await self._apply_answer_faults()
        self.set_header("Version", str(version))

    async def _apply_answer_faults(self) -> None:
        faults = self.platform.faults
        if faults.slow_answer_ms:
            await asyncio.sleep(faults.slow_answer_ms / 1000)
        if faults.lose_answers <= 0:
            return
        faults.lose_answers -= 1
        if faults.lose_by_close:
            self.close_connection()
        await leave_unanswered(self)


class _LeasesHandler(_Handler):
    """``/leases``."""

    def post(self) -> None:
        """Create a lease."""
        ttl = json.loads(self.request.body)["ttl_ms"] / 1000
        self.write({"id": self.platform.values.create_lease(ttl)})


class _LeaseHandler(_Handler):
    """``/leases/<id>``."""

    def put(self, lease_id: str) -> None:
        """Renew a lease."""
        if not self.platform.values.renew_lease(lease_id):
            raise HTTPError(410)

    def delete(self, lease_id: str) -> None:
        """Revoke a lease."""
        if not self.platform.values.revoke_lease(lease_id):
            raise HTTPError(410)


class _VmsHandler(_Handler):
    """``/vms``."""

    def get(self) -> None:
        """Return the VM list."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self.platform.vm_log.vms()))


class _VmHandler(_Handler):
    """``/vms/<name>``: simulates the platform's own changes of the VM list."""

    def put(self, name: str) -> None:
        """Add or change a VM."""
        doc = {"leaving": False, **json.loads(self.request.body), "name": name}
        if set(doc) != set(VmRecord.__slots__):
            raise HTTPError(400)
        self.platform.vm_log.record(name, doc)

    def delete(self, name: str) -> None:
        """Remove a VM."""
        self.platform.vm_log.record(name, None)


class _FaultsHandler(RequestHandler):
    """``/faults``, which is not subject to faults."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        """Return the values of the switches."""
        self.write(self.platform.faults.as_dict())

    def post(self) -> None:
        """Set switches; ``lapse_leases`` and ``vm_lag_ms`` act once."""
        doc = json.loads(self.request.body)
        expire = doc.pop("lapse_leases", False)
        lag_ms = doc.pop("vm_lag_ms", None)
        try:
            self.platform.faults.set(doc)
        except ValueError as exc:
            self.set_status(400)
            self.write({"error": str(exc)})
            return
        if expire:
            self.platform.values.expire_all_leases()
        if lag_ms is not None:
            self.platform.vm_log.lag = lag_ms / 1000
        self.write(self.platform.faults.as_dict())


class _CountsHandler(RequestHandler):
    """``/counts``: number of calls by kind since the start."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        """Return the counts."""
        self.write(dict(self.platform.counts))
