"""Configurations and worlds that several tests begin with."""

from __future__ import annotations

from berylstage_sheet.configuration import (
    Configuration,
    DataCentre,
    DataCentreState,
    Kind,
    MemberState,
    Ownership,
    RequestClass,
    Service,
    SpecialKey,
    Target,
)
from ownership_callers import WORK_DEADLINE
from ownership_world import World

CENTRES = ["almaty-a", "almaty-b", "shymkent-a", "taraz-a"]
SERVICE = "visits"


def make_configuration(
    data_centres, targets=8, shards=8, checks=True, service="visits"
):
    """Return a configuration with one owned and one free service."""
    kinds = {
        "read": Kind("read", RequestClass.INTERACTIVE, True, int(WORK_DEADLINE * 1000))
    }
    found = {}
    for number in range(targets):
        checking = checks if isinstance(checks, bool) else number % 2 == 0
        name = f"{service}-{number}"
        found[name] = Target(
            name,
            service,
            f"127.0.0.1:{20000 + number}",
            data_centres[number % len(data_centres)],
            2,
            50,
            checking,
            MemberState.ACTIVE,
        )
    return Configuration(
        revision=1,
        services={
            service: Service(service, "saryarka", Ownership.OWNED, shards, kinds)
        },
        data_centres={n: DataCentre(n, DataCentreState.OPEN) for n in data_centres},
        vms={},
        targets=found,
        special_keys=[],
    )


def close(data_centre, state=DataCentreState.CLOSED):
    """Return an edit that closes a data centre, or opens it again."""

    def change(cfg):
        cfg.data_centres[data_centre].state = state

    return change


def retire(target):
    """Return an edit by which a target is to take no new work."""

    def change(cfg):
        cfg.targets[target].state = MemberState.LEAVING

    return change


def drop(target):
    """Return an edit that takes a target out of the sheet."""

    def change(cfg):
        del cfg.targets[target]

    return change


def set_apart(key, target=None):
    """Return an edit that gives a key a shard of its own."""

    def change(cfg):
        cfg.special_keys.append(SpecialKey(SERVICE, key, target))

    return change


def build_world(
    vms=5,
    seed=1,
    settle=4.0,
    checks=True,
    list_lag=0.0,
    world_class=World,
    **kwargs,
):
    """Return a world of some VMs over four data centres, after a while."""
    cfg = make_configuration(CENTRES, checks=checks, **kwargs)
    names = [(f"vm-{n}", CENTRES[n % len(CENTRES)]) for n in range(vms)]
    world = world_class(cfg, names, seed, list_lag=list_lag)
    world.run(settle)
    return world
