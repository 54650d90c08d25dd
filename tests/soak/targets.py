"""Targets that record the grants they hold and the requests they run."""

from __future__ import annotations

import asyncio
import json
import time
from random import Random
from typing import TYPE_CHECKING

from platform_standin import Grant, Health, Release, Server, ServerHandler
from soak.ledger import build_answer_body
from tornado.httpserver import HTTPServer
from tornado.web import Application, Finish, HTTPError, stream_request_body

if TYPE_CHECKING:
    from soak.ledger import Ledger
    from soak.target_links import TargetLink

PORT = 8391
# Requests that a target runs at once, and those that may wait in addition.
SLOTS = 2
QUEUE_LIMIT = 8
# Requests that may wait at a target which never answers those that it cannot queue.
SILENT_QUEUE_LIMIT = 4

# Bytes of the largest body of an upload, and the bytes of bodies above which a target
# ends: permits bound them to one body for each slot.
MAX_UPLOAD_BYTES = 360_000
BODY_MEMORY_BYTES = SLOTS * MAX_UPLOAD_BYTES
# Seconds after which a target that a request has ended starts again.
RESTART_SECONDS = 1.0

MEAN_SERVICE_SECONDS = 0.05
# Status of a request for a key that the target does not own.
MISDIRECTED = 421


class SoakServer(HTTPServer):
    """HTTP server that knows its connections, and which of them carry requests."""

    def initialize(self, *args, **kwargs):
        super().initialize(*args, **kwargs)
        self.streams = set()
        # Those with a request in progress.
        self.busy_streams = set()

    def handle_stream(self, stream, address):
        """Serve a connection."""
        self.streams = {known for known in self.streams if not known.closed()}
        self.streams.add(stream)
        super().handle_stream(stream, address)

    def close_idle(self):
        """Close all connections that carry no request."""
        for stream in self.streams - self.busy_streams:
            stream.close()


