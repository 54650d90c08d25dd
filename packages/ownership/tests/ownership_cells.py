"""Rows of the fault matrix: at which step which fault comes, and what is checked."""

from __future__ import annotations

from berylstage_sheet.configuration import Configuration
from ownership_setting import build_world, close, retire, set_apart

CLOSED = "taraz-a"
RETIRED = "visits-1"
GRACE = 3.0
SETTLED = 6.0

POINTS = {
    "owner": "no key has more than one owning target",
    "survives": "an acknowledged assignment survives",
    "cold": "a cold target never receives more than it can bear",
    "closed": "a closed data centre receives no new work after 3 s",
    "whole": "every caller receives the whole answer to its own request",
    "not-run": "a request refused as not run did not run",
    "once": "a request that may not be repeated runs at most once",
    "leaving": "a leaving target receives no new work after 3 s",
    "graceful": "a graceful shutdown cuts no request in flight",
    "in-force": "an accepted sheet is in force everywhere and never reverts",
    "served": "keys are served again once the fault is over",
}

NOT_HERE = {
    "not-run": "what was sent and refused is told apart by the target client",
    "cold": "the ramp is berylstage_policy's",
    "whole": "connections are berylstage_targets' and the daemon's",
}


def leave(world):
    world.vms["vm-1"].node.leave()
    world.left = "vm-1"


def restart(world, name="vm-1"):
    world.kill(name)
    world.start(name)


def cut(world, source, destination):
    world.cuts.add((source, destination))


def cut_data_centre(world):
    inside = [vm.name for vm in world.vms.values() if vm.data_centre == "almaty-b"]
    targets = world.cfg.targets.values()
    inside += [t.name for t in targets if t.data_centre == "almaty-b"]
    world.cut_off(inside)


def bad_network(world):
    world.loss, world.delay = 0.2, (0.001, 0.15)


def store_is(mode):
    def fault(world):
        world.store.mode = mode

    return fault


def target_is(**state):
    def fault(world):
        for name, value in state.items():
            setattr(world.targets["visits-0"], name, value)

    return fault


def freeze(world):
    world.targets["visits-0"].frozen_until = world.time + 2.5


def race(world):
    """Two operators write on the same revision: the second is refused."""
    second = Configuration.from_json(world.cfg.to_json())
    _, version = world.store.values["berylstage/configuration"]
    world.edit(close("shymkent-a"))
    second.revision += 1
    refused = world.store.write("berylstage/configuration", second.to_json(), version)
    if type(refused).__name__ != "StoreConflict":
        world.faults.append("both of two racing edits were accepted")


def both(*faults):
    def fault(world):
        for one in faults:
            one(world)

    return fault


# Each step brings the world to the middle of something.
STEPS = {
    "idle": lambda world: world.run(0.3),
    "starting up": lambda world: (restart(world, "vm-2"), world.run(0.2)),
    "taking a lease": lambda world: (world.kill("vm-3"), world.run(0.72)),
    "waiting out a lease": lambda world: (world.kill("vm-3"), world.run(0.95)),
    "granting": lambda world: (world.restart_target(RETIRED), world.run(0.05)),
    "closing a data centre": lambda world: (world.edit(close(CLOSED)), world.run(0.2)),
    "draining a target": lambda world: (world.edit(retire(RETIRED)), world.run(0.35)),
    "moving, just written": lambda world: (
        world.edit(retire(RETIRED)),
        world.until_revision(world.stored_revision + 1),
    ),
    "setting a key apart": lambda world: (
        world.edit(set_apart("key-1")),
        world.until_revision(world.stored_revision + 1),
    ),
    "shutting down": lambda world: (leave(world), world.run(0.08)),
    "sent": lambda world: (world.edit(retire(RETIRED)), world.run(0.2)),
}

