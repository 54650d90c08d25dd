"""What the data path asks for: where a shard is served, and whether here and now."""

from __future__ import annotations


class Route:
    """Where requests of a shard go.

    Parameters
    ----------
    target : str
        Target that owns the shard.
    vm, peer_address : str
        VM that leads the target; empty when nobody does yet.
    """

    __slots__ = ("target", "vm", "peer_address")

    def __init__(self, target: str, vm: str, peer_address: str):
        self.target = target
        self.vm = vm
        self.peer_address = peer_address


class Permit:
    """Leave to send one request to a target now.

    Parameters
    ----------
    target : str
    fence : int
        Fence token of the shard; 0 where keys are not owned.
    epoch : int
        Epoch of this VM's lead.
    longest : float
        Seconds after which the target must have dropped the request. Where a target
        does not check fences, whoever takes the shard over from a lost VM waits as
        long as this; a request with a later deadline could run next to its new owner.
    """

    __slots__ = ("target", "fence", "epoch", "longest")

    def __init__(
        self, target: str, fence: int, epoch: int, longest: float = float("inf")
    ):
        self.target = target
        self.fence = fence
        self.epoch = epoch
        self.longest = longest
