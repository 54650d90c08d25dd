"""In-memory fakes of the store, targets and records."""

from __future__ import annotations

import asyncio
import json
from random import Random

from berylstage_entry.assignment import LAST_KEY
from berylstage_entry.clock import now
from berylstage_entry.errors import (
    Conflict,
    LeaseExpired,
    RevisionCompacted,
    StoreUnavailable,
    TargetReplaced,
)
from berylstage_entry.protocols import Record, RecordReader, TargetProtocol
from berylstage_entry.routes import Route, WeightedService
from berylstage_entry.services import Configuration, Limits, Service
from berylstage_entry.settings import Bounds, EntrySettings
from berylstage_entry.store import Changes, Item, Store
from berylstage_entry.targets import LoadReport, Target
from berylstage_transfers.errors import AnswerLost, ConnectionRefused, NeverSent

LIMITS = Limits(16384, 1 << 20, 3.0, 15.0)
BOUNDS = Bounds(0.2, 60.0, 1.5, 5.0, 6.0, 10.0)


def settings(
    vm: str = "vm-1", port: int = 1, cores: float = 1.0, link: float = 1000.0
) -> EntrySettings:
    address = f"127.0.0.1:{port}"
    listens = (address, address, address, port)
    return EntrySettings(vm, "dc-1", *listens, address, 1.0, BOUNDS, cores, link)


def configuration(version: int = 1, owns_keys: bool = True) -> Configuration:
    route = Route("r", "h", "/a/", [WeightedService("s", 1.0)], True, 2, 1.0, 0.3, 1)
    return Configuration(
        version, [route], [Service("s", "/", 50, 3.0, 5.0, owns_keys)], LIMITS
    )


def target(name: str, incarnation: int = 1, **changes) -> Target:
    fields = {
        "service": "s",
        "address": f"127.0.0.1:{1 + sum(name.encode())}",
        "data_centre": "dc-1",
        "slots": 2,
        "is_draining": False,
        "cold_seconds_left": 0.0,
    } | changes
    return Target(name, incarnation, **fields)


class MemoryStore(Store):
    """The store in memory; `is_unreachable` makes every call fail."""

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.log: list[Item] = []
        self.revision = 1
        self.is_unreachable = False
        # Revision up to which the history is compacted.
        self.compacted = 0
        # Delay in seconds of writes that are applied although their answers are lost; 0
        # for none.
        self.late_writes = 0.0
        # Seconds that each write takes.
        self.write_delay = 0.0
        self.leases: dict[int, float] = {}
        self.lease_seconds: dict[int, float] = {}
        self.lease_by_key: dict[str, int] = {}
        self._changed = asyncio.Condition()

    def _check_available(self):
        if self.is_unreachable:
            raise StoreUnavailable("store unavailable")
        for lease, end in list(self.leases.items()):
            if now() > end:
                self._drop_lease(lease)

    def _drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key, owner in list(self.lease_by_key.items()):
            if owner == lease:
                self.put(key, None)

    def put(self, key, value, lease=0):
        self.revision += 1
        item = Item(key, value, self.revision)
        self.log.append(item)
        self.lease_by_key.pop(key, None)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
            if lease:
                self.lease_by_key[key] = lease
        return self.revision

    async def read(self, prefix):
        self._check_available()
        found = [i for k, i in self.items.items() if k.startswith(prefix)]
        return Changes(found, self.revision)

    async def watch(self, prefix, after, wait):
        end = now() + wait
        while True:
            self._check_available()
            if after < self.compacted:
                raise RevisionCompacted("compacted")
            found = [
                i for i in self.log if i.revision > after and i.key.startswith(prefix)
            ]
            if found or now() > end:
                return Changes(found, self.revision)
            await asyncio.sleep(0.01)

    async def write(self, conditions, writes, removals=()):
        self._check_available()
        if self.late_writes:
            asyncio.get_running_loop().call_later(
                self.late_writes, self._write_late, conditions, writes, removals
            )
            await asyncio.sleep(0.1)
            raise StoreUnavailable("the answer was lost")
        if self.write_delay:
            await asyncio.sleep(self.write_delay)
            self._check_available()
        return self._write(conditions, writes, removals)

    def _write_late(self, conditions, writes, removals):
        try:
            self._write(conditions, writes, removals)
        except (Conflict, LeaseExpired):
            return

    def _write(self, conditions, writes, removals):
        for c in conditions:
            item = self.items.get(c.key)
            if (item.revision if item else 0) != c.revision:
                raise Conflict(c.key)
        for w in writes:
            if w.lease and w.lease not in self.leases:
                raise LeaseExpired(str(w.lease))
        for key in removals:
            self.put(key, None)
        for w in writes:
            self.put(w.key, w.value, w.lease)
        # All changes of one call get the same revision, as on the platform.
        for item in self.log[-len(writes) - len(removals) :] if writes else []:
            item.revision = self.revision
        return self.revision

    async def create_lease(self, seconds):
        self._check_available()
        lease = self.revision * 1000 + len(self.leases) + 1
        self.leases[lease] = now() + seconds
        self.lease_seconds[lease] = seconds
        return lease

    async def renew_lease(self, lease):
        self._check_available()
        if lease not in self.leases:
            raise LeaseExpired(str(lease))
        self.leases[lease] = now() + self.lease_seconds[lease]

    async def revoke_lease(self, lease):
        self._check_available()
        self._drop_lease(lease)


