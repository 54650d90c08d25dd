"""Fakes at the core's interfaces: the store, targets and the processes of VMs."""

from __future__ import annotations

from berylstage_ownership.actions import ShardActivated, ShardReleased
from berylstage_ownership.events import StoreConflict, StoreRead, StoreWritten
from berylstage_ownership.idempotency import IdempotencyTable


class FakeStore:
    """Compare-and-swap over a dict, with faults."""

    def __init__(self):
        self.values = {}
        self.mode = "up"
        self.calls = 0

    def read(self, key):
        value, version = self.values.get(key, (b"", 0))
        return StoreRead(key, value, version)

    def write(self, key, value, expected):
        _, version = self.values.get(key, (b"", 0))
        if version != expected:
            return StoreConflict()
        self.values[key] = (value, version + 1)
        return StoreWritten(version + 1)


class FakeAnswer:
    def __init__(self, accepted, reason, clock, incarnation):
        self.accepted = accepted
        self.reason = reason
        self.clock = clock
        self.incarnation = incarnation
        self.cold = False


class FakeTarget:
    """A target: its grants by its own clock, and a ledger of what ran."""

    def __init__(self, name, checks, rate):
        self.name = name
        self.checks = checks
        self.rate = rate
        self.alive = True
        self.frozen_until = 0.0
        self.draining = False
        self.run = 1
        self.forget()

    def forget(self):
        self.epoch = self.version = 0
        self.shards = {}
        self.expires = 0

    def clock(self, time):
        return 1_000 + int(time * self.rate * 1000)

    def grant(self, time, order):
        reason = self._take(self.clock(time), order)
        return FakeAnswer(not reason, reason, self.clock(time), str(self.run))

    def _take(self, now, order):
        if (order.epoch, order.version) < (self.epoch, self.version):
            return "epoch"
        if self.draining:
            return "draining"
        if not order.anchor or order.incarnation != str(self.run):
            return "anchor"
        expires = order.anchor + order.lifetime_ms
        if expires <= now:
            return "anchor"
        self.epoch, self.version = order.epoch, order.version
        self.shards = dict(order.shards)
        self.expires = expires
        return ""

    def granted(self, time):
        if not self.alive or self.clock(time) >= self.expires:
            return {}
        return self.shards

    def accepts(self, time, shard, permit):
        if not self.alive:
            return False
        if not self.checks:
            return True
        held = self.granted(time).get(shard)
        return held == permit.fence and permit.epoch == self.epoch


class FakeVm:
    """One VM's process with its own clock."""

    def __init__(self, name, data_centre, rate, offset):
        self.name = name
        self.data_centre = data_centre
        self.address = f"{name}:1"
        self.rate = rate
        self.offset = offset
        self.incarnation = 0
        self.node = None
        self.paused_until = 0.0
        self.leaving = False
        self.notices = []
        self.table = IdempotencyTable()
        self.wall_offset = 0
        self.in_flight = 0

    def wall(self, time):
        return 1_000_000 + int(time * 1000) + self.wall_offset

    def notice(self, time, notice):
        """Do what the daemon does with a notice."""
        self.notices.append((time, notice))
        if isinstance(notice, ShardActivated):
            if notice.records is None:
                self.table.gain(notice.shard, self.wall(time))
            else:
                self.table.take_over(notice.shard, notice.records)
        elif isinstance(notice, ShardReleased):
            self.table.lose(notice.shard)

    def local(self, time):
        return self.offset + time * self.rate


class Listed:
    def __init__(self, vm):
        self.name = vm.name
        self.data_centre = vm.data_centre
        self.http_address = vm.address
        self.peer_address = vm.address
        self.leaving = vm.leaving
