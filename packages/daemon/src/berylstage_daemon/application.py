"""The application object, which owns and wires all parts of the daemon."""

from __future__ import annotations

import asyncio
import signal
from contextlib import contextmanager
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_daemon.callers import CallerHandler
from berylstage_daemon.control import Control
from berylstage_daemon.events import EventManager
from berylstage_daemon.leaders import Leaders
from berylstage_daemon.load import LoadMeter
from berylstage_daemon.logs import library_logs, make_handler
from berylstage_daemon.metrics import Metrics
from berylstage_daemon.peers import PeerLinks
from berylstage_daemon.router import Router
from berylstage_daemon.servers import CallerServer, PeerServer
from berylstage_daemon.status import (
    LiveHandler,
    OwnerHandler,
    PageHandler,
    ReadyHandler,
    StatusHandler,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

    from berylstage_sheet.configuration import Configuration

    from berylstage_daemon.answers import Answer
    from berylstage_daemon.config import Settings
    from berylstage_daemon.part import Part
    from berylstage_daemon.requests import CallerRequest

log = Logger("application")

EXIT_OK = 0
EXIT_CUT = 1
# Between two looks at whether anything is under way, when a daemon stops.
LOOK_INTERVAL_S = 0.02


class Application:
    """One daemon.

    Parameters
    ----------
    cfg : Settings
        Checked settings.
    """

    def __init__(self, cfg: Settings):
        self.cfg = cfg
        self.events = EventManager()
        self.metrics = Metrics(cfg.vm, cfg.statsd)
        self.links = PeerLinks(cfg.vm)
        self.control = Control(self)
        self.load = LoadMeter(self)
        self.leaders = Leaders(self)
        self.router = Router(self)
        self.callers = CallerServer(self)
        self.peers = PeerServer(self)
        self.stopping = False
        self._parts: list[Part] = []
        self._stop = asyncio.Event()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        for part in (
            self.peers,
            self.control,
            self.leaders,
            self.load,
            self.callers,
        ):
            self.add_part(part)

    def add_part(self, part: Part) -> None:
        """Register a part; parts start in this order and stop in reverse.

        Parameters
        ----------
        part : Part
        """
        self._parts.append(part)

    def parts(self) -> list[Part]:
        """Return all parts, in the order in which they start."""
        return list(self._parts)

    def routes(self) -> list[tuple]:
        """Return the URLs that the daemon serves, with their handlers."""
        own = {"app": self}
        return [
            (r"/-/live", LiveHandler, own),
            (r"/-/ready", ReadyHandler, own),
            (r"/-/status", StatusHandler, own),
            (r"/-/owner/([^/]+)/(.+)", OwnerHandler, own),
            (r"/-/", PageHandler, own),
            (r"/([^/]+)/([^/]+)/(.+)", CallerHandler, own),
        ]

    def configuration(self) -> Configuration:
        """Return the configuration in force here.

        Raises
        ------
        RequestError
            This VM has none yet.
        """
        return self.control.configuration()

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return not self.stopping and self.live() and self.control.ready()

    def live(self) -> bool:
        """Tell whether this VM still takes part in the ownership of keys."""
        return self.control.live()

    @contextmanager
    def working(self) -> Iterator[None]:
        """Count a request, of a caller or another VM, until its answer has left."""
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def serve(self, req: CallerRequest) -> Answer:
        """Serve one caller's request from arrival to its end.

        Parameters
        ----------
        req : CallerRequest

        Returns
        -------
        Answer
        """
        return await self.router.serve(req)

    async def run(self) -> int:
        """Run until a signal asks to stop; return the exit status."""
        with make_handler(self.cfg.vm).applicationbound(), library_logs():
            loop = asyncio.get_running_loop()
            for name in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(name, self._stop.set)
            await self.start()
            await self._stop.wait()
            return await self.stop()

    async def start(self) -> None:
        """Start all parts."""
        for part in self._parts:
            await part.start()
        self.events.emit("started", self)
        fields = {"http": self.cfg.http, "peer": self.cfg.peer}
        log.info("started", extra=fields)

    async def stop(self) -> int:
        """Shut down gracefully and return the exit status.

        Not ready at once, so that the balancer sends no more callers; leads are handed
        over; requests in flight end; only then connections close. Requests that are
        unread or half read count as well. The whole takes at most the setting
        ``shutdown-limit``.
        """
        self.stopping = True
        self.events.emit("stopping", self)
        log.info("stopping", extra={"in_flight": self._in_flight})
        try:
            async with asyncio.timeout(self.cfg.shutdown_limit):
                await self._drain()
        except TimeoutError:
            log.warning("the shutdown limit ended the drain", extra=self._left())
        status = EXIT_OK
        if self._busy():
            status = EXIT_CUT
            log.error("requests were cut by the shutdown limit", extra=self._left())
        for part in reversed(self._parts):
            await self._attempt(part.stop())
        self.links.close()
        log.info("stopped", extra={"exit_status": status})
        return status

    async def _drain(self) -> None:
        """Drain all parts and wait until nothing is under way."""
        for part in self._parts:
            await self._attempt(part.drain())
        await self._settle()
        # Requests come on kept connections during each wait, so that only a look
        # without a wait behind it can end the drain.
        while self._busy():
            await asyncio.sleep(LOOK_INTERVAL_S)
            await self._settle()

    async def _settle(self) -> None:
        """Wait until what is counted has ended."""
        await self._idle.wait()
        # Callers may have gone away since, and left work that may not be repeated.
        await self.leaders.drain()

    def _busy(self) -> bool:
        """Tell whether anything is under way; connections that are idle close.

        Those of other VMs close last, since requests of callers may move their targets.
        """
        self.callers.close_idle()
        if self._in_flight or self.leaders.busy() or self.callers.open_count():
            return True
        return not self.peers.close_if_idle()

    async def _attempt(self, step: Coroutine) -> None:
        """Do one step of the shutdown; a fault in it must not keep out the others."""
        try:
            await step
        except Exception:
            log.exception("a part could not be shut down properly")

    def _left(self) -> dict:
        """Return the log fields of what is still under way."""
        return {
            "in_flight": self._in_flight,
            "connections": self.callers.open_count(),
            "leads": self.control.leads_anything(),
        }
