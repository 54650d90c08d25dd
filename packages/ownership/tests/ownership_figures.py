"""Prints the figures of docs/design/ownership.md: run it as a script."""

from __future__ import annotations

from collections import Counter
from random import Random
from statistics import median
from time import process_time

from ownership_setting import build_world, close, retire
from ownership_world import World

KEYS = [f"key-{number}" for number in range(12)]
SEEDS = range(1, 11)

LOSSES = {
    "VM lost": lambda world: world.kill("vm-0"),
    "target lost": lambda world: setattr(world.targets["visits-1"], "alive", False),
    "data centre lost": lambda world: world.lose_data_centre("almaty-a"),
    "VM paused": lambda world: world.pause("vm-1", 4.0),
    "all VMs restarted": lambda world: [
        (world.kill(name), world.start(name)) for name in list(world.vms)
    ],
}


class QuietWorld(World):
    """A world that checks nothing, so that only the protocol's time counts."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.kinds = Counter()
        self.received = Counter()

    def check(self):
        if self.time - self.last_list >= 1.0:
            self.last_list = self.time
            for vm in self.vms.values():
                self._tell_list(vm)

    def _send_peer(self, vm, node, action):
        self.kinds[action.envelope.WhichOneof("body")] += 1
        self.received[action.peer] += action.envelope.ByteSize()
        super()._send_peer(vm, node, action)


def told(times):
    return f"{median(times):.2f} / {max(times):.2f} s"


def losses():
    print("served again after (median / worst of 10)")
    for name, lose in LOSSES.items():
        for checks in (True, False):
            for vms in (5, 11):
                times = []
                for seed in SEEDS:
                    world = build_world(vms=vms, seed=seed, checks=checks)
                    lose(world)
                    times.append(world.until_served("visits", KEYS))
                kind = "check fences" if checks else "do not"
                print(f"  {name}, {vms} VMs, targets {kind}: {told(times)}")


def sheets():
    rng, times = Random(3), []
    for seed in range(1, 6):
        world = build_world(vms=11, seed=seed)
        for _ in range(20):
            world.run(rng.uniform(0.5, 1.5))
            world.edit(lambda cfg: None)
            begin = world.time
            nodes = [vm.node for vm in world.vms.values()]
            while any(n.configuration.revision < world.cfg.revision for n in nodes):
                world.run(0.01)
            times.append(world.time - begin)
    print(f"sheet in force everywhere, 11 VMs, 100 edits: {told(times)}")


def closings():
    edits = {"data centre": close("almaty-b"), "target": retire("visits-1")}
    for name, edit in edits.items():
        lasts, darks = [], []
        for seed in SEEDS:
            world = build_world(vms=11, seed=seed)
            world.edit(edit)
            targets = world.cfg.targets.values()
            closed = {t.name for t in targets if not world.cfg.takes_work(t)}
            begin, last, dark = world.time, 0.0, 0
            while world.time - begin < 3.0:
                world.run(0.01)
                dark += not all(world.served("visits", key) for key in KEYS)
                if any(found & closed for found in world.working().values()):
                    last = world.time - begin
            lasts.append(last)
            darks.append(dark * 0.01)
        print(f"closing a {name}: last grant {told(lasts)}, keys away {told(darks)}")


def costs():
    print("idle for 10 s, then a data centre lost for 5 s; 3 targets, 60 shards a VM")
    for vms in (11, 22, 44):
        world = build_world(
            vms=vms,
            settle=12.0,
            targets=vms * 3,
            shards=vms * 60,
            world_class=QuietWorld,
        )
        calls, size = world.sent_store, world.message_bytes
        world.kinds.clear()
        world.received.clear()
        begin = process_time()
        world.run(10.0)
        busy = (process_time() - begin) / 10 / vms * 1000
        calls = (world.sent_store - calls) / 10
        size = (world.message_bytes - size) / 10 / vms
        sent = sum(world.kinds.values()) / 10 / vms
        elector = max(world.received.values()) / 10
        document = len(world.vms["vm-1"].node.assignment.to_json())
        before, revision = world.sent_store, world.stored_revision
        world.lose_data_centre("almaty-a")
        world.run(5.0)
        print(
            f"  {vms} VMs: {calls:.1f} store calls/s; a VM {sent:.1f} requests/s, "
            f"{size:.0f} B/s both ways, {busy:.1f} ms/s with its fakes; busiest "
            f"elector hears {elector:.0f} B/s; document {document} B; lost data "
            f"centre: {world.sent_store - before} store calls, "
            f"{world.stored_revision - revision} of them writes"
        )


if __name__ == "__main__":
    losses()
    sheets()
    closings()
    costs()
