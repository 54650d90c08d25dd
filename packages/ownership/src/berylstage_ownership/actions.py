"""What the protocol core asks the daemon to do."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_messages.control_pb2 import Envelope, ShardRecords
    from berylstage_sheet.configuration import Configuration


class Action:
    """One thing to do; the daemon does the actions of a list in their order."""

    __slots__ = ()


class SendPeer(Action):
    """Send a request to another VM and hand its reply to ``Node.peer_reply``.

    Parameters
    ----------
    peer : str
        Name of the VM; its address where the name is not known yet.
    address : str
        ``host:port`` of its control endpoint.
    envelope : Envelope
    tag : int
        To be handed back with the reply.
    timeout : float
        Seconds after which the reply counts as lost.
    """

    __slots__ = ("peer", "address", "envelope", "tag", "timeout")

    def __init__(
        self, peer: str, address: str, envelope: Envelope, tag: int, timeout: float
    ):
        self.peer = peer
        self.address = address
        self.envelope = envelope
        self.tag = tag
        self.timeout = timeout


class ReadStore(Action):
    """Read a key and hand the result to ``Node.store_reply``."""

    __slots__ = ("key", "tag", "timeout")

    def __init__(self, key: str, tag: int, timeout: float):
        self.key = key
        self.tag = tag
        self.timeout = timeout


class WriteStore(Action):
    """Write a key if it has the expected version; hand the result back."""

    __slots__ = ("key", "value", "expected_version", "tag", "timeout")

    def __init__(
        self, key: str, value: bytes, expected_version: int, tag: int, timeout: float
    ):
        self.key = key
        self.value = value
        self.expected_version = expected_version
        self.tag = tag
        self.timeout = timeout


class SendGrant(Action):
    """Send a grant order to a target and hand its answer to ``Node.grant_reply``.

    Parameters
    ----------
    target : str
    address : str
        ``host:port`` of the target.
    epoch, version : int
    shards : dict of str to int
        Fence token by shard; shards that are not named are revoked.
    anchor : int
        Reading of the target's clock in milliseconds; 0 asks only for a reading.
    incarnation : str
        Run of the target that gave the anchor.
    lifetime_ms : int
    tag : int
    timeout : float
        Seconds after which the answer counts as lost.
    """

    __slots__ = (
        "target",
        "address",
        "epoch",
        "version",
        "shards",
        "anchor",
        "incarnation",
        "lifetime_ms",
        "tag",
        "timeout",
    )

    def __init__(
        self,
        target: str,
        address: str,
        epoch: int,
        version: int,
        shards: dict[str, int],
        anchor: int,
        incarnation: str,
        lifetime_ms: int,
        tag: int,
        timeout: float,
    ):
        self.target = target
        self.address = address
        self.epoch = epoch
        self.version = version
        self.shards = shards
        self.anchor = anchor
        self.incarnation = incarnation
        self.lifetime_ms = lifetime_ms
        self.tag = tag
        self.timeout = timeout


class Notice(Action):
    """Something that happened, for logs and for the parts that follow it."""

    __slots__ = ()


class ConfigurationAdopted(Notice):
    """A newer configuration is in force on this VM."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: Configuration):
        self.configuration = configuration


class AssignmentAdopted(Notice):
    """A newer assignment is in force on this VM."""

    __slots__ = ("revision",)

    def __init__(self, revision: int):
        self.revision = revision


class DocumentUnreadable(Notice):
    """A document of the store cannot be read; the one in force stays in force.

    Parameters
    ----------
    reason : str
        What is wrong and what to do.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str):
        self.reason = reason


class LeaseGained(Notice):
    """The VM holds a lease again."""

    __slots__ = ("until",)

    def __init__(self, until: float):
        self.until = until


class LeaseLost(Notice):
    """The lease of this VM lapsed: it sends no work until it holds one again."""

    __slots__ = ()


class ShardActivated(Notice):
    """The VM may send work for a shard.

    Parameters
    ----------
    shard, target : str
    fence : int
    records : list of ShardRecords or None
        What all earlier holders handed over; None when one of them did not, so that
        the shard begins with a floor in time.
    """

    __slots__ = ("shard", "target", "fence", "records")

    def __init__(
        self,
        shard: str,
        target: str,
        fence: int,
        records: list[ShardRecords] | None,
    ):
        self.shard = shard
        self.target = target
        self.fence = fence
        self.records = records


class ShardReleased(Notice):
    """The VM has let go of a shard: no work of it is in flight here."""

    __slots__ = ("shard", "target")

    def __init__(self, shard: str, target: str):
        self.shard = shard
        self.target = target


class TargetUp(Notice):
    """A led target accepts grants."""

    __slots__ = ("target", "incarnation", "cold")

    def __init__(self, target: str, incarnation: str, cold: bool):
        self.target = target
        self.incarnation = incarnation
        self.cold = cold


class TargetLost(Notice):
    """A led target accepts no grants any more.

    Parameters
    ----------
    target : str
    reason : str
        ``silent``, or why the target refused.
    """

    __slots__ = ("target", "reason")

    def __init__(self, target: str, reason: str):
        self.target = target
        self.reason = reason
