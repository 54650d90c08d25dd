"""The application of an entry VM: it wires the parts and runs them."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment_delta import FORMAT as CHANGE_FORMAT
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.coordinator_election import (
    CONTACT_PATH,
    HAND_ON_PATH,
    CoordinatorElection,
)
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.grant_controller import GrantController
from berylstage_entry.load_reporter import FORMAT as COUNTS_FORMAT
from berylstage_entry.load_reporter import SPEEDS_PATH, LoadReporter
from berylstage_entry.loop_lag import LoopLagMonitor
from berylstage_entry.membership import UNKNOWN, Membership
from berylstage_entry.metrics import Metrics, stop_text
from berylstage_entry.pages import PageServer
from berylstage_entry.peer_datagrams import PeerDatagrams
from berylstage_entry.peer_updates import TOLD_PATH, PeerUpdates
from berylstage_entry.peers import PeerClient
from berylstage_entry.permit_client import PermitClient
from berylstage_entry.permit_messages import (
    ASK_FORMAT,
    REPLY_FORMAT,
    RETURN_FORMAT,
    PermitRelease,
    PermitReply,
    PermitRequest,
)
from berylstage_entry.permit_server import PermitServer
from berylstage_entry.probes import LoadProbes
from berylstage_entry.replies import Reply as PageReply
from berylstage_entry.request_log import RequestLog
from berylstage_entry.router import Router
from berylstage_entry.server import CallerServer, split_address
from berylstage_entry.stopping import (
    BALANCER_LAG,
    STOP_SIGNALS,
    Phase,
    PhaseTimes,
    StopPlan,
)
from berylstage_entry.store_delta import FORMAT as NEWS_FORMAT
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_watcher import StoreWatcher
from berylstage_entry.target_clients import TargetClients

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.protocols import CallerProtocol, RecordReader, TargetProtocol
    from berylstage_entry.services import Limits
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store

# Seconds for which other VMs still ask this one for turns after its record is gone.
RECORD_LAG = 0.5
# Seconds between two looks at what a stop waits for.
STOP_LOOK = 0.02
# Status of a page that tells no.
UNAVAILABLE = 503

log = Logger(__name__)


class EntryApplication:
    """Owns the parts of an entry VM.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    callers : CallerWire
    targets : TargetWire
    records : RecordReader
    log_writing : callable, optional
        Returns the seconds that log lines have taken to write since the start.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        store: Store,
        callers: CallerProtocol,
        targets: TargetProtocol,
        records: RecordReader,
        log_writing: Callable[[], float] = lambda: 0.0,
    ):
        self.cfg = cfg
        self.rng = Random()
        self.store = store
        self.directory = ClusterView()
        self.feed = StoreWatcher(store, records, self.directory)
        self.metrics = Metrics()
        self.loop_watch = LoopLagMonitor(self.metrics, log_writing)
        self.senders = TargetClients(targets)
        self.router = Router(
            self.directory,
            self.feed,
            self.senders,
            cfg.bounds,
            self.rng,
            cfg.data_centre,
            cfg.vm,
        )
        self.membership = Membership(cfg, store, self.feed)
        self.peers = PeerClient(self.membership, cfg.control)
        self.office = CoordinatorElection(cfg, store, self.feed, self.peers, self.rng)
        self.granting = GrantController(
            store, self.feed, self.directory, self.office, targets
        )
        self.announcements = PeerUpdates(self.feed, self.membership, cfg.control)
        self.office.inherit = self.granting.inherit
        self.granting.writer.listeners.append(self.announcements.tell)
        self._host, _ = split_address(cfg.callers)
        host = self._host
        self.datagrams = PeerDatagrams(self.membership, host, cfg.metrics_port)
        self.reports = LoadReporter(
            self.router,
            self.granting,
            self.office,
            self.directory,
            self.datagrams,
            self.rng,
        )
        self.keeper = PermitServer(self.router.loads, self.directory, self.membership)
        self.turns = PermitClient(self.membership, host)
        self.keeper.send = self._send_reply
        self.turns.ask = self._send_ask
        self.turns.give_back = self._send_return
        self.datagrams.takers[ASK_FORMAT] = self.keeper.take_ask
        self.datagrams.takers[RETURN_FORMAT] = self.keeper.take_return
        self.datagrams.takers[REPLY_FORMAT] = self.turns.take_reply
        self.router.turns = self.turns
        self.datagrams.takers[COUNTS_FORMAT] = self.reports.take_counts
        self.datagrams.takers[NEWS_FORMAT] = self._take_news
        self.datagrams.takers[CHANGE_FORMAT] = self.announcements.take_change
        self.announcements.send = self.datagrams.send
        self.feed.is_teller = self.office.holds
        self.feed.tell = self._tell_news
        self.feed.is_standby = self._stands_by
        self.feed.is_deputy = self._is_deputy
        self.feed.leaves_duty = lambda: bool(self.membership.better())
        self.office.better = self.membership.better
        self.probes = LoadProbes(self.router.loads, self.directory, self.turns, targets)
        journal = RequestLog(self.metrics)
        self.server = CallerServer(callers, self.router, journal, self._limits)
        self.ready_page = PageServer({callers.ready_path: self._ready})
        self.control_page = PageServer(
            {
                HAND_ON_PATH: self._hand_on,
                CONTACT_PATH: self._contact,
                SPEEDS_PATH: self._take_speeds,
                TOLD_PATH: self._take_told,
            }
        )
        self.metrics_page = PageServer({"/metrics": self._metrics_text})
        self._members_revision = 0
        self.feed.listeners.append(self._heard)
        # Keeps the task that tells large values from being collected.
        self._telling: asyncio.Task | None = None
        self._stop = asyncio.Event()
        self.stopping = False
        self._phase_times = PhaseTimes()

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        known = self.directory.configuration is not None and self.feed.complete
        return known and not self.stopping

    async def run(self) -> int:
        """Run until SIGTERM and return the exit status."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.start()
        await self._stop.wait()
        await self.stop()
        # The loop takes its handlers along when it closes. A signal that comes then
        # would end the process with a status that looks like a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
        return 0

    def start(self) -> None:
        """Start all parts."""
        self.server.listen(self.cfg.callers)
        self.ready_page.listen(self.cfg.ready)
        self.control_page.listen(self.cfg.control)
        host, _ = split_address(self.cfg.callers)
        self.metrics_page.listen(f"{host}:{self.cfg.metrics_port}")
        self.loop_watch.start()
        self.feed.start()
        self.membership.start()
        self.office.start()
        self.granting.start()
        self.reports.start()
        self.datagrams.start()
        self.probes.start()
        self.keeper.start()
        log.info("started", extra={"callers": self.cfg.callers})

    async def stop(self) -> None:
        """Shut down: not ready at once, the duty handed over, no request cut."""
        plan = StopPlan(now(), self.cfg.bounds.stop_time)
        self.stopping = True
        self._phase_times.enter(Phase.LEAVING, plan.begun)
        self.server.closing = True
        self.server.time_limit = lambda: plan.time_left(now())
        log.info("stopping", extra={"in_flight": self.server.in_flight})
        await self._within(plan, self.office.resign())
        self.granting.stop()
        self.reports.stop()
        self.announcements.close()
        self.probes.stop()
        await self._within(plan, self.membership.stop())
        await asyncio.sleep(max(plan.leave_at - now(), RECORD_LAG))
        self.server.refuse_more()
        await self._drain(plan)
        self.feed.stop()
        # Until here callers came and waited for their turns, and other VMs did for
        # theirs at the queues that this VM keeps.
        self.keeper.stop()
        await self.server.close()
        self._tell_stop()
        pages = self.ready_page, self.control_page, self.metrics_page
        await asyncio.gather(*(page.close() for page in pages))
        # Requests that were cut have given their turns back by now.
        self.datagrams.close()
        self.senders.close()
        self.peers.close()
        self.store.close()
        self.loop_watch.stop()

    async def _drain(self, plan: StopPlan) -> None:
        """Wait until nothing is under way, and log how long each phase took."""
        phase = Phase.LEAVING
        while phase is not Phase.ENDED:
            self.server.close_idle()
            standing = self.server.standing()
            reached = plan.phase(now(), standing)
            if reached is not phase:
                seconds = round(self._phase_times.enter(reached, now()), 3)
                log.info(
                    "stop phase ended",
                    extra={
                        "phase": phase.value,
                        "seconds": seconds,
                        "serving": standing.serving,
                        "flushing": standing.flushing,
                        "bytes_left": standing.bytes_left,
                    },
                )
                phase = reached
                continue
            await asyncio.sleep(STOP_LOOK)

    def _tell_stop(self) -> None:
        counts = self.server.counts
        log.info(
            "stopped",
            extra={
                "begun": counts.begun,
                "closed_idle": counts.closed_idle,
                "cut": counts.cut,
                "bytes_cut": counts.bytes_cut,
            },
        )

    async def _within(self, plan: StopPlan, step) -> None:
        """Do one step of the shutdown, in the time that callers need not have."""
        # What callers have sent by the time that the balancer notices may take as long
        # again.
        left = plan.end - BALANCER_LAG - now()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await step
        except TimeoutError:
            log.warning("a step of the shutdown took too long")

    def _reload(self) -> None:
        # All settings of a VM hold for the life of its process; what changes in the
        # midst of it comes through the store.
        log.info("settings are read at the start only; restart to change them")

    def _send_ask(self, host: str, ask: PermitRequest) -> None:
        if host == self._host:
            self.keeper.asked(ask, host)
        else:
            self.datagrams.send_to(host, ask.encode())

    def _send_return(self, host: str, back: PermitRelease) -> None:
        if host == self._host:
            self.keeper.returned(back, host)
        else:
            self.datagrams.send_to(host, back.encode())

    def _send_reply(self, host: str, reply: PermitReply) -> None:
        if host == self._host:
            self.turns.replied(reply)
        else:
            self.datagrams.send_to(host, reply.encode())

    def _stands_by(self) -> bool:
        return self.membership.stands_by(self.office.holder_address())

    def _is_deputy(self) -> bool:
        # Before its own record is known, each VM would be the one of its data centre.
        return self.cfg.vm in self.membership.names() and self._stands_by()

    def _limits(self) -> Limits | None:
        cfg = self.directory.configuration
        return cfg.limits if cfg is not None else None

    def _heard(self, what: str) -> None:
        if what in ("configuration", "read"):
            limits = self._limits()
            if limits is not None:
                self.server.set_limits(limits)
        if self._members_revision != self.membership.revision:
            self._members_revision = self.membership.revision
            names = self.membership.names()
            self.router.cold.vm_names = names
            vms = len(names) + UNKNOWN
            self.router.vms = self.router.cold.vms = vms
            self.senders.vms = self.feed.vms = vms

    def _tell_news(self, told: StoreDelta) -> None:
        if told.large:
            self._telling = asyncio.create_task(self._tell_large(told))
        else:
            self._send_news(told)

    async def _tell_large(self, told: StoreDelta) -> None:
        """Tell large values before the news that names them."""
        began = now()
        if self.office.holds():
            await self.announcements.tell_first(told.large)
        told.age += now() - began
        self._send_news(told)

    def _send_news(self, told: StoreDelta) -> None:
        for part in told.parts():
            data = part.encode()
            # What is too much for a datagram the others read for themselves.
            if data is not None:
                self.datagrams.send(data, near=not self.office.holds())

    def _take_news(self, data: bytes, host: str) -> None:
        try:
            told = StoreDelta.decode(data)
        except InvalidRecord as exc:
            log.warning("news passed over", extra={"cause": str(exc)})
            return
        self.feed.take_news(told)

    def _ready(self, body: bytes) -> PageReply:
        return PageReply(200 if self.ready() else UNAVAILABLE)

    def _hand_on(self, body: bytes) -> PageReply:
        # Orders under way may still arrive while this VM has the duty for certain.
        if not self.office.may_hand_on(body):
            return PageReply(UNAVAILABLE)
        return PageReply(200, body=self.granting.handed_on())

    async def _contact(self, body: bytes) -> PageReply:
        return PageReply(200, body=str(await self.feed.contact()).encode())

    def _take_speeds(self, body: bytes) -> PageReply:
        return PageReply(200 if self.reports.take_speeds(body) else 400)

    def _take_told(self, body: bytes) -> PageReply:
        return PageReply(200 if self.announcements.take(body) else 400)

    def _metrics_text(self, body: bytes) -> PageReply:
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        stop = stop_text(self.server.counts, self._phase_times.seconds(now()))
        return PageReply(200, headers, (self.metrics.text() + stop).encode())
