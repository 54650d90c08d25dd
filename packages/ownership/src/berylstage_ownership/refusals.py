"""Why a request must not be sent here and now."""

from __future__ import annotations


class Refusal:
    """Leave was refused: the request certainly did not run.

    Parameters
    ----------
    reason : str
        Short machine-readable reason.
    message : str
        What happened and what to do.
    """

    __slots__ = ("reason", "message")

    def __init__(self, reason: str, message: str):
        self.reason = reason
        self.message = message


class UnknownShard(Refusal):
    """The assignment in force names no such shard."""

    __slots__ = ()

    def __init__(self, shard: str):
        super().__init__(
            "no-owner",
            f"shard {shard} is not in the assignment; check the service name, or "
            "retry once the sheet that names it is in force",
        )


class NotLeader(Refusal):
    """Another VM leads the target; forward there.

    Parameters
    ----------
    item : str
        Shard or target.
    vm, peer_address : str
        VM to forward to; empty when nobody leads the target yet.
    """

    __slots__ = ("vm", "peer_address")

    def __init__(self, item: str, vm: str, peer_address: str):
        super().__init__(
            "not-leader", f"{item} is led by {vm or 'nobody yet'}; forward it there"
        )
        self.vm = vm
        self.peer_address = peer_address


class Moving(Refusal):
    """The shard changes hands; wait briefly and ask again."""

    __slots__ = ()

    def __init__(self, item: str):
        super().__init__(
            "moving", f"{item} is changing hands; retry within a second or two"
        )


class NoLease(Refusal):
    """The VM holds no lease and must send nothing."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(
            "no-lease",
            "this VM holds no lease; retry through another VM, and check that it "
            "reaches the electors named on its status page",
        )


class TargetClosed(Refusal):
    """Operators want no work at the target, and its shards could not move yet."""

    __slots__ = ()

    def __init__(self, target: str):
        super().__init__(
            "closed",
            f"the sheet closes {target} and its shards cannot move yet; check that "
            "another target of the service is open and that the store takes writes",
        )


class TargetDown(Refusal):
    """The target accepts no work; its shards will move."""

    __slots__ = ("target",)

    def __init__(self, target: str):
        super().__init__(
            "target-down",
            f"target {target} accepts no work; retry in a second or two",
        )
        self.target = target
