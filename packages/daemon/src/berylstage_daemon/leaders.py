"""All targets that this VM leads, and the way of a request to one of them."""

from __future__ import annotations

import asyncio
from random import SystemRandom
from typing import TYPE_CHECKING

from berylstage_policy.thresholds import Thresholds
from berylstage_sheet.configuration import Ownership
from berylstage_targets.http import HttpTargetClient

from berylstage_daemon.answers import Answer, not_run
from berylstage_daemon.clock import now
from berylstage_daemon.leader import Leader
from berylstage_daemon.once import Once
from berylstage_daemon.part import Part
from berylstage_daemon.thresholds import thresholds_of

if TYPE_CHECKING:
    from berylstage_ownership.routing import Permit
    from berylstage_ownership.status import TargetStatus
    from berylstage_sheet.configuration import Configuration
    from berylstage_targets.target import TargetClient

    from berylstage_daemon.application import Application
    from berylstage_daemon.requests import CallerRequest

# A move takes milliseconds when both VMs live and a lease time when one is lost; who
# waits longer than this would better come back.
HOLD = 2.5
# Connections to a target that is gone are closed this many seconds late at most.
IDLE_LOOK = 0.25
# Requests held for moves at the same time, over all shards; each takes a few kB.
HELD_LIMIT = 2000


