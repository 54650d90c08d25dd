"""Stand-in for the platform: key-value service, leases and VM list over HTTP."""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter, deque
from typing import TYPE_CHECKING

from berylstage_platform.errors import ValueTooLarge, VersionConflict
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, Finish, HTTPError, RequestHandler

from berylstage_standins.faults import Faults
from berylstage_standins.key_values import MAX_VALUE, KeyValues
from berylstage_standins.process import run_until_signal

if TYPE_CHECKING:
    from collections.abc import Callable

# Calls a second, from the brief: "several hundred writes and about two thousand
# reads a second".
WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
# Seconds between two looks for lapsed leases.
LEASE_TICK = 0.05
# Bytes of a request that the server reads at most; larger values get a 413 from
# the handler, which names the limit.
MAX_REQUEST = 4 * MAX_VALUE


class PlatformFaults(Faults):
    """Fault switches of the platform.

    ``down``: ``""``, ``silent`` (calls get no answer), ``closed`` (connections close
    without an answer) or ``error`` (503). ``slow_ms`` delays each answer.
    ``lose_answers``: that many of the next writes take effect and get no answer.
    ``watch_silent``: watches neither answer nor time out. ``down_for``: limits ``down``
    to paths that start so.
    """

    __slots__ = (
        "down",
        "down_for",
        "lose_answers",
        "lose_by_close",
        "slow_ms",
        "watch_silent",
    )

    DEFAULTS = {
        "down": "",
        "down_for": "/",
        "slow_ms": 0,
        "lose_answers": 0,
        "lose_by_close": False,
        "watch_silent": False,
    }

    down: str
    down_for: str
    slow_ms: int
    lose_answers: int
    lose_by_close: bool
    watch_silent: bool


class RateLimit:
    """Calls allowed in any one second.

    Parameters
    ----------
    per_second : int
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, per_second: int, clock: Callable[[], float]):
        self.per_second = per_second
        self._clock = clock
        self._calls: deque[float] = deque()

    def admit(self) -> bool:
        """Count a call and tell whether it is within the limit."""
        now = self._clock()
        while self._calls and self._calls[0] <= now - 1.0:
            self._calls.popleft()
        if len(self._calls) >= self.per_second:
            return False
        self._calls.append(now)
        return True


class VmLog:
    """The VM list as it was a settable time ago.

    Parameters
    ----------
    lag : float
        Seconds by which the list is late.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, lag: float, clock: Callable[[], float]):
        self.lag = lag
        self._clock = clock
        self._changes: deque[tuple[float, str, dict | None]] = deque()
        self._seen: dict[str, dict] = {}

    def record(self, name: str, doc: dict | None) -> None:
        """Record a VM, or that it is gone."""
        self._changes.append((self._clock(), name, doc))

    def vms(self) -> list[dict]:
        """Return the list as it was ``lag`` seconds ago."""
        horizon = self._clock() - self.lag
        while self._changes and self._changes[0][0] <= horizon:
            _, name, doc = self._changes.popleft()
            if doc is None:
                self._seen.pop(name, None)
            else:
                self._seen[name] = doc
        return [self._seen[name] for name in sorted(self._seen)]


