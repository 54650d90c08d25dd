"""Settings of one protocol core."""

from __future__ import annotations

from random import Random

from berylstage_ownership.planner import BalancedPlanner, Planner


class NodeSettings:
    """What a VM knows of itself at start.

    Parameters
    ----------
    name : str
        Name of the VM, unique in the fleet.
    incarnation : int
        Run of the process; a later run of the same VM has a larger number, such as
        the Unix time of its start in milliseconds.
    data_centre : str
    http_address, peer_address : str
        ``host:port`` for callers and for other VMs.
    cell : str
    planner : Planner, optional
        Which target a shard goes to.
    rng : Random, optional
        Source of write ids.
    seeds : list of str, optional
        Addresses of other VMs, asked when the platform's list cannot be read.
    """

    __slots__ = (
        "name",
        "incarnation",
        "data_centre",
        "http_address",
        "peer_address",
        "cell",
        "planner",
        "rng",
        "seeds",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        data_centre: str,
        http_address: str,
        peer_address: str,
        cell: str,
        planner: Planner | None = None,
        rng: Random | None = None,
        seeds: list[str] | None = None,
    ):
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.http_address = http_address
        self.peer_address = peer_address
        self.cell = cell
        self.planner = planner or BalancedPlanner()
        self.rng = rng or Random()
        self.seeds = seeds or []
