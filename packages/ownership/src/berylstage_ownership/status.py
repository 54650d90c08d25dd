"""Snapshots of a protocol core, for the status page."""

from __future__ import annotations


class TargetStatus:
    """One led target.

    Parameters
    ----------
    name : str
    epoch : int
    up, cold : bool
    reason : str
        Why it is down; empty when it is up.
    shards : int
        Shards that this VM may serve at it.
    """

    __slots__ = ("name", "epoch", "up", "cold", "reason", "shards")

    def __init__(
        self, name: str, epoch: int, up: bool, cold: bool, reason: str, shards: int
    ):
        self.name = name
        self.epoch = epoch
        self.up = up
        self.cold = cold
        self.reason = reason
        self.shards = shards


class NodeStatus:
    """One protocol core.

    Parameters
    ----------
    name : str
    revision, configuration_revision : int
    lease_left : float
        Seconds; 0 without a lease.
    role : str
        What the VM does with the store.
    electorate : list of str
    electorate_version : int
    muted : bool
        Whether this VM, as an elector, confirms nothing yet.
    store_lost : bool
    targets : list of TargetStatus
    active_shards, waiting_shards : int
    store_calls : int
        Calls made since the start.
    """

    __slots__ = (
        "name",
        "revision",
        "configuration_revision",
        "lease_left",
        "role",
        "electorate",
        "electorate_version",
        "muted",
        "store_lost",
        "targets",
        "active_shards",
        "waiting_shards",
        "store_calls",
    )

    def __init__(
        self,
        name: str,
        revision: int,
        configuration_revision: int,
        lease_left: float,
        role: str,
        electorate: list[str],
        electorate_version: int,
        muted: bool,
        store_lost: bool,
        targets: list[TargetStatus],
        active_shards: int,
        waiting_shards: int,
        store_calls: int,
    ):
        self.name = name
        self.revision = revision
        self.configuration_revision = configuration_revision
        self.lease_left = lease_left
        self.role = role
        self.electorate = electorate
        self.electorate_version = electorate_version
        self.muted = muted
        self.store_lost = store_lost
        self.targets = targets
        self.active_shards = active_shards
        self.waiting_shards = waiting_shards
        self.store_calls = store_calls
