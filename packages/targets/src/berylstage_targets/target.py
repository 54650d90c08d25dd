"""The interface to a target: work, grants, cancellation and load reports."""

from __future__ import annotations

from abc import ABC, abstractmethod


class WorkRequest:
    """One request as it goes to a target.

    Parameters
    ----------
    request_id : str
        Unique per attempt; the target echoes it.
    service, kind, key : str
    shard : str
        Name such as ``field-log/17``; empty where keys are not owned.
    fence : int
        Fence token of the shard; 0 where keys are not owned.
    epoch : int
        Epoch of the VM that leads the target.
    method : str
        HTTP method of the caller.
    body : bytes
    content_type : str
    deadline : float
        Wall-clock deadline, in seconds since 1970, told to the target.
    timeout : float
        Seconds that the client waits at most.
    fresh_connection : bool
        Whether to open a new connection, so that no silent one can swallow it.
    idempotency_key : str
        Key that names the work over all attempts; empty when the caller sent none.
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
    """The whole answer of a target to one request.

    Parameters
    ----------
    status : int
        HTTP status of the target's own answer, passed on to the caller.
    body : bytes
    content_type : str
    incarnation : str
        Names one run of the target's process; a change means a restart.
    """

    __slots__ = ("status", "body", "content_type", "incarnation")

    def __init__(self, status: int, body: bytes, content_type: str, incarnation: str):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.incarnation = incarnation


class GrantOrder:
    """What a leading VM orders a target to accept work for.

    Parameters
    ----------
    vm : str
        Name of the leading VM.
    epoch : int
        Epoch of its lead; a target that checks fences refuses a lower one.
    version : int
        Grows with each change of the shards under one epoch.
    shards : dict of str to int
        Fence token by shard, named ``service/number``. Shards that are not named
        are revoked.
    anchor : int
        Reading of the target's own clock, in milliseconds, from an earlier answer;
        0 when none is known, which grants nothing and only asks for a reading.
    incarnation : str
        Run of the target that gave the anchor.
    lifetime_ms : int
        The grant ends at ``anchor + lifetime_ms`` by the target's clock, so a
        delayed order cannot extend it.
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
    """What a target says to a grant order.

    Parameters
    ----------
    accepted : bool
    reason : str
        Why it was refused: ``epoch``, ``anchor``, ``draining``, ``unwilling``.
    clock : int
        Reading of the target's clock, in milliseconds, while it answered.
    incarnation : str
        Run of the target's process.
    cold : bool
        Whether the target says that it is in cold start.
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
    """What a target reports of its load, which lags and may mislead.

    Parameters
    ----------
    running : int
        Requests in work.
    cold : bool
    draining : bool
    age_ms : int
        How old the target says the report is.
    """

    __slots__ = ("running", "cold", "draining", "age_ms")

    def __init__(self, running: int, cold: bool, draining: bool, age_ms: int):
        self.running = running
        self.cold = cold
        self.draining = draining
        self.age_ms = age_ms


class TargetClient(ABC):
    """Connection to one target."""

    @abstractmethod
    async def send(self, req: WorkRequest) -> WorkAnswer:
        """Send work and return the whole answer to this very request.

        A cancelled call closes its connection at once. After that, and after
        OutcomeUnknown, the target may still work on the request until it has answered
        :meth:`cancel` or the deadline has passed.

        Raises
        ------
        NotRun
            The request was never sent, or the target refused it.
        OutcomeUnknown
            It was sent, and no whole answer with the right request id came.
        """

    @abstractmethod
    async def grant(self, order: GrantOrder, timeout: float) -> GrantAnswer:
        """Give, renew or revoke grants.

        Raises
        ------
        TargetError
            No answer came within ``timeout`` seconds.
        """

    @abstractmethod
    async def cancel(self, request_id: str) -> bool:
        """Ask the target to drop a request that nobody waits for any more.

        Returns
        -------
        bool
            Whether the target confirmed that it works on it no more.
        """

    @abstractmethod
    async def report(self, timeout: float) -> LoadReport:
        """Return the target's load report."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