class SoakTarget(Server):
    """A target that can crash, become unresponsive, lose answers, drain and leave.

    Parameters
    ----------
    name, service, ip : str
    ledger : Ledger
        Record of grants and runs.
    rng : Random
        Source of service times and lost answers.
    """

    def __init__(self, name: str, service: str, ip: str, ledger: Ledger, rng: Random):
        super().__init__(name)
        self.service = service
        self.ip = ip
        self.ledger = ledger
        self.rng = rng
        self.incarnation = 1
        self.is_unresponsive = False
        self.lost_answer_share = 0.0
        # Least time that a request takes.
        self.min_service_seconds = 0.0
        self.is_draining = False
        # Requests per second that it accepts from all VMs together; None for no limit.
        self.limit: float | None = None
        # Rest for which it asks each VM that it turns away; 0 while it works.
        self.rest_seconds = 0.0
        # Whether it says in its answers that it leaves.
        self.is_leaving = False
        self.in_progress = 0
        self.queue_limit = QUEUE_LIMIT
        # Whether it reports its running and waiting requests; a constant otherwise.
        self.reports_load = False
        # Whether it never answers a request that it cannot queue, nor a later one on
        # that connection, and the number of requests left without an answer.
        self.is_silent_when_full = False
        self.unanswered = 0
        # Whether work from elsewhere takes all slots and places in the queue.
        self.is_filled = False
        # Bytes of the body that it holds of each upload, and the most that it held.
        self.bodies: dict[str, int] = {}
        self.max_body_bytes = 0
        # Bytes per second that it reads of an upload's body; None for no limit.
        self.read_bytes_per_second: float | None = None
        self._memory_end: asyncio.Task | None = None
        # Size of the answers of requests that end the target; None for none.
        self.fatal_size: int | None = None
        self._fatal_ends: set[asyncio.Task] = set()
        # Whether it must not start again.
        self.is_stopped = False
        self.slots = asyncio.Semaphore(SLOTS)
        self.http: SoakServer | None = None
        # Links from the VMs, by their numbers, where each VM has links of its own.
        self.links: list[TargetLink] = []

    @property
    def is_running(self) -> bool:
        """Whether the target accepts connections."""
        return self.http is not None and not self.is_closing

    @property
    def is_full(self) -> bool:
        """Whether the target cannot queue another request."""
        return self.is_filled or self.in_progress >= SLOTS + self.queue_limit

    def start(self) -> None:
        """Start an incarnation without grants and without known fence tokens."""
        self.holds, self.seen, self.in_progress = [], [], 0
        self.bodies = {}
        self.limit, self.rest_seconds, self.is_leaving = None, 0.0, False
        self.is_closing = False
        self.slots = asyncio.Semaphore(SLOTS)
        self.http = SoakServer(_application(self))
        self.http.listen(PORT, self.ip)
        for link in self.links:
            link.open()

    async def crash(self) -> None:
        """End the incarnation without draining or updating the record."""
        http, self.http = self.http, None
        if http is not None:
            for link in self.links:
                link.close()
            http.stop()
            self.ledger.record_target_end(self)
            self.incarnation += 1
            await http.close_all_connections()

    async def leave(self) -> None:
        """Close the port and idle connections, complete what runs, and then end.

        It takes no new request on the connections that it completes.
        """
        assert self.http is not None
        self.is_closing = True
        self.http.stop()
        self.http.close_idle()
        while self.in_progress:
            await asyncio.sleep(0.01)
        await self.crash()

    def load(self) -> str:
        """Return the report of its running and waiting requests and its slots."""
        active = SLOTS + self.queue_limit if self.is_filled else self.in_progress
        return f"{min(SLOTS, active)},{max(0, active - SLOTS)},{SLOTS},100"

    def hold_body(self, request_id: str, size: int) -> None:
        """Hold more bytes of an upload's body, and end if all exceed the memory."""
        self.bodies[request_id] = self.bodies.get(request_id, 0) + size
        body_bytes = sum(self.bodies.values())
        self.max_body_bytes = max(self.max_body_bytes, body_bytes)
        is_ending = self._memory_end is not None and not self._memory_end.done()
        if body_bytes > BODY_MEMORY_BYTES and not is_ending:
            bodies = ", ".join(
                f"{request_id} ({held}{', runs' * (request_id in self.ledger.runs)})"
                for request_id, held in self.bodies.items()
            )
            self.ledger.memory_excesses.append(
                f"{self.name} ended with {body_bytes} bytes of bodies at "
                f"{time.monotonic():.2f}: {bodies}"
            )
            self._memory_end = asyncio.create_task(self.crash_and_restart())

    async def crash_and_restart(self) -> None:
        """End the incarnation, and start the next one after a moment."""
        await self.crash()
        await asyncio.sleep(RESTART_SECONDS)
        if not self.is_running and not self.is_stopped:
            self.start()

    def stop(self) -> None:
        """Stop for good, as the installation is taken down."""
        self.is_stopped = True
        for link in self.links:
            link.close()
        if self.http is not None:
            self.http.stop()

    def end_for_fatal_request(self) -> None:
        """End because of the request that runs."""
        self.ledger.record_fatal_run(self)
        self.end_now()

    def end_now(self) -> None:
        """End, and start again after a moment, without waiting for either."""
        task = asyncio.create_task(self.crash_and_restart())
        self._fatal_ends.add(task)
        task.add_done_callback(self._fatal_ends.discard)

    async def wait_for_work(self, first: int, last: int) -> None:
        """Wait until no request for some keys, both inclusive, is in progress."""
        while any(first <= key <= last for key in self.ledger.running_keys(self)):
            await asyncio.sleep(0.01)

    def record(self) -> bytes:
        """Return the target's record for the store."""
        state = "draining" if self.is_draining else "ready"
        doc = {
            "address": f"{self.ip}:{PORT}",
            "born": self.incarnation,
            "info": {
                "service": self.service,
                "version": "v",
                "zone": "a",
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": 1, "warmup_left_ms": 0},
        }
        return json.dumps(doc).encode()


class IncarnationHandler(ServerHandler):
    """Handler for one incarnation of a target; does nothing once that has ended.

    The connections of a crashed target close one after the other. A request received on
    one of them meanwhile, or waiting for a slot, must not count as run.
    """

    def initialize(self, server, incarnation):
        super().initialize(server)
        self.incarnation = incarnation
        self.closed = asyncio.Event()

    def prepare(self):
        super().prepare()
        self.abort_if_replaced()

    def finish(self, chunk=None):
        """End the answer with the load at this time."""
        if self.server.reports_load:
            self.set_header("Berylstage-Backend-Load", self.server.load())
        return super().finish(chunk)

    def abort_if_replaced(self):
        """Close the connection if the incarnation has ended."""
        if self.incarnation != self.server.incarnation:
            self.request.connection.stream.close()
            raise Finish

    def on_connection_close(self):
        """End a request that gets no answer."""
        self.closed.set()

    def on_finish(self):
        """Close the connection of a target that leaves."""
        if self.server.is_closing:
            self.request.connection.stream.close()


class SoakHealth(IncarnationHandler, Health):
    """Answers probes."""


class SoakGrant(IncarnationHandler, Grant):
    """Handles a grant and records it."""

    async def prepare(self):
        super().prepare()
        if self.server.is_unresponsive:
            await _hang()

    def post(self):
        super().post()
        if self.get_status() == 200:
            self.server.ledger.record_grants(self.server)


class SoakRelease(IncarnationHandler, Release):
    """Handles a release and records it once requests for the keys have ended."""

    async def post(self):
        super().post()
        doc = json.loads(self.request.body)
        await self.server.wait_for_work(doc["from"], doc["target"])
        self.server.ledger.record_grants(self.server)


class SoakWork(IncarnationHandler):
    """Runs a request, with a key or without."""

    async def get(self):
        await self._serve()

    async def post(self):
        await self._serve()

    async def _serve(self):
        server, head = self.server, self.request.headers
        server.ledger.notices.record_arrival(server.name, head["Berylstage-Attempt-Id"])
        if server.is_unresponsive:
            await _hang()
        key = head.get("Berylstage-Shard-Key")
        if key is not None and not server.holds_key(int(key)):
            self._refuse(MISDIRECTED)
            return
        if server.rest_seconds:
            self._refuse(503)
            self.set_header("Retry-After", f"{server.rest_seconds:.2f}")
            request_id = head["Berylstage-Attempt-Id"]
            server.ledger.notices.record_rest(
                server.name, request_id, server.rest_seconds
            )
            return
        if server.is_full:
            if server.is_silent_when_full:
                await self._leave_unanswered()
            self._refuse(503)
            return
        if server.is_closing:
            self._refuse(503)
            return
        http, stream = server.http, self.request.connection.stream
        server.in_progress += 1
        http.busy_streams.add(stream)
        try:
            async with server.slots:
                self.abort_if_replaced()
                await self._run(head["Berylstage-Attempt-Id"], key)
        finally:
            # A new incarnation starts its own count.
            server.in_progress -= self.incarnation == server.incarnation
            http.busy_streams.discard(stream)

    async def _leave_unanswered(self):
        """Wait until the connection closes; no later request on it is read."""
        self.server.unanswered += 1
        await self.closed.wait()
        raise Finish

    def _add_notices(self):
        """Add to an answer what the target says of itself."""
        server = self.server
        server.ledger.notices.record_limit(server.name, server.limit)
        if server.limit is not None:
            self.set_header("Server-Limit", f"{server.limit:.2f}")
        if server.is_leaving:
            self.set_header("Server-Leaving", "1")

    def _refuse(self, status):
        self.set_status(status)
        self.set_header("Berylstage-Not-Executed", "1")
        if status != MISDIRECTED:
            self._add_notices()

    async def _run(self, request_id, key):
        server = self.server
        if key is not None and not server.holds_key(int(key)):
            self._refuse(MISDIRECTED)
            return
        server.ledger.record_run(server, request_id, key)
        size = int(self.request.path.rpartition("/")[2])
        if size == server.fatal_size:
            server.end_for_fatal_request()
            await self.closed.wait()
            raise Finish
        seconds = server.rng.expovariate(1 / MEAN_SERVICE_SECONDS)
        await asyncio.sleep(max(seconds, server.min_service_seconds))
        server.ledger.record_run_end(server, request_id)
        if server.rng.random() < server.lost_answer_share:
            self.request.connection.stream.close()
            return
        self.set_header("Berylstage-Backend-Signature", f"{server.name}.{request_id}")
        self._add_notices()
        self.write(build_answer_body(request_id, size))


@stream_request_body
class SoakUpload(SoakWork):
    """Runs an upload; its body takes memory from its first byte to the answer."""

    def initialize(self, server, incarnation):
        super().initialize(server, incarnation)
        self.request_id = self.request.headers.get("Berylstage-Attempt-Id", "")

    async def data_received(self, chunk):
        """Hold a part of the body, at the rate at which the target reads."""
        server = self.server
        if self.incarnation != server.incarnation or self.closed.is_set():
            return
        server.hold_body(self.request_id, len(chunk))
        if server.read_bytes_per_second is not None:
            await asyncio.sleep(len(chunk) / server.read_bytes_per_second)

    async def post(self):
        # The incarnation may have ended while the body arrived.
        self.abort_if_replaced()
        await super().post()

    def on_connection_close(self):
        super().on_connection_close()
        self._release_body()

    def on_finish(self):
        self._release_body()
        super().on_finish()

    def _release_body(self):
        if self.incarnation == self.server.incarnation:
            self.server.bodies.pop(self.request_id, None)


async def _hang() -> None:
    # Requests that reach an unresponsive target never run. A real target counts the
    # deadline from the arrival, so it would not run an order a minute later as if its
    # whole time were left.
    await asyncio.sleep(60)
    raise HTTPError(503)


def _application(server: SoakTarget) -> Application:
    own_incarnation = {"server": server, "incarnation": server.incarnation}
    return Application(
        [
            (r"/v1/grant", SoakGrant, own_incarnation),
            (r"/v1/release", SoakRelease, own_incarnation),
            (r"/healthz", SoakHealth, own_incarnation),
            (r"/uploads/.*", SoakUpload, own_incarnation),
            (r"/.*", SoakWork, own_incarnation),
        ],
        log_function=lambda handler: None,
    )
