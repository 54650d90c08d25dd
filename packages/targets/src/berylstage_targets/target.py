"""Interface to a target: work, grants, cancellation and load reports."""

from __future__ import annotations

from abc import ABC, abstractmethod


class WorkRequest:
    """A request that is sent to a target.

    Parameters
    ----------
    request_id : str
        Unique per attempt; the target echoes it.
    service, kind, key : str
    shard : str
        Name such as ``field-log/17``; empty if the service does not own keys.
    fence : int
        Fence token of the shard; 0 if the service does not own keys.
    epoch : int
        Epoch of the VM that leads the target.
    method : str
        HTTP method of the caller.
    body : bytes
    content_type : str
    deadline : float
        Wall-clock deadline in Unix seconds, sent to the target.
    timeout : float
        Seconds until the client stops waiting.
    fresh_connection : bool
        Whether to open a new connection, so that the request cannot be lost on one
        that no longer works.
    idempotency_key : str
        Key that identifies the work across attempts; empty if the caller sent none.
    """

    __slots__ = (
        "request_id",
        "service",
        "kind",
        "key",
        "shard",
        "fence",
        "epoch",
        "method",
        "body",
        "content_type",
        "deadline",
        "timeout",
        "fresh_connection",
        "idempotency_key",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        kind: str,
        key: str,
        shard: str,
        fence: int,
        epoch: int,
        method: str,
        body: bytes,
        content_type: str,
        deadline: float,
        timeout: float,
        fresh_connection: bool = False,
        idempotency_key: str = "",
    ):
        self.request_id = request_id
        self.service = service
        self.kind = kind
        self.key = key
        self.shard = shard
        self.fence = fence
        self.epoch = epoch
        self.method = method
        self.body = body
        self.content_type = content_type
        self.deadline = deadline
        self.timeout = timeout
        self.fresh_connection = fresh_connection
        self.idempotency_key = idempotency_key


class WorkAnswer:
    """The complete answer of a target to a request.

    Parameters
    ----------
    status : int
        HTTP status of the target's answer, forwarded to the caller.
    body : bytes
    content_type : str
    incarnation : str
        Identifies one run of the target's process; it changes with a restart.
    """

    __slots__ = ("status", "body", "content_type", "incarnation")

    def __init__(self, status: int, body: bytes, content_type: str, incarnation: str):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.incarnation = incarnation


class GrantRequest:
    """The shards for which a target is to accept work from its leader.

    Parameters
    ----------
    vm : str
        Name of the VM that leads the target.
    epoch : int
        Epoch of the leader; a target that checks fences rejects a lower one.
    version : int
        Increases with each change of the shards in an epoch.
    shards : dict of str to int
        Fence token by shard name, ``service/number``. Shards that are missing here
        are revoked.
    anchor : int
        Reading of the target's clock in milliseconds, from an earlier answer. 0 if none
        is known; the request then grants nothing and only reads the clock.
    incarnation : str
        Incarnation of the target that returned the anchor.
    lifetime_ms : int
        Milliseconds. The grant expires at ``anchor + lifetime_ms`` by the target's
        clock, so a delayed request cannot extend it.
    """

    __slots__ = (
        "vm",
        "epoch",
        "version",
        "shards",
        "anchor",
        "incarnation",
        "lifetime_ms",
    )

    def __init__(
        self,
        vm: str,
        epoch: int,
        version: int,
        shards: dict[str, int],
        anchor: int,
        incarnation: str,
        lifetime_ms: int,
    ):
        self.vm = vm
        self.epoch = epoch
        self.version = version
        self.shards = shards
        self.anchor = anchor
        self.incarnation = incarnation
        self.lifetime_ms = lifetime_ms


class GrantAnswer:
    """The answer of a target to a grant request.

    Parameters
    ----------
    accepted : bool
    reason : str
        Reason of a rejection: ``epoch``, ``anchor``, ``draining`` or ``unwilling``.
    clock : int
        Reading of the target's clock in milliseconds at the time of the answer.
    incarnation : str
        Incarnation of the target.
    cold : bool
        Whether the target reports that it is in cold start.
    """

    __slots__ = ("accepted", "reason", "clock", "incarnation", "cold")

    def __init__(
        self,
        accepted: bool,
        reason: str,
        clock: int,
        incarnation: str,
        cold: bool,
    ):
        self.accepted = accepted
        self.reason = reason
        self.clock = clock
        self.incarnation = incarnation
        self.cold = cold


class LoadReport:
    """The load that a target reports, which lags and may be wrong.

    Parameters
    ----------
    running : int
        Number of running requests.
    cold : bool
    draining : bool
    age_ms : int
        Age of the report in milliseconds, as stated by the target.
    """

    __slots__ = ("running", "cold", "draining", "age_ms")

    def __init__(self, running: int, cold: bool, draining: bool, age_ms: int):
        self.running = running
        self.cold = cold
        self.draining = draining
        self.age_ms = age_ms


class TargetClient(ABC):
    """Client of a target."""

    @abstractmethod
    async def send(self, req: WorkRequest) -> WorkAnswer:
        """Send a request and return its complete answer.

        A cancelled call closes its connection immediately. After that, and after
        OutcomeUnknown, the target may continue the request until it has confirmed
        :meth:`cancel` or the deadline has passed.

        Raises
        ------
        NotRun
            The request was never sent, or the target rejected it.
        OutcomeUnknown
            It was sent, and no complete answer with its request id arrived.
        """

    @abstractmethod
    async def grant(self, order: GrantRequest, timeout: float) -> GrantAnswer:
        """Give, renew or revoke grants.

        Raises
        ------
        TargetError
            No answer arrived within ``timeout`` seconds.
        """

    @abstractmethod
    async def cancel(self, request_id: str) -> bool:
        """Ask the target to drop a request whose caller no longer waits.

        Returns
        -------
        bool
            Whether the target confirmed that the request no longer runs.
        """

    @abstractmethod
    async def report(self, timeout: float) -> LoadReport:
        """Return the target's load report."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
