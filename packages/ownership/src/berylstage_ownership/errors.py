"""Errors of the protocol core: why work may not be admitted here and now."""

from __future__ import annotations


class OwnershipError(Exception):
    """Any refusal of the protocol core; the work certainly did not run."""


class UnknownShard(OwnershipError):
    """The assignment in force names no such shard; ask again after the next one."""

    def __init__(self, shard: str):
        super().__init__(
            f"shard {shard} is not in the assignment; check the service name, "
            "or retry once the sheet that names it is in force"
        )


class NotLeader(OwnershipError):
    """Another VM leads the target; forward there.

    Parameters
    ----------
    shard : str
    vm : str
        VM to forward to; empty when nobody leads the target yet.
    peer_address : str
        Address of that VM.
    """

    def __init__(self, shard: str, vm: str, peer_address: str):
        super().__init__(f"{shard} is led by {vm or 'nobody yet'}; forward it there")
        self.vm = vm
        self.peer_address = peer_address


class Moving(OwnershipError):
    """The shard changes hands; wait briefly and ask again."""

    def __init__(self, shard: str):
        super().__init__(f"{shard} is changing hands; retry within a second or two")


class NoLease(OwnershipError):
    """The VM holds no lease and must send nothing."""

    def __init__(self) -> None:
        super().__init__(
            "this VM holds no lease; retry through another VM, and check that it "
            "reaches the electors named on its status page"
        )


class TargetDown(OwnershipError):
    """The target does not accept grants; the shard will move."""

    def __init__(self, target: str):
        super().__init__(f"target {target} accepts no work; retry in a second or two")
        self.target = target