class StoreView(Store):
    """The same store as one VM sees it; `is_unreachable` partitions it."""

    def __init__(self, store):
        self._store = store
        self.is_unreachable = False

    def _check_connection(self):
        if self.is_unreachable:
            raise StoreUnavailable("store unavailable")

    async def read(self, prefix):
        self._check_connection()
        return await self._store.read(prefix)

    async def watch(self, prefix, after, wait):
        self._check_connection()
        return await self._store.watch(prefix, after, min(wait, 0.3))

    async def write(self, conditions, writes, removals=()):
        self._check_connection()
        return await self._store.write(conditions, writes, removals)

    async def create_lease(self, seconds):
        self._check_connection()
        return await self._store.create_lease(seconds)

    async def renew_lease(self, lease):
        self._check_connection()
        await self._store.renew_lease(lease)

    async def revoke_lease(self, lease):
        self._check_connection()
        await self._store.revoke_lease(lease)


class LateAnswers(StoreView):
    """A store whose answers are delayed; a cancelled write still takes effect."""

    async def write(self, conditions, writes, removals=()):
        revision = await super().write(conditions, writes, removals)
        await asyncio.sleep(0.2)
        return revision


class JsonRecords(RecordReader):
    """Records as plain JSON under ``cfg`` and ``t/``."""

    def __init__(self, configurations=None):
        self.configurations = configurations or {}

    def read(self, item):
        if item.key == "cfg" and item.value is not None:
            return Record(configuration=self.configurations[int(item.value)])
        if not item.key.startswith("t/"):
            return None
        if item.value is None:
            return Record(removed_target=item.key[2:])
        return Record(target=target(item.key[2:], **json.loads(item.value)))


class Grant:
    """A grant of keys that a target has."""

    def __init__(self, first, last, fence, start, end):
        self.first, self.last, self.fence = first, last, fence
        self.start, self.end = start, end


