"""Runs the protocol core: feeds it events and does the actions it asks for."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from berylstage_messages.control_pb2 import Envelope
from berylstage_ownership.actions import (
    AssignmentAdopted,
    ConfigurationAdopted,
    DocumentUnreadable,
    LeaseGained,
    LeaseLost,
    ReadStore,
    SendGrant,
    SendPeer,
    ShardActivated,
    ShardReleased,
    TargetLost,
    TargetUp,
    WriteStore,
)
from berylstage_ownership.node import Node, NodeSettings
from berylstage_platform.errors import PlatformError
from berylstage_platform.http import HttpStore, HttpVmList
from berylstage_targets.errors import TargetError
from berylstage_targets.target import GrantRequest
from google.protobuf.message import DecodeError
from logbook import Logger

from berylstage_daemon.clock import now
from berylstage_daemon.errors import RequestError
from berylstage_daemon.part import Part
from berylstage_daemon.planner import LoadPlanner
from berylstage_daemon.routes import Routes
from berylstage_daemon.storage import read, write

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from berylstage_ownership.actions import Action
    from berylstage_sheet.configuration import Configuration

    from berylstage_daemon.application import Application

log = Logger("control")

# The core's shortest time is 50 ms between retries.
TICK = 0.05
# Seconds that others have to take over the leads of a VM that stops. Handing over takes
# a heartbeat and a write, and at most a lease time where a target is slow to answer.
HAND_OVER = 5.0
# The platform's list is read often until this VM is ready and while it proposes
# changes; the others read it rarely, because the platform counts each call.
LIST_INTERVAL_ACTIVE = 1.0
LIST_INTERVAL_IDLE = 30.0
# Longest time without a tick before this VM calls itself dead, in seconds: five times
# the lease time, after which others have taken over what it led.
LIVE_LIMIT = 5.0
# Most of the shutdown limit for this; the rest is for what is in flight.
HAND_OVER_SHARE = 0.5


class Control(Part):
    """The protocol core of this VM with its clock, store, peers and targets.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app
        cfg = app.cfg
        planner = LoadPlanner()
        app.events.connect("configuration-adopted", planner.configured)
        settings = NodeSettings(
            name=cfg.vm,
            # A later run of the same VM must have a larger number; the wall clock in
            # milliseconds is the only thing that a VM without a disk has for that.
            incarnation=time.time_ns() // 1_000_000,
            data_centre=cfg.data_centre,
            http_address=cfg.http,
            peer_address=cfg.peer,
            cell=cfg.cell,
            planner=planner,
        )
        self.node = Node(settings, now())
        self._store = HttpStore(cfg.platform, cfg.store_timeout)
        self._list = HttpVmList(cfg.platform, cfg.store_timeout)
        self._tasks: set[asyncio.Task] = set()
        self._loops: list[asyncio.Task] = []
        self._ticked = now()
        self._configuration: Configuration | None = None
        self.routes = Routes(self.node, self.configuration)

    async def start(self) -> None:
        """Start the clock of the core and the reading of the platform's list."""
        self._loops = [
            asyncio.ensure_future(self._tick_forever()),
            asyncio.ensure_future(self._list_forever()),
        ]

    async def drain(self) -> None:
        """Hand over all leads, so that no key waits for a lease to lapse.

        A VM that is alone in its cell has nobody to hand them to; it says so and goes
        on, or its shutdown would take the whole limit for nothing.
        """
        self.node.leave()
        limit = min(HAND_OVER, HAND_OVER_SHARE * self._app.cfg.shutdown_limit)
        try:
            async with asyncio.timeout(limit):
                while self.node.leads_anything():
                    await asyncio.sleep(TICK)
        except TimeoutError:
            log.warning(
                "leads were not handed over: no other VM took them; their keys wait "
                "until one does, so check that other VMs of the cell are ready"
            )

    def leads_anything(self) -> bool:
        """Tell whether this VM still leads a target."""
        return self.node.leads_anything()

    def live(self) -> bool:
        """Tell whether the protocol core is told the time.

        A core that fails at each tick confirms nobody and renews nothing, while its
        HTTP server goes on answering: one sees a VM that leads targets in vain.
        """
        return now() - self._ticked < LIVE_LIMIT

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in [*self._loops, *self._tasks]:
            task.cancel()
        await asyncio.gather(*self._loops, *self._tasks, return_exceptions=True)
        await self._store.close()
        await self._list.close()

    def configuration(self) -> Configuration:
        """Return the configuration in force here.

        Raises
        ------
        RequestError
            This VM has none yet.
        """
        if self._configuration is None:
            raise RequestError(
                503,
                "no-configuration",
                "this VM has no configuration yet; come back in a second, or apply a "
                "sheet if none was ever applied",
            )
        return self._configuration

    def ready(self) -> bool:
        """Tell whether this VM can serve callers."""
        return self._configuration is not None and self.node.ready(now())

    def work_started(self, target: str, shard: str, deadline: float) -> None:
        """Tell the core of a request that leaves for a target."""
        self.node.work_started(now(), target, shard, deadline)

    def target_unwilling(self, target: str, reason: str) -> None:
        """Tell the core that a target takes no work any more."""
        self.execute(self.node.target_unwilling(now(), target, reason))

    def work_ended(self, target: str, shard: str) -> None:
        """Tell the core of a request that certainly runs no more."""
        self.execute(self.node.work_ended(now(), target, shard))

    def peers(self) -> list[dict]:
        """Return one row for each other VM of the cell, for the status page."""
        electorate = set(self.node.status(now()).electorate)
        return [
            {
                "vm": vm.name,
                "data_centre": vm.data_centre,
                "address": vm.peer_address,
                "elector": vm.name in electorate,
            }
            for vm in self.node.cell_vms()
            if vm.name != self._app.cfg.vm
        ]

    def answer_peer(self, sender: str, raw: bytes) -> bytes:
        """Answer a control message of another VM.

        Parameters
        ----------
        sender : str
        raw : bytes

        Returns
        -------
        bytes
        """
        envelope = Envelope.FromString(raw)
        reply, actions = self.node.peer_request(now(), sender, envelope)
        self.execute(actions)
        return reply.SerializeToString()

    def execute(self, actions: list[Action]) -> None:
        """Do what the core asks for, in its order.

        Parameters
        ----------
        actions : list of Action
        """
        for action in actions:
            try:
                self._do(action)
            except Exception:
                # A listener that fails must not keep the actions after it from being
                # done: a grant that never leaves is a key that nobody serves.
                name = type(action).__name__
                log.exception("an action failed", extra={"action": name})

    def _do(self, action: Action) -> None:
        """Do one thing that the core asks for."""
        match action:
            case SendPeer():
                self._spawn(self._send_peer(action))
            case SendGrant():
                self._spawn(self._send_grant(action))
            case ReadStore():
                self._spawn(self._read(action))
            case WriteStore():
                self._spawn(self._write(action))
            case _:
                self._notice(action)

    def _spawn(self, work: Coroutine) -> None:
        """Run one action beside the others and keep hold of its task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        """Let go of a task and log an error that nobody foresaw.

        The core counts an action without a result as lost, so that an error here
        shows only as a store or peer that never answers.
        """
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("an action failed", exc_info=task.exception())

    async def _tick_forever(self) -> None:
        """Tell the core the time."""
        while True:
            try:
                self.execute(self.node.tick(now()))
                self._ticked = now()
            except Exception:
                # Ended here, the core would stand still while this VM goes on to
                # answer the balancer; see `live`.
                log.exception("a tick failed")
            await asyncio.sleep(TICK)

    async def _list_forever(self) -> None:
        """Read the platform's list of VMs."""
        while True:
            try:
                listed = await self._list.vms()
                self.execute(self.node.vm_list(now(), listed))
            except PlatformError as exc:
                log.warning("the list of VMs cannot be read", extra={"cause": str(exc)})
            except Exception:
                log.exception("the list of VMs cannot be used")
            active = self.node.proposing(now()) or not self.ready()
            interval = LIST_INTERVAL_ACTIVE if active else LIST_INTERVAL_IDLE
            await asyncio.sleep(interval)

    async def _send_peer(self, action: SendPeer) -> None:
        """Send a control message and hand the reply back."""
        link = self._app.links.link(action.address)
        raw = action.envelope.SerializeToString()
        answer = await link.exchange(self._app.cfg.vm, raw, action.timeout)
        try:
            reply = None if answer is None else Envelope.FromString(answer)
        except DecodeError:
            fields = {"peer": action.peer}
            log.exception("a reply of a peer cannot be read", extra=fields)
            reply = None
        self.execute(self.node.peer_reply(now(), action.peer, action.tag, reply))

    async def _send_grant(self, action: SendGrant) -> None:
        """Send a grant order and hand the answer back."""
        order = GrantRequest(
            vm=self._app.cfg.vm,
            epoch=action.epoch,
            version=action.version,
            shards=action.shards,
            anchor=action.anchor,
            incarnation=action.incarnation,
            lifetime_ms=action.lifetime_ms,
        )
        answer = None
        try:
            client = self._app.leaders.client(action.target, action.address)
            answer = await client.grant(order, action.timeout)
            self._app.leaders.heard(action.target, answer.incarnation, answer.cold)
        except TargetError:
            answer = None
        except Exception:
            # What the target said still counts for the core, if it said anything.
            fields = {"target": action.target}
            log.exception("a grant order failed", extra=fields)
        done = self.node.grant_reply(now(), action.target, action.tag, answer)
        self.execute(done)
        self._app.events.emit("grant-answered", action.target)

    async def _read(self, action: ReadStore) -> None:
        """Read the store and hand the result back."""
        result = await read(self._store, action)
        self.execute(self.node.store_reply(now(), action.tag, result))

    async def _write(self, action: WriteStore) -> None:
        """Write to the store and hand the result back."""
        result = await write(self._store, action)
        self.execute(self.node.store_reply(now(), action.tag, result))

    def _notice(self, action: Action) -> None:
        """Log what happened and tell the parts that follow it."""
        emit = self._app.events.emit
        match action:
            case ConfigurationAdopted():
                self._configuration = action.configuration
                revision = action.configuration.revision
                self._app.metrics.gauge("revision.configuration", revision)
                log.info("configuration adopted", extra={"revision": revision})
                emit("configuration-adopted", action.configuration)
            case AssignmentAdopted():
                self._app.metrics.gauge("revision.assignment", action.revision)
                self._app.links.keep_only(set(self.node.peer_addresses()))
                log.info("assignment adopted", extra={"revision": action.revision})
                emit("assignment-adopted", action.revision)
            case DocumentUnreadable():
                log.error(action.reason)
            case LeaseGained():
                self._app.metrics.gauge("lease.held", 1)
                log.info("lease gained")
                emit("lease-gained", action)
            case LeaseLost():
                self._app.metrics.gauge("lease.held", 0)
                log.warning("lease lost: no work is sent until it is confirmed again")
                emit("lease-lost", action)
            case ShardActivated():
                emit("shard-activated", action)
            case ShardReleased():
                emit("shard-released", action)
            case TargetUp():
                log.info("target up", extra={"target": action.target})
                emit("target-up", action)
            case TargetLost():
                extra = {"target": action.target, "reason": action.reason}
                log.warning("target down", extra=extra)
                emit("target-down", action)