FAULTS = {
    "none": lambda world: None,
    "VM killed": lambda world: world.kill("vm-1"),
    "proposer killed": lambda world: world.kill("vm-0"),
    "VM restarted": restart,
    "proposer paused past its lease": lambda world: world.pause("vm-0", 3.0),
    "VM paused past its lease": lambda world: world.pause("vm-1", 2.0),
    "VM paused briefly": lambda world: world.pause("vm-1", 0.7),
    "VM cut off one way": lambda world: cut(world, "vm-1", "vm-0"),
    "VM cut off from the store": lambda world: cut(world, "vm-0", "store"),
    "VM cut off from a target": lambda world: cut(world, "vm-0", "visits-0"),
    "target's answers lost": lambda world: cut(world, "visits-0", "vm-0"),
    "data centre cut off": cut_data_centre,
    "data centre lost": lambda world: world.lose_data_centre("almaty-b"),
    "messages lost and late": bad_network,
    "target lost": target_is(alive=False),
    "target frozen": freeze,
    "target cold again": lambda world: world.restart_target("visits-0"),
    "target draining": target_is(draining=True),
    "store down": store_is("down"),
    "store slow": store_is("slow"),
    "store's answers lost": store_is("lost"),
    "store's writes late": store_is("late"),
    "operators racing": race,
    "store down, VM killed": both(store_is("down"), lambda w: w.kill("vm-1")),
    "store down, elector restarted": both(store_is("down"), restart),
    "store's answers lost, proposer paused": both(
        store_is("lost"), lambda w: w.pause("vm-0", 2.0)
    ),
    "data centre lost, sheet applied": both(
        lambda w: w.lose_data_centre("almaty-b"), lambda w: w.edit(close("shymkent-a"))
    ),
    "all VMs restarted": lambda w: [restart(w, name) for name in list(w.vms)],
    "VM paused, its target cut off": both(
        lambda w: w.pause("vm-1", 1.5), lambda w: cut(w, "vm-0", RETIRED)
    ),
}


class CellResult:
    """Faults by point of one cell, and the points that it could not show."""

    def __init__(self):
        self.failed = {}
        self.not_run = {}

    def fail(self, point, why):
        self.failed.setdefault(point, []).append(why)


def run_cell(step, fault, checks):
    """Bring one fault about at one step and return what held."""
    world = build_world(vms=5, seed=7, settle=3.0, checks=checks)
    names = [f"once-{number}" for number in range(3)]
    traffic(world, names, 0.3)
    STEPS[step](world)
    FAULTS[fault](world)
    begin = world.time
    traffic(world, names, 4.0)
    heal(world)
    traffic(world, names, SETTLED)
    return judge(world, begin)


def traffic(world, names, seconds):
    """Let time pass while callers send, and send the same request again."""
    issued = 1_000_000 + int(world.time * 1000)
    end = world.time + seconds
    while world.time < end:
        for key in world.keys:
            world.request("visits", key, length=0.2)
            for name in names:
                world.request_once(key, f"{key}-{name}-{issued}", issued)
        world.run(0.25)
        world.stop_when_drained()


def heal(world):
    """End all faults that end by themselves; lost VMs are replaced."""
    world.cuts.clear()
    world.loss, world.delay = 0.0, (0.0005, 0.003)
    world.store.mode = "up"
    for target in world.targets.values():
        target.draining = False
        if not target.alive:
            world.restart_target(target.name)
    for vm in world.vms.values():
        if vm.node is None:
            world.start(vm.name)


def judge(world, begin):
    """Return what held in a cell that has ended."""
    result = CellResult()
    for fault in world.faults:
        point = "owner"
        if "ran twice" in fault:
            point = "once"
        elif "went back" in fault or "written" in fault or "accepted" in fault:
            point = "in-force" if fault.startswith("vm") else "survives"
        result.fail(point, fault)
    if world.store_was_down:
        result.not_run["closed"] = result.not_run["leaving"] = "nobody reads the sheet"
    judge_new_work(world, result)
    for vm in world.vms.values():
        if vm.node is None:
            continue
        if vm.node.configuration.revision != world.cfg.revision:
            result.fail("in-force", f"{vm.name} is at an earlier sheet")
    if not all(world.served("visits", key) for key in world.keys):
        result.fail("served", "a key is not served")
    if world.left is None:
        result.not_run["graceful"] = "nobody shuts down"
    elif world.cut_in_flight:
        result.fail("graceful", f"{world.cut_in_flight} requests")
    return result


def closings(world):
    """Yield each closing by the sheet: point, time, targets without new work."""
    for (_, before), (edited, cfg) in zip(world.edits, world.edits[1:], strict=False):
        for centre in cfg.data_centres.values():
            if centre.state is not before.data_centres[centre.name].state:
                targets = cfg.targets.values()
                yield (
                    "closed",
                    edited,
                    {t.name for t in targets if t.data_centre == centre.name},
                )
        for target in cfg.targets.values():
            if target.state is not before.targets[target.name].state:
                yield "leaving", edited, {target.name}


def judge_new_work(world, result):
    """Check that no work began where operators want none."""
    found = list(closings(world))
    for point, edited, targets in found:
        if point in result.not_run:
            continue
        for key, target, start, _ in world.ran:
            if target in targets and start > edited + GRACE:
                result.fail(point, f"{key} at {target} after {start - edited:.1f} s")
    for point in ("closed", "leaving"):
        if not any(closed == point for closed, _, _ in found):
            result.not_run.setdefault(point, "nothing is closed")