class Platform:
    """State of the stand-in.

    Parameters
    ----------
    vm_lag : float
        Seconds by which the VM list is late.
    writes_per_second, reads_per_second : int
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        vm_lag: float = 0.0,
        writes_per_second: int = WRITES_PER_SECOND,
        reads_per_second: int = READS_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.faults = PlatformFaults()
        self.values = KeyValues(clock)
        self.vm_log = VmLog(vm_lag, clock)
        self.writes = RateLimit(writes_per_second, clock)
        self.reads = RateLimit(reads_per_second, clock)
        self.counts: Counter[str] = Counter()
        self.fault_ended = asyncio.Event()

    def application(self) -> Application:
        """Return the HTTP application."""
        state = {"platform": self}
        return Application(
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

    def server(self) -> HTTPServer:
        """Return the HTTP server, which listens nowhere yet."""
        return HTTPServer(self.application(), max_body_size=MAX_REQUEST)

    async def lapse_leases(self) -> None:
        """Delete the keys of lapsed leases for as long as the task runs."""
        while True:
            await asyncio.sleep(LEASE_TICK)
            self.values.lapse_due()


class _Handler(RequestHandler):
    """A call that counts, and that faults can strike."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    async def prepare(self) -> None:
        kind = self.call_kind()
        self.platform.counts[kind] += 1
        await self._strike()
        limit = self.platform.reads if kind in READ_KINDS else self.platform.writes
        if not limit.admit():
            self.platform.counts["rate limited"] += 1
            raise HTTPError(429)

    def call_kind(self) -> str:
        """Return the kind under which the call is counted."""
        return "read" if self.request.method == "GET" else "write"

    async def _strike(self) -> None:
        faults = self.platform.faults
        if faults.down and self.request.path.startswith(faults.down_for):
            self.platform.counts["struck"] += 1
            if faults.down == "error":
                raise HTTPError(503)
            if faults.down == "silent":
                await self.no_answer()
            self.close_connection()
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)

    async def no_answer(self) -> None:
        """Keep the call without an answer until its caller goes away."""
        stream = self.detach()
        while not stream.closed():
            try:
                await stream.read_bytes(1)
            except StreamClosedError:
                break
        raise Finish

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
        """Answer with the value, at once or when it changes."""
        if "after" in self.request.query_arguments and not await self._changed(key):
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
        if self.platform.faults.watch_silent:
            await self.no_answer()
        changed = await self.platform.values.changed(key, after, wait)
        if self.platform.faults.watch_silent:
            await self.no_answer()
        return changed

    async def put(self, key: str) -> None:
        """Write the value if the version fits."""
        expected = int(self.request.headers.get("If-Version", "0"))
        lease = self.request.headers.get("Lease", "")
        try:
            version = self.platform.values.write(
                key, self.request.body, expected, lease
            )
        except VersionConflict:
            self.set_header("Version", str(self.platform.values.read(key).version))
            self.set_status(409)
            return
        except ValueTooLarge:
            raise HTTPError(413) from None
        except KeyError:
            raise HTTPError(410) from None
        await self._lose_answer()
        self.set_header("Version", str(version))

    async def _lose_answer(self) -> None:
        faults = self.platform.faults
        if faults.lose_answers <= 0:
            return
        faults.lose_answers -= 1
        if faults.lose_by_close:
            self.close_connection()
        await self.no_answer()


class _LeasesHandler(_Handler):
    """``/leases``."""

    def post(self) -> None:
        """Create a lease."""
        ttl = json.loads(self.request.body)["ttl_ms"] / 1000
        self.write({"id": self.platform.values.take_lease(ttl)})


class _LeaseHandler(_Handler):
    """``/leases/<id>``."""

    def put(self, lease_id: str) -> None:
        """Renew a lease."""
        if not self.platform.values.renew_lease(lease_id):
            raise HTTPError(410)

    def delete(self, lease_id: str) -> None:
        """End a lease."""
        if not self.platform.values.drop_lease(lease_id):
            raise HTTPError(410)


class _VmsHandler(_Handler):
    """``/vms``."""

    def get(self) -> None:
        """Answer with the list."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self.platform.vm_log.vms()))


class _VmHandler(_Handler):
    """``/vms/<name>``: the platform's own doing."""

    def put(self, name: str) -> None:
        """Record a VM."""
        doc = json.loads(self.request.body)
        doc.setdefault("leaving", False)
        self.platform.vm_log.record(name, {**doc, "name": name})

    def delete(self, name: str) -> None:
        """Record that a VM is gone."""
        self.platform.vm_log.record(name, None)


class _FaultsHandler(RequestHandler):
    """``/faults``: never struck by a fault itself."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        """Answer with the switches."""
        self.write(self.platform.faults.as_dict())

    def post(self) -> None:
        """Set switches; ``lapse_leases`` and ``vm_lag_ms`` act once."""
        doc = json.loads(self.request.body)
        if doc.pop("lapse_leases", False):
            self.platform.values.lapse_all()
        if "vm_lag_ms" in doc:
            self.platform.vm_log.lag = doc.pop("vm_lag_ms") / 1000
        try:
            self.platform.faults.set(doc)
        except ValueError as exc:
            self.set_status(400)
            self.write({"error": str(exc)})
            return
        self.write(self.platform.faults.as_dict())


class _CountsHandler(RequestHandler):
    """``/counts``: calls by kind since the start."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self) -> None:
        """Answer with the counts."""
        self.write(dict(self.platform.counts))


READ_KINDS = frozenset({"read", "watch"})


async def _serve(args: argparse.Namespace) -> None:
    platform = Platform(
        vm_lag=args.vm_lag,
        writes_per_second=args.writes_per_second,
        reads_per_second=args.reads_per_second,
    )
    server = platform.server()
    server.listen(args.port, args.host)
    lapsing = asyncio.ensure_future(platform.lapse_leases())
    await run_until_signal(f"platform listening on {args.host}:{args.port}")
    lapsing.cancel()
    server.stop()


def main() -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--vm-lag", type=float, default=2.0, help="seconds")
    parser.add_argument("--writes-per-second", type=int, default=WRITES_PER_SECOND)
    parser.add_argument("--reads-per-second", type=int, default=READS_PER_SECOND)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
