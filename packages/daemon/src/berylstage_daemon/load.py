"""Measures the load of led shards and keys and tells it to the proposer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_messages.load_pb2 import HotKeys as HotKeyChange
from berylstage_messages.load_pb2 import LoadDigest, ShardLoad
from berylstage_policy.hot_keys import HotKeyDetector, KeySketch
from berylstage_sheet.configuration import Ownership
from logbook import Logger

from berylstage_daemon.clock import now
from berylstage_daemon.part import Part
from berylstage_daemon.thresholds import thresholds_of

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration

    from berylstage_daemon.application import Application

log = Logger("load")

# The hottest keys change within minutes; a report every five seconds finds them in
# time and costs a few hundred bytes a second.
REPORT_EVERY = 5.0
# Shards that one VM leads at most in the examples, four times over; a shard beyond
# that is counted with an error and shows up as soon as it has real load.
SHARD_COUNTERS = 2048
# Loads follow a change within half a minute and forget a burst of seconds.
SHARD_HALF_LIFE = 30.0
# A shard below this is left out of the report: a thousandth of a slot.
LEAST_LOAD = 0.001


class LoadMeter(Part):
    """Counts the slot time of shards and keys.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app
        self._shards = KeySketch(SHARD_COUNTERS, SHARD_HALF_LIFE)
        self._keys: dict[str, HotKeyDetector] = {}
        self._slots: dict[str, float] = {}
        self._loop: asyncio.Task | None = None
        app.events.connect("configuration-adopted", self._configured)
        app.events.connect("assignment-adopted", self._assigned)

    async def start(self) -> None:
        """Start to report."""
        self._loop = asyncio.ensure_future(self._report_forever())

    async def stop(self) -> None:
        """Stop to report."""
        if self._loop is not None:
            self._loop.cancel()

    def observe(self, service: str, shard: str, key: str, seconds: float) -> None:
        """Count a finished request of an owned key.

        Parameters
        ----------
        service, shard, key : str
        seconds : float
            Time that it took a slot.
        """
        self._shards.add(shard, seconds, now())
        hot = self._keys.get(service)
        if hot is not None:
            hot.observe(key, seconds, now())

    def digest(self) -> LoadDigest:
        """Return what is told to the proposer."""
        moment = now()
        heaviest = self._shards.heaviest(SHARD_COUNTERS, moment)
        digest = LoadDigest(
            shards=[
                ShardLoad(shard=shard, load=load)
                for shard, load in heaviest
                if load >= LEAST_LOAD
            ]
        )
        for service, hot in sorted(self._keys.items()):
            changes = hot.plan_changes(self._slots[service], moment)
            if changes.set_apart or changes.give_back:
                digest.hot_keys.append(
                    HotKeyChange(
                        service=service,
                        set_apart=changes.set_apart,
                        give_back=changes.give_back,
                    )
                )
        return digest

    async def _report_forever(self) -> None:
        """Hand the digest to the core, which sends it with the next heartbeat."""
        while True:
            await asyncio.sleep(REPORT_EVERY)
            try:
                self._app.control.node.set_load(self.digest().SerializeToString())
                self._app.leaders.gauge_queues()
            except Exception:
                # Without reports the proposer would see this VM's shards as idle.
                log.exception("the load could not be reported")

    def _configured(self, cfg: Configuration) -> None:
        """Take in the owned services, their slots and the thresholds."""
        thresholds = thresholds_of(cfg)
        for service in cfg.services.values():
            slots = [target.slots for target in cfg.targets_of(service.name)]
            if service.ownership is Ownership.OWNED and slots:
                self._slots[service.name] = min(slots)
                if service.name not in self._keys:
                    self._keys[service.name] = HotKeyDetector(thresholds)
                self._keys[service.name].set_thresholds(thresholds)
        for name in self._keys.keys() - cfg.services.keys():
            del self._keys[name]

    def _assigned(self, _revision: int) -> None:
        """Take in which of the keys led here have shards of their own."""
        node = self._app.control.node
        for service, hot in self._keys.items():
            hot.set_apart(node.own_keys_led(service))
