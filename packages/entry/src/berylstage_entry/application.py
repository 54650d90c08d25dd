"""The application of an entry VM: creates, connects and runs its components."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from resource import RLIMIT_NOFILE, getrlimit
from typing import TYPE_CHECKING

from berylstage_policy.suspects import SuspectRegistry
from logbook import Logger

from berylstage_entry.addresses import split_host_port
from berylstage_entry.assignment_delta import MESSAGE_TYPE as ASSIGNMENT_DELTA_TYPE
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.configuration_confirmer import ConfigurationConfirmer
from berylstage_entry.confirmation_messages import (
    CONFIRMATION_REPLY_TYPE,
    CONFIRMATION_REQUEST_TYPE,
)
from berylstage_entry.connection_limit import compute_max_connections
from berylstage_entry.coordinator_election import (
    EXPORT_STATE_PATH,
    LINKS_PATH,
    STORE_CONTACT_PATH,
    CoordinatorElection,
)
from berylstage_entry.grant_controller import GrantController
from berylstage_entry.internal_http import InternalServer
from berylstage_entry.load_reporter import MESSAGE_TYPE as KEY_COUNTS_TYPE
from berylstage_entry.load_reporter import SPEEDS_PATH, LoadReporter
from berylstage_entry.loop_lag import LoopLagMonitor
from berylstage_entry.membership import ASSUMED_STARTING_VMS, Membership
from berylstage_entry.memory.budget import compute_answer_bytes
from berylstage_entry.memory.buffer_memory import BufferMemory
from berylstage_entry.metrics import Metrics, format_shutdown_metrics
from berylstage_entry.notice_messages import (
    DEPARTURE_NOTICE_TYPE,
    LIMIT_NOTICE_TYPE,
    REST_NOTICE_TYPE,
)
from berylstage_entry.peer_datagrams import PeerDatagrams
from berylstage_entry.peer_updates import PUSH_PATH, PeerUpdates
from berylstage_entry.peers import PeerClient
from berylstage_entry.permit_client import PermitClient
from berylstage_entry.permit_messages import (
    PERMIT_RELEASE_TYPE,
    PERMIT_REPLY_TYPE,
    PERMIT_REQUEST_TYPE,
    PermitRelease,
    PermitReply,
    PermitRequest,
)
from berylstage_entry.permit_server import PermitServer
from berylstage_entry.probes import LoadProbes
from berylstage_entry.quota_client import QuotaClient
from berylstage_entry.quota_messages import (
    LOAN_REPLY_TYPE,
    LOAN_TYPE,
    TARGET_TOKEN_REQUEST_TYPE,
    TOKEN_REPLY_TYPE,
    TOKEN_REQUEST_TYPE,
)
from berylstage_entry.quota_server import QuotaServer
from berylstage_entry.relay_client import RELAY_PATH, RelayClient, RelayTransport
from berylstage_entry.relay_server import RelayServer
from berylstage_entry.request_log import RequestLog
from berylstage_entry.responses import Response as PageResponse
from berylstage_entry.router import Router
from berylstage_entry.server import DEFAULT_BODY_SECONDS, CallerServer
from berylstage_entry.shutdown import (
    BALANCER_LAG_SECONDS,
    STOP_SIGNALS,
    Phase,
    PhaseTimer,
    ShutdownPlan,
)
from berylstage_entry.store_access.call_counts import CountedStore, StoreCallLog
from berylstage_entry.store_access.delta_exchange import DeltaExchange
from berylstage_entry.store_access.missed_changes import (
    CHANGES_PATH,
    ChangeClient,
    ChangeServer,
)
from berylstage_entry.store_access.subscriptions import (
    SUBSCRIPTION_TYPE,
    SubscriptionClient,
)
from berylstage_entry.store_delta import MESSAGE_TYPE as STORE_DELTA_TYPE
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX
from berylstage_entry.store_watcher import StoreWatcher
from berylstage_entry.supervision import log_loop_error
from berylstage_entry.suspect_client import SuspectClient
from berylstage_entry.suspect_messages import (
    OUTCOME_REPORT_TYPE,
    SUSPECT_NEWS_TYPE,
    TRIAL_REPLY_TYPE,
    TRIAL_REQUEST_TYPE,
)
from berylstage_entry.suspect_server import SuspectServer
from berylstage_entry.target_clients import TargetClients

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.protocols import (
        CallerProtocol,
        CallerRequest,
        RecordReader,
        TargetProtocol,
    )
    from berylstage_entry.routes import Route
    from berylstage_entry.services import Limits
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store
    from berylstage_entry.targets import Target, TargetNotice

# Seconds for which other VMs still request permits from this VM after its record has
# been removed.
RECORD_LAG_SECONDS = 0.5
# Seconds after the listening socket is closed in which the event loop may register a
# connection that it has accepted before.
ACCEPT_SECONDS = 0.02
# Seconds between two checks of the work that a shutdown waits for.
DRAIN_POLL_SECONDS = 0.02
# Longest sleep of the event loop during a shutdown. Its clock does not count the time
# for which the machine is suspended, and a longer sleep could end after the cut-off.
MAX_SLEEP_SECONDS = 0.1
# Delay above which requests may wait that the event loop has had no time to read.
LATE_LOOP_SECONDS = 0.05
# Status of a request that is answered in the negative.
UNAVAILABLE = 503

log = Logger(__name__)


class EntryApplication:
    """Owns the components of an entry VM.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    callers : CallerProtocol
    targets : TargetProtocol
    records : RecordReader
    log_write_seconds : callable, optional
        Returns the seconds spent on writing log lines since the start.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        store: Store,
        callers: CallerProtocol,
        targets: TargetProtocol,
        records: RecordReader,
        log_write_seconds: Callable[[], float] = lambda: 0.0,
    ):
        self.cfg = cfg
        self.rng = Random()
        self.metrics = Metrics()
        self.store = store = CountedStore(store, self.metrics.store_calls)
        self.store_call_log = StoreCallLog(self.metrics.store_calls)
        self.cluster_view = ClusterView()
        self.store_watcher = StoreWatcher(store, records, self.cluster_view)
        self.loop_lag_monitor = LoopLagMonitor(self.metrics, log_write_seconds)
        self.target_clients = TargetClients(targets)
        self.router = Router(
            self.cluster_view,
            self.store_watcher,
            self.target_clients,
            cfg.bounds,
            self.rng,
            cfg.data_centre,
            cfg.vm,
        )
        self.router.link_mbps = cfg.link_mbps
        self.membership = Membership(cfg, store, self.store_watcher)
        self.peer_client = PeerClient(self.membership, cfg.control_address)
        self.relay_transport = RelayTransport()
        self.router.sender.relay_client = RelayClient(
            self.membership, cfg, self.rng, self.relay_transport
        )
        self.relay_server = RelayServer(
            self.router, self.cluster_view, cfg.relative_capacity, self.metrics
        )
        self.election = CoordinatorElection(
            cfg, store, self.store_watcher, self.peer_client, self.rng
        )
        self.grant_controller = GrantController(
            store,
            self.store_watcher,
            self.cluster_view,
            self.election,
            targets,
            cfg.report_interval,
        )
        self.grant_controller.metrics = self.metrics
        self._host, _ = split_host_port(cfg.callers)
        host = self._host
        links = self.router.links
        self.election.count_lost_links = lambda: links.health.lost_links
        self.election.has_links = links.accept_new_connections
        self.peer_updates = PeerUpdates(
            self.store_watcher, self.membership, cfg.control_address
        )
        self.election.import_state = self.grant_controller.import_state
        self.grant_controller.writer.listeners.append(
            self.peer_updates.broadcast_change
        )
        self.peer_datagrams = PeerDatagrams(self.membership, host, cfg.metrics_port)
        self.load_reporter = LoadReporter(
            self.router,
            self.grant_controller,
            self.election,
            self.cluster_view,
            self.peer_datagrams,
            self.rng,
        )
        self.permit_server = PermitServer(
            self.router.loads, self.cluster_view, self.membership
        )
        self.permit_server.metrics = self.metrics
        self.permit_client = PermitClient(self.membership, host)
        self.permit_server.send = self._send_permit_reply
        self.permit_client.send_request = self._send_permit_request
        self.permit_client.send_release = self._send_permit_release
        self.peer_datagrams.handlers[PERMIT_REQUEST_TYPE] = (
            self.permit_server.receive_request
        )
        self.peer_datagrams.handlers[PERMIT_RELEASE_TYPE] = (
            self.permit_server.receive_release
        )
        self.peer_datagrams.handlers[PERMIT_REPLY_TYPE] = (
            self.permit_client.receive_reply
        )
        self.router.permit_client = self.permit_client
        self.permit_client.is_current = self.router.is_current_queue
        self.permit_client.count_event = self.metrics.increment
        self.router.count_event = self.metrics.increment
        self.router.suspect_guard.lost_answers.count_event = self.metrics.increment
        self._connect_suspects()
        self.peer_datagrams.handlers[KEY_COUNTS_TYPE] = (
            self.load_reporter.receive_key_counts
        )
        self.peer_datagrams.handlers[ASSIGNMENT_DELTA_TYPE] = (
            self.peer_updates.receive_change
        )
        self.peer_updates.send = self.peer_datagrams.send
        self.subscription = SubscriptionClient(
            cfg.vm, cfg.control_address, self.membership, self.rng
        )
        self.subscription.is_coordinator = self.election.is_coordinator
        self.subscription.coordinator_address = self.election.coordinator_address
        self.subscription.send = self.peer_datagrams.send_to
        self.subscription.count = self.metrics.increment
        self.peer_datagrams.handlers[SUBSCRIPTION_TYPE] = self.subscription.receive
        self.peer_datagrams.subscriber_hosts = self.subscription.subscriber_hosts
        self.peer_updates.subscriber_addresses = self.subscription.subscriber_addresses
        self.delta_exchange = DeltaExchange(
            cfg,
            self.store_watcher,
            self.membership,
            self.election,
            self.peer_datagrams,
            self.peer_updates,
            self.subscription,
        )
        self.peer_datagrams.handlers[STORE_DELTA_TYPE] = self.delta_exchange.receive
        self.store_watcher.defers_coordination = lambda: cfg.relative_capacity < 1
        self.change_server = ChangeServer(self.store_watcher)
        self.change_client = ChangeClient(
            self.peer_client,
            self.delta_exchange.publisher_address,
            self.metrics.increment,
        )
        self.store_watcher.ask_publisher = self.change_client.ask
        self.store_watcher.is_publisher = self.election.is_coordinator
        self.store_watcher.publish = self.delta_exchange.publish
        self.store_watcher.is_standby = self.delta_exchange.is_standby
        self.store_watcher.is_local_publisher = self.delta_exchange.is_local_publisher
        self.store_watcher.yields_coordination = lambda: bool(
            self.membership.preferred_coordinator()
        )
        self.election.preferred_coordinator = self.membership.preferred_coordinator
        self.confirmer = ConfigurationConfirmer(
            self.store_watcher,
            self.cluster_view,
            self.membership,
            host,
            cfg.bounds.revocation_seconds,
            self.rng,
        )
        self.confirmer.is_coordinator = self.election.is_coordinator
        self.confirmer.coordinator_address = self.election.coordinator_address
        self.confirmer.is_standby = self.delta_exchange.is_standby
        self.confirmer.send = self.peer_datagrams.send_to
        self.peer_datagrams.handlers[CONFIRMATION_REQUEST_TYPE] = (
            self.confirmer.receive_request
        )
        self.peer_datagrams.handlers[CONFIRMATION_REPLY_TYPE] = (
            self.confirmer.receive_reply
        )
        self.router.authenticator.confirmer = self.confirmer
        self.quota_server = QuotaServer(self.cluster_view, cfg.bounds.quota, self.rng)
        self.quota_client = QuotaClient(
            self.cluster_view, self.membership, host, self.rng
        )
        self.quota_server.send = self.quota_client.send = self.peer_datagrams.deliver
        self.router.quota_client = self.quota_client
        self.router.target_admission.quota_client = self.quota_client
        self.peer_datagrams.handlers.update(self._quota_handlers())
        self._connect_notices(targets)
        self.probes = LoadProbes(
            self.router.loads, self.cluster_view, self.permit_client, targets
        )
        self.probes.rest_seconds = self.router.target_notices.rests.seconds_left
        request_log = RequestLog(self.metrics)
        memory = BufferMemory(cfg.memory_bytes, cfg.link_mbps, self.metrics)
        self.target_clients.answer_memory.capacity = compute_answer_bytes(
            cfg.memory_bytes
        )
        self.server = CallerServer(
            callers, self.router, request_log, self._current_limits, memory
        )
        self.server.max_connections = compute_max_connections(
            cfg.max_sockets, getrlimit(RLIMIT_NOFILE)[0]
        )
        self.server.is_upload = self._is_upload
        self.server.body_timeout = self._body_timeout
        self.server.expected_answer_bytes = self._expected_answer_bytes
        self.ready_server = InternalServer({callers.ready_path: self._handle_ready})
        self.control_server = InternalServer(
            {
                EXPORT_STATE_PATH: self._handle_export,
                STORE_CONTACT_PATH: self._handle_store_contact,
                SPEEDS_PATH: self._handle_service_times,
                CHANGES_PATH: self.change_server.handle,
                PUSH_PATH: self._handle_peer_updates,
                RELAY_PATH: self.relay_server.handle,
                LINKS_PATH: self._handle_links,
            },
            cancellable=frozenset({RELAY_PATH}),
        )
        self.metrics_server = InternalServer({"/metrics": self._handle_metrics})
        self._seen_members_revision = 0
        self.store_watcher.listeners.append(self._on_store_update)
        self._stop_event = asyncio.Event()
        self.is_stopping = False
        self._phase_timer = PhaseTimer()

    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this VM."""
        has_view = (
            self.cluster_view.configuration is not None
            and self.store_watcher.has_synced
        )
        return has_view and not self.is_stopping

    async def run(self) -> int:
        """Run until SIGTERM and return the exit status."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(log_loop_error)
        loop.add_signal_handler(signal.SIGTERM, self._stop_event.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_event.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.start()
        await self._stop_event.wait()
        await self.stop()
        # The loop removes its signal handlers when it closes. A signal that arrives
        # later would end the process with a status that looks like a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
        return 0

    def start(self) -> None:
        """Start all components."""
        self.server.listen(self.cfg.callers)
        self.ready_server.listen(self.cfg.ready)
        self.control_server.listen(self.cfg.control_address)
        host, _ = split_host_port(self.cfg.callers)
        self.metrics_server.listen(f"{host}:{self.cfg.metrics_port}")
        self.loop_lag_monitor.start()
        self.store_call_log.start()
        self.store_watcher.start()
        self.membership.start()
        self.election.start()
        self.grant_controller.start()
        self.load_reporter.start()
        self.peer_datagrams.start()
        self.subscription.start()
        self.confirmer.start()
        self.quota_client.start()
        self.probes.start()
        self.router.links.start()
        self.permit_server.start()
        log.info(
            "started",
            extra={
                "callers": self.cfg.callers,
                "max_connections": self.server.max_connections,
            },
        )

    async def stop(self) -> None:
        """Shut down gracefully.

        The VM reports not ready, steps down as coordinator and drains its connections
        before it closes them.
        """
        plan = ShutdownPlan(now(), self.cfg.bounds.stop_timeout)
        self.is_stopping = True
        self._phase_timer.enter(Phase.LEAVING, plan.started_at)
        self.server.is_stopping = self.relay_server.is_stopping = True
        self.router.links.is_stopping = True
        self.server.shutdown_time_left = lambda: plan.time_left(now())
        log.info("stopping", extra={"in_flight": self.server.in_flight})
        await self._run_step(plan, self.election.resign())
        self.quota_server.stop()
        self.grant_controller.stop()
        self.load_reporter.stop()
        self.peer_updates.close()
        self.subscription.stop()
        self.probes.stop()
        await self._run_step(plan, self.membership.stop())
        await self._sleep_until(plan, max(plan.drain_at, now() + RECORD_LAG_SECONDS))
        self.server.start_draining()
        await self._sleep_until(plan, now() + ACCEPT_SECONDS)
        await self._drain(plan)
        self.store_watcher.stop()
        self.confirmer.stop()
        # Until here, callers still waited for permits, and other VMs for permits from
        # the queues that this VM serves.
        self.permit_server.stop()
        self.suspect_server.stop()
        self.quota_client.stop()
        await self.server.close()
        self._log_stopped()
        servers = self.ready_server, self.control_server, self.metrics_server
        await asyncio.gather(*(server.close() for server in servers))
        # Requests that were cut have released their permits by now.
        self.peer_datagrams.close()
        self.router.links.stop()
        self.target_clients.close()
        self.peer_client.close()
        self.relay_transport.close()
        self.store.close()
        self.store_call_log.stop()
        self.loop_lag_monitor.stop()

    async def _drain(self, plan: ShutdownPlan) -> None:
        """Wait until no work is pending, and log how long each phase took."""
        phase = Phase.LEAVING
        while phase is not Phase.ENDED:
            self.server.close_idle_connections()
            # Connections on which bytes arrive until they are closed are kept.
            await asyncio.sleep(0)
            pending_work = self.server.pending_work()
            pending_work.serving += self.relay_server.in_flight
            # A relayed request is over once the reply has left this VM.
            pending_work.flushing += self.control_server.count_pending(RELAY_PATH)
            next_phase = plan.phase(now(), pending_work)
            if next_phase is not phase:
                delay = round(self._phase_timer.longest_delay, 3)
                seconds = round(self._phase_timer.enter(next_phase, now()), 3)
                log.info(
                    "stop phase ended",
                    extra={
                        "phase": phase.value,
                        "seconds": seconds,
                        "late": delay,
                        "serving": pending_work.serving,
                        "flushing": pending_work.flushing,
                        "bytes_left": pending_work.unacknowledged_bytes,
                    },
                )
                phase = next_phase
                continue
            await self._sleep_until(plan, now() + DRAIN_POLL_SECONDS)

    async def _sleep_until(self, plan: ShutdownPlan, due: float) -> None:
        """Sleep until a time in monotonic seconds, and record the delay."""
        moment = now()
        while moment < due:
            await asyncio.sleep(min(due - moment, MAX_SLEEP_SECONDS))
            moment = now()
        self._phase_timer.record_delay(due, moment)
        if moment - due > LATE_LOOP_SECONDS:
            plan.record_late_loop(moment)

    def _log_stopped(self) -> None:
        counts = self.server.counts
        log.info(
            "stopped",
            extra={
                "begun": counts.requests_received,
                "closed_idle": counts.idle_closed,
                "cut": counts.connections_cut,
                "bytes_cut": counts.bytes_cut,
                "closed_unread": counts.closed_unread,
            },
        )

    async def _run_step(self, plan: ShutdownPlan, step) -> None:
        """Run one step of the shutdown within the time that callers do not need."""
        # Requests that arrive until the load balancer has noticed may take as long
        # again to finish.
        left = plan.cut_off_at - BALANCER_LAG_SECONDS - now()
        try:
            async with asyncio.timeout(max(0.0, left)):
                await step
        except TimeoutError:
            log.warning("shutdown step timed out")

    def _reload(self) -> None:
        # Settings apply for the lifetime of the process; whatever changes at run time
        # comes from the store.
        log.info("ignoring reload; settings are read at startup, restart to apply them")

    def _send_permit_request(self, host: str, ask: PermitRequest) -> None:
        if host == self._host:
            self.permit_server.handle_request(ask, host)
        else:
            self.peer_datagrams.send_to(host, ask.encode())

    def _send_permit_release(self, host: str, release: PermitRelease) -> None:
        if host == self._host:
            self.permit_server.handle_release(release, host)
        else:
            self.peer_datagrams.send_to(host, release.encode())

    def _send_permit_reply(self, host: str, reply: PermitReply) -> None:
        if host == self._host:
            self.permit_client.handle_reply(reply)
        else:
            self.peer_datagrams.send_to(host, reply.encode())

    def _connect_suspects(self) -> None:
        """Connect the parts that hold back requests which end targets."""
        registry = SuspectRegistry()
        client = SuspectClient(registry, self._host)
        server = self.suspect_server = SuspectServer(registry, self.membership)
        self.router.suspect_guard.suspects = client
        client.servers_for = self.permit_client.servers_for
        client.send = server.send = self.peer_datagrams.deliver
        server.send_to_all = self.peer_datagrams.send
        server.count_event = self.metrics.increment
        self.peer_datagrams.handlers.update(
            {
                OUTCOME_REPORT_TYPE: server.receive_report,
                TRIAL_REQUEST_TYPE: server.receive_request,
                TRIAL_REPLY_TYPE: client.receive_reply,
                SUSPECT_NEWS_TYPE: server.receive_news,
            }
        )

    def _connect_notices(self, targets: TargetProtocol) -> None:
        """Connect what targets say of themselves with the components that act on it."""
        notices = self.router.target_notices
        notices.limits.send = self.peer_datagrams.send
        notices.departures.send = self.peer_datagrams.send
        links = self.router.links

        def record_control_answer(target: Target, notice: TargetNotice) -> None:
            links.record_answer(target)
            notices.record_control_answer(target, notice)

        targets.on_control_answer = record_control_answer
        targets.on_control_failure = links.record_failure
        notices.limits.on_end = self.quota_client.forget
        notices.rests.send_to_coordinator = self._send_to_coordinator
        self.quota_client.has_target_limits = notices.limits.has_any
        self.permit_server.target_limits = notices.limits
        self.grant_controller.target_notices = notices
        self.peer_datagrams.handlers.update(
            {
                LIMIT_NOTICE_TYPE: notices.limits.receive_notice,
                REST_NOTICE_TYPE: notices.rests.receive_notice,
                DEPARTURE_NOTICE_TYPE: notices.departures.receive_notice,
            }
        )

    def _send_to_coordinator(self, data: bytes) -> None:
        address = self.election.coordinator_address()
        if address and not self.election.is_coordinator():
            self.peer_datagrams.send_to(split_host_port(address)[0], data)

    def _quota_handlers(self) -> dict[int, Callable[[bytes, str], None]]:
        return {
            LOAN_TYPE: self.quota_server.receive_loan,
            TOKEN_REQUEST_TYPE: self.quota_server.receive_request,
            TARGET_TOKEN_REQUEST_TYPE: self.quota_server.receive_target_request,
            LOAN_REPLY_TYPE: self.quota_client.receive_loan_reply,
            TOKEN_REPLY_TYPE: self.quota_client.receive_reply,
        }

    def _is_upload(self, req: CallerRequest) -> bool:
        """Tell whether a request belongs to a route with large bodies."""
        route = self._find_route(req)
        return route is not None and route.is_upload

    def _body_timeout(self, req: CallerRequest) -> float:
        """Return the longest seconds that the operators let a request's caller wait."""
        route = self._find_route(req)
        return route.timeout if route is not None else DEFAULT_BODY_SECONDS

    def _expected_answer_bytes(self, req: CallerRequest) -> int:
        """Return the mean size of the answers of a request's route."""
        route = self._find_route(req)
        return int(self.router.loads.answer_size(route.name)) if route else 0

    def _find_route(self, req: CallerRequest) -> Route | None:
        cfg = self.cluster_view.configuration
        if cfg is None:
            return None
        return cfg.table.find(req.host, req.path.partition("?")[0])

    def _current_limits(self) -> Limits | None:
        cfg = self.cluster_view.configuration
        return cfg.limits if cfg is not None else None

    def _on_store_update(self, kind: str) -> None:
        if kind.startswith(ASSIGNMENT_PREFIX):
            self.permit_client.leave_former_owners()
        if kind in ("configuration", "read"):
            limits = self._current_limits()
            if limits is not None:
                self.server.set_limits(limits)
        if self._seen_members_revision != self.membership.revision:
            self._seen_members_revision = self.membership.revision
            names = self.membership.names()
            self.router.cold_targets.vm_names = names
            vms = len(names) + ASSUMED_STARTING_VMS
            self.router.vm_count = self.router.cold_targets.vm_count = vms
            self.quota_server.vm_count = self.quota_client.vm_count = len(names)
            self.router.target_notices.set_vm_count(len(names))
            self.target_clients.vm_count = self.store_watcher.vm_count = vms

    def _handle_ready(self, body: bytes) -> PageResponse:
        return PageResponse(200 if self.ready() else UNAVAILABLE)

    def _handle_export(self, body: bytes) -> PageResponse:
        # While this VM is certainly the coordinator, its grants in flight may still
        # reach targets, so its state is not exported yet.
        if not self.election.may_export_state(body):
            return PageResponse(UNAVAILABLE)
        return PageResponse(200, body=self.grant_controller.export_state())

    async def _handle_store_contact(self, body: bytes) -> PageResponse:
        return PageResponse(
            200, body=str(await self.store_watcher.probe_store()).encode()
        )

    def _handle_links(self, body: bytes) -> PageResponse:
        lost_links = self.router.links.health.lost_links
        return PageResponse(200, body=str(lost_links).encode())

    def _handle_service_times(self, body: bytes) -> PageResponse:
        return PageResponse(
            200 if self.load_reporter.receive_service_times(body) else 400
        )

    def _handle_peer_updates(self, body: bytes) -> PageResponse:
        return PageResponse(200 if self.peer_updates.receive_item(body) else 400)

    def _handle_metrics(self, body: bytes) -> PageResponse:
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        stop = format_shutdown_metrics(
            self.server.counts, self._phase_timer.seconds(now())
        )
        return PageResponse(200, headers, (self.metrics.text() + stop).encode())
