"""All targets that this VM leads, and the way of a request to one of them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
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
    from berylstage_ownership.actions import ShardActivated
    from berylstage_ownership.routing import Permit
    from berylstage_ownership.status import TargetStatus
    from berylstage_sheet.configuration import Configuration
    from berylstage_targets.target import TargetClient

    from berylstage_daemon.application import Application
    from berylstage_daemon.requests import CallerRequest

# A move takes milliseconds when both VMs live and a lease time when one is lost; who
# waits longer than this would better come back.
HOLD = 2.5
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
        self._held: dict[str, set[asyncio.Future]] = defaultdict(set)
        self._held_count = 0
        app.events.connect("configuration-adopted", self._configured)
        app.events.connect("shard-activated", self._activated)

    async def start(self) -> None:
        """Leaders begin with the first request or grant of their target."""

    async def stop(self) -> None:
        """Close all connections to targets."""
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
            client = HttpTargetClient(address, connections, self._app.cfg.vm)
            self._clients[target] = client
            self._addresses[target] = address
            # A target that was replaced at another address: its requests in flight
            # may end, but nothing that waited may be sent to the old one.
            old = self._leaders.pop(target, None)
            if old is not None:
                old.retire()
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

    async def serve(self, req: CallerRequest, chosen: str) -> Answer:
        """Serve a request whose target this VM should lead.

        Parameters
        ----------
        req : CallerRequest
        chosen : str
            Target chosen by the VM that received it; empty where keys are owned.

        Returns
        -------
        Answer
        """
        if req.service.ownership is Ownership.FREE:
            return await self._serve_free(req, chosen)
        return await self._serve_owned(req)

    async def _serve_free(self, req: CallerRequest, chosen: str) -> Answer:
        """Send to the chosen target if this VM leads it."""
        routes = self._app.control.routes

        def permit() -> Permit | Answer:
            return routes.lead_permit(chosen)

        first = permit()
        if isinstance(first, Answer):
            return first
        return await self._leader(chosen).run(req, "", permit)

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
        fut: asyncio.Future[None] = asyncio.Future()
        self._held[shard].add(fut)
        self._held_count += 1
        try:
            async with asyncio.timeout(min(HOLD, req.deadline - now())):
                await fut
        except TimeoutError:
            return not_run("moving")
        finally:
            self._held_count -= 1
            self._held[shard].discard(fut)
        return permit()

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
            if name in cfg.targets:
                leader.set_slots(cfg.targets[name].slots)

    def _activated(self, notice: ShardActivated) -> None:
        """Wake the requests that wait for a shard."""
        for fut in self._held.pop(notice.shard, ()):
            if not fut.done():
                fut.set_result(None)