class Leaders(Part):
    """Serves requests for the targets that this VM leads.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app
        self._leaders: dict[str, Leader] = {}
        self._clients: dict[str, HttpTargetClient] = {}
        self._addresses: dict[str, str] = {}
        self._once = Once(app.events)
        app.control.node.set_records(self._once.table)
        self._thresholds = Thresholds()
        self._rng = SystemRandom()
        self._held: dict[str, set[asyncio.Future]] = {}
        self._parting: set[asyncio.Task] = set()
        self._held_count = 0
        app.events.connect("configuration-adopted", self._configured)
        app.events.connect("assignment-adopted", self._let_go)
        app.events.connect("shard-activated", self._look_again)
        app.events.connect("grant-answered", self._look_again)
        app.events.connect("assignment-adopted", self._look_again)

    async def start(self) -> None:
        """Leaders begin with the first request or grant of their target."""

    async def drain(self) -> None:
        """Wait for work that goes on though its caller went away."""
        await self._once.idle()

    def busy(self) -> bool:
        """Tell whether work that may not be repeated still runs."""
        return self._once.busy()

    async def stop(self) -> None:
        """Close all connections to targets."""
        for task in self._parting:
            task.cancel()
        for leader in self._leaders.values():
            await leader.close()
        for client in self._clients.values():
            await client.close()

    def client(self, target: str, address: str) -> TargetClient:
        """Return the connection to a target, which is made anew for a new address.

        Parameters
        ----------
        target : str
        address : str
            ``ip:port``.

        Returns
        -------
        TargetClient
        """
        if self._addresses.get(target) != address:
            connections = self._app.configuration().targets[target].connections
            # A target that was replaced at another address: its requests in flight
            # may end, but nothing that waited may be sent to the old one.
            self._part(target)
            client = HttpTargetClient(address, connections, self._app.cfg.vm)
            self._clients[target] = client
            self._addresses[target] = address
        return self._clients[target]

    def heard(self, target: str, incarnation: str, is_cold: bool) -> None:
        """Tell a target's queue what the target answered to a grant order.

        Parameters
        ----------
        target : str
        incarnation : str
            Run of the target's process.
        is_cold : bool
            Whether the target says that it is in cold start.
        """
        if target in self._app.configuration().targets:
            self._leader(target).seen(incarnation, is_cold)

    async def serve(
        self, req: CallerRequest, chosen: str, may_decline: bool = False
    ) -> Answer:
        """Serve a request whose target this VM should lead.

        Parameters
        ----------
        req : CallerRequest
        chosen : str
            Target chosen by the VM that received it; empty where keys are owned.
        may_decline : bool
            Whether a target with no free slot hands it back with reason ``busy``.

        Returns
        -------
        Answer
        """
        if req.service.ownership is Ownership.FREE:
            return await self._serve_free(req, chosen, may_decline)
        return await self._serve_owned(req)

    async def _serve_free(
        self, req: CallerRequest, chosen: str, may_decline: bool
    ) -> Answer:
        """Send to the chosen target if this VM leads it."""
        routes = self._app.control.routes

        def permit() -> Permit | Answer:
            return routes.lead_permit(chosen)

        first = permit()
        if isinstance(first, Answer):
            return first
        return await self._leader(chosen).run(req, "", permit, may_decline)

    async def _serve_owned(self, req: CallerRequest) -> Answer:
        """Send to the owner of the key, waiting for a move to end if need be."""
        routes = self._app.control.routes
        service = req.service.name
        shard = routes.shard(service, req.key)

        def permit() -> Permit | Answer:
            if routes.shard(service, req.key) != shard:
                return not_run("moved")
            return routes.permit(service, shard)

        first = permit()
        if isinstance(first, Answer) and first.reason == "moving":
            first = await self._hold(req, shard, permit)
        if isinstance(first, Answer):
            return first
        return await self._once.run(
            req,
            shard,
            lambda: self._leader(first.target).run(req, shard, permit),
        )

    async def _hold(self, req: CallerRequest, shard: str, permit) -> Permit | Answer:
        """Let a request wait until its shard is active here.

        Without it each planned move would refuse the requests that arrive in its few
        milliseconds, and their callers would come back a quarter of a second later.
        """
        if self._held_count >= HELD_LIMIT:
            return not_run("moving")
        self._held_count += 1
        try:
            async with asyncio.timeout(min(HOLD, req.deadline - now())):
                return await self._permitted(shard, permit)
        except TimeoutError:
            return not_run("moving")
        finally:
            self._held_count -= 1

    async def _permitted(self, shard: str, permit) -> Permit | Answer:
        """Wait until a shard moves no more, and return leave to send or a refusal."""
        while True:
            await self._news(shard)
            allowed = permit()
            if not isinstance(allowed, Answer) or allowed.reason != "moving":
                return allowed

    async def _news(self, shard: str) -> None:
        """Wait until something happens that may let a shard be served here."""
        fut: asyncio.Future[None] = asyncio.Future()
        waiting = self._held.setdefault(shard, set())
        waiting.add(fut)
        try:
            await fut
        finally:
            # Hot keys get shards of their own and lose them all day; an empty set kept
            # for each that was ever waited for would fill the memory.
            waiting.discard(fut)
            if not waiting and self._held.get(shard) is waiting:
                del self._held[shard]

    def idle(self, targets: list[str]) -> list[str]:
        """Return those of some targets that this VM leads and that have a free slot.

        Parameters
        ----------
        targets : list of str

        Returns
        -------
        list of str
        """
        return [name for name in targets if self._is_idle(name)]

    def _is_idle(self, target: str) -> bool:
        """Tell whether a request would start at once at a target led here."""
        leader = self._leaders.get(target)
        if leader is None or not leader.queue.has_free_slot(now()):
            return False
        return not isinstance(self._app.control.routes.lead_permit(target), Answer)

    def status(self, led: list[TargetStatus]) -> list[dict]:
        """Return one row for each led target, for the status page.

        Parameters
        ----------
        led : list of TargetStatus
            What the protocol core knows of them.

        Returns
        -------
        list of dict
        """
        return [self._status_row(target) for target in led]

    def _status_row(self, target: TargetStatus) -> dict:
        """Return the row of one target."""
        leader = self._leaders.get(target.name)
        queue = leader.queue if leader is not None else None
        state = target.reason or ("cold" if target.cold else "up")
        return {
            "name": target.name,
            "state": state,
            "epoch": target.epoch,
            "shards": target.shards,
            "running": queue.running if queue else 0,
            "waiting": queue.waiting if queue else 0,
            "limit": queue.ramp.limit(now()) if queue else 0,
        }

    def gauge_queues(self) -> None:
        """Send the length of each queue to the metrics."""
        for name, leader in self._leaders.items():
            self._app.metrics.gauge(f"queue.{name}", leader.queue.waiting)

    def _leader(self, target: str) -> Leader:
        """Return the leader of a target, made at its first use."""
        if target not in self._leaders:
            found = self._app.configuration().targets[target]
            self._leaders[target] = Leader(
                target,
                found.slots,
                self.client(target, found.address),
                self._app.control,
                self._app.load,
                self._thresholds,
                self._rng,
            )
        return self._leaders[target]

    def _configured(self, cfg: Configuration) -> None:
        """Take in new slots and thresholds."""
        self._thresholds = thresholds_of(cfg)
        for name, leader in self._leaders.items():
            leader.set_thresholds(self._thresholds)
            if name in cfg.targets:
                leader.set_slots(cfg.targets[name].slots)
        self._let_go()

    def _let_go(self, _news: object = None) -> None:
        """Let go of what other VMs lead now, and of targets that are gone.

        Targets are replaced all day. Each one kept would hold its connections and a
        queue for as long as this VM runs.
        """
        for target in list(self._clients):
            route = self._app.control.routes.lead_route(target)
            if route is not None and route.vm == self._app.cfg.vm:
                if target in self._leaders:
                    self._leaders[target].look_again()
                continue
            if target not in self._app.configuration().targets:
                self._part(target)
            elif target in self._leaders:
                self._leaders[target].hand_back()

    def _part(self, target: str) -> None:
        """Let go of a target, and of its connections once its last request ended."""
        leader = self._leaders.pop(target, None)
        client = self._clients.pop(target, None)
        self._addresses.pop(target, None)
        if leader is not None:
            leader.retire()
        if client is not None:
            task = asyncio.ensure_future(_close_when_idle(leader, client))
            self._parting.add(task)
            task.add_done_callback(self._parting.discard)

    def _look_again(self, news: object) -> None:
        """Let all requests that wait for a shard look again.

        A shard is served here once it is active and its target has accepted the
        grant, in whichever order; or it goes on to another VM before that. A request
        that missed the news would wait as long as it is held at most, while its key
        is served.
        """
        for futs in self._held.values():
            for fut in futs:
                if not fut.done():
                    fut.set_result(None)
        self._held.clear()


async def _close_when_idle(leader: Leader | None, client: TargetClient) -> None:
    """Close the connections to a target once nothing is in flight there.

    Each request ends with its deadline at the latest, so this ends too.
    """
    while leader is not None and leader.queue.running:
        await asyncio.sleep(IDLE_LOOK)
    await client.close()