class FencedTargets(TargetProtocol):
    """Targets that check fences and record who had which grants when.

    A release takes keys back and, as on the platform, leaves no fence behind: only a
    grant does.
    """

    def __init__(self):
        super().__init__()
        self.holds: dict[str, list[Grant]] = {}
        self.past: list[tuple[str, Grant]] = []
        self.fences: dict[str, list[tuple[int, int, int]]] = {}
        # Longest delay of a call in seconds; calls may overtake each other.
        self.delay = 0.0
        # Additional delay of each grant, but not of releases, in seconds.
        self.grant_delay = 0.0
        # Seconds after which a target answers a probe.
        self.probe_delay = 0.0
        # Seconds until the work on released keys has ended.
        self.release_delay = 0.0
        self._rng = Random(7)
        self.silent: set[str] = set()
        # Targets whose process has ended: they refuse connections.
        self.down: set[str] = set()
        # Number of ended processes of each target.
        self.ended_processes: dict[str, int] = {}
        # Targets that have closed their ports and complete the requests they have.
        self.completing: set[str] = set()
        # Targets to which no connection can be made.
        self.unreachable: set[str] = set()
        self.refusing: set[str] = set()
        self.ended: set[str] = set()
        self.late: dict[str, float] = {}
        # Grants whose fence is not above all fences that other targets have seen.
        self.stale_grants: list[tuple] = []
        # Requested grants, in order: target, first key and fence.
        self.ordered: list[tuple[str, int, int]] = []
        # Probed targets, in order, and the load that each target reports.
        self.probed: list[str] = []
        self.reports: dict[str, LoadReport] = {}

    def request_headers(self, req, target, seconds):
        return {}

    def parse_answer(self, answer):
        raise NotImplementedError

    def end_process(self, name):
        """End a target's process, with its grants and the calls in flight to it."""
        self._take(name, 0, LAST_KEY)
        self.fences.pop(name, None)
        self.completing.discard(name)
        self.down.add(name)
        self.ended_processes[name] = self._process_number(name) + 1

    def _process_number(self, name):
        return self.ended_processes.get(name, 0)

    def _check_process(self, name, process_number):
        """Fail a call to a process that has ended since."""
        if self._process_number(name) != process_number:
            raise AnswerLost("target process has ended")

    async def grant(self, target, order, timeout):
        self.ordered.append((target.name, order.first, order.fence))
        if target.name in self.ended:
            raise TargetReplaced(target.name)
        await self._connect(target.name)
        process_number = self._process_number(target.name)
        await asyncio.sleep(self.grant_delay + self._rng.uniform(0, self.delay))
        self._check_process(target.name, process_number)
        if target.name in self.silent:
            await asyncio.sleep(timeout)
            raise AnswerLost("target does not answer")
        if target.name in self.late:
            arrived = now()
            delay = self.late[target.name]
            asyncio.get_running_loop().call_later(
                delay, self._apply_late, target.name, process_number, order, arrived
            )
            await asyncio.sleep(timeout)
            raise AnswerLost("answer arrives after the timeout")
        return self._apply(target.name, order, now())

    async def _connect(self, name):
        if name in self.down or name in self.completing:
            await asyncio.sleep(0.001)
            raise ConnectionRefused("refused")
        if name in self.refusing:
            # The link of the VM that calls is cut; the target goes on.
            raise ConnectionRefused("refused")
        if name in self.unreachable:
            await asyncio.sleep(0.25)
            raise NeverSent("no connection")

    def _apply_late(self, name, process_number, order, arrived):
        if self._process_number(name) == process_number:
            self._apply(name, order, arrived)

    def _apply(self, name, order, arrived):
        seen = self.fences.setdefault(name, [])
        overlapping = [f for a, b, f in seen if a <= order.last and b >= order.first]
        if overlapping and max(overlapping) > order.fence:
            return False
        self.stale_grants += [
            (name, order.fence, other, fence)
            for other, fences in self.fences.items()
            for first, last, fence in fences
            if other != name
            and first <= order.last
            and last >= order.first
            and fence >= order.fence
        ]
        seen.append((order.first, order.last, order.fence))
        self._take(name, order.first, order.last)
        active = Grant(
            order.first, order.last, order.fence, now(), arrived + order.seconds
        )
        self.holds.setdefault(name, []).append(active)
        return True

    def _take(self, name, first, last):
        kept = []
        for active in self.holds.get(name, []):
            if active.last < first or active.first > last:
                kept.append(active)
                continue
            end = min(active.end, now())
            self.past.append(
                (
                    name,
                    Grant(active.first, active.last, active.fence, active.start, end),
                )
            )
            if active.first < first:
                kept.append(
                    Grant(active.first, first - 1, active.fence, now(), active.end)
                )
            if active.last > last:
                kept.append(
                    Grant(last + 1, active.last, active.fence, now(), active.end)
                )
        self.holds[name] = kept

    async def release(self, target, first, last, fence, timeout):
        await self._connect(target.name)
        process_number = self._process_number(target.name)
        await asyncio.sleep(self.release_delay + self._rng.uniform(0, self.delay))
        self._check_process(target.name, process_number)
        if target.name in self.silent:
            await asyncio.sleep(timeout)
            raise AnswerLost("target does not answer")
        self._take(target.name, first, last)
        return "handover"

    async def probe(self, target, path, timeout):
        self.probed.append(target.name)
        if target.name in self.ended:
            raise TargetReplaced(target.name)
        await self._connect(target.name)
        await asyncio.sleep(self.probe_delay)
        if target.name in self.silent:
            await asyncio.sleep(timeout - self.probe_delay)
            raise AnswerLost("target does not answer")
        return self.reports.get(target.name)

    def overlapping_grants(self):
        """Return pairs of grants of the same keys to two targets at the same time."""
        grants = self.past + [(n, h) for n, hs in self.holds.items() for h in hs]
        return [
            (a, x.first, x.last, b, y.first, y.last)
            for i, (a, x) in enumerate(grants)
            for b, y in grants[i + 1 :]
            if a != b
            and x.first <= y.last
            and y.first <= x.last
            and x.start < y.end - 0.001
            and y.start < x.end - 0.001
        ]

    def holder(self, key):
        """Return the targets that have a grant of a key now."""
        return [
            name
            for name, holds in self.holds.items()
            for h in holds
            if h.first <= key <= h.last and h.end > now()
        ]
