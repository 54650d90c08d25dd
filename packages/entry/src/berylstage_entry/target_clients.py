"""HTTP clients of the targets: one for each incarnation of a target."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from berylstage_transfers.answer_memory import AnswerMemory
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost, EndedBy
from berylstage_transfers.idle_limit import IdleLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_transfers.call import Answer
    from berylstage_transfers.send_queue import SendQueue

    from berylstage_entry.protocols import CallerRequest, TargetAnswer, TargetProtocol
    from berylstage_entry.targets import Target

# Minimum number of connections from one VM to a target. With two, 65 VMs could open 130
# connections to targets that accept 95 and reset the rest together with their requests.
MIN_CONNECTIONS = 1
# Share of a target's connections that all VMs use together. The rest is for grants, and
# for VMs that start or stop before the others know.
CONNECTION_SHARE = 0.7
# Idle time after which a connection is not used again: below the shortest idle timeout
# of a target (10 s) by the time for which a connection may stay idle unnoticed.
MAX_IDLE_SECONDS = 7


class Attempt:
    """A request that has been sent to a target and has no answer yet.

    Parameters
    ----------
    target : str
        Name of the target.
    sent_at : float
        Monotonic seconds.
    overdue_at : float
        Monotonic seconds after which the answer is later than expected.
    on_hang : callable
        Called once if the request hangs at a link that seems to be lost.
    """

    __slots__ = (
        "_call",
        "_client",
        "_received_bytes",
        "is_hanging",
        "on_hang",
        "overdue_at",
        "sent_at",
        "target",
        "unacknowledged_since",
    )

    def __init__(
        self,
        target: str,
        sent_at: float,
        overdue_at: float,
        on_hang: Callable[[Attempt], None],
    ):
        self.target = target
        self.sent_at = sent_at
        self.overdue_at = overdue_at
        self.on_hang = on_hang
        self.is_hanging = False
        # When bytes without an acknowledgement were seen first, in seconds for which
        # the process ran; infinite if there are none.
        self.unacknowledged_since = inf
        # Bytes of the answer's body when they were looked at last; -1 before its head.
        self._received_bytes = -1
        self._client: CallClient | None = None
        self._call: Call | None = None

    def start(self, client: CallClient, call: Call) -> None:
        """Set the call that makes the attempt."""
        self._client = client
        self._call = call

    def has_begun_answer(self) -> bool:
        """Tell whether a part of the answer has arrived."""
        return self._call is not None and bool(self._call.status)

    def take_progress(self) -> bool:
        """Tell whether bytes of the answer have arrived since the last look."""
        if self._call is None or not self._call.status:
            return False
        received = len(self._call.answer_body)
        has_progress = received > self._received_bytes
        self._received_bytes = received
        return has_progress

    def is_unacknowledged(self) -> bool:
        """Tell whether the target's machine has not acknowledged the request."""
        return (
            self._client is not None
            and self._call is not None
            and self._client.has_unacknowledged_bytes(self._call)
        )

    def find_send_queue(self) -> SendQueue | None:
        """Return the send queue of the attempt's connection; None if it has none."""
        if self._client is None or self._call is None:
            return None
        return self._client.find_send_queue(self._call)

    def abort(self, cause: str) -> None:
        """End the attempt without an answer."""
        if self._client is not None and self._call is not None:
            self._client.abort(self._call, cause)


class TargetClient:
    """Sends requests to one incarnation of a target.

    Parameters
    ----------
    target : Target
    protocol : TargetProtocol
    connections : int
        Maximum number of connections of this VM to the target.
    idle_limit : IdleLimit
        Learned idle limit of the connections to all targets of the service.
    answer_memory : AnswerMemory
        Shared by the clients of all targets.
    """

    __slots__ = (
        "_calls",
        "_client",
        "_is_retired",
        "_protocol",
        "target",
    )

    def __init__(
        self,
        target: Target,
        protocol: TargetProtocol,
        connections: int,
        idle_limit: IdleLimit,
        answer_memory: AnswerMemory,
    ):
        self.target = target
        self._protocol = protocol
        self._client = CallClient(
            connections,
            max_idle=MAX_IDLE_SECONDS,
            idle_limit=idle_limit,
            answer_memory=answer_memory,
        )
        self._calls: set[Call] = set()
        self._is_retired = False

    async def send(
        self,
        req: CallerRequest,
        seconds: float,
        fresh: bool = False,
        attempt: Attempt | None = None,
    ) -> TargetAnswer:
        """Send a request and return the complete answer.

        Parameters
        ----------
        req : CallerRequest
        seconds : float
            Seconds until the answer must have arrived.
        fresh : bool
            Whether to open a new connection.
        attempt : Attempt, optional
            Set to the call, so that it can be observed and aborted.

        Raises
        ------
        NeverSent, AnswerLost
        """
        headers = self._protocol.request_headers(req, self.target, seconds)
        has_body = req.body or req.method not in ("GET", "HEAD")
        call = Call(
            req.method,
            f"http://{self.target.address}{req.path}",
            headers,
            req.body if has_body else None,
            seconds,
            echo=req.request_id,
            fresh=fresh,
            echo_header=self._protocol.request_id_header,
            allow_unframed=True,
            unique_headers=self._protocol.unique_headers,
        )
        if attempt is not None:
            attempt.start(self._client, call)
        answer = self._protocol.parse_answer(await self._call(call))
        if not answer.is_from_target and not answer.not_run and not answer.misdirected:
            raise AnswerLost(
                f"{self.target.name} sent status {answer.status} without the headers "
                "of a target; check the target's log",
                EndedBy.CLIENT,
                "no headers of a target",
            )
        return answer

    async def _call(self, call: Call) -> Answer:
        self._calls.add(call)
        try:
            return await self._client.call(call)
        finally:
            self._calls.discard(call)
            self._close_if_done()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight."""
        return bool(self._calls)

    def retire(self) -> None:
        """Accept no further requests, and close the connections when all have ended.

        A target may remove its record, or restart, before it has sent its last answers.
        If an order's connection were cut then, its outcome would be unknown.
        """
        self._is_retired = True
        self._client.fail_queued_calls("the target is gone")
        self._close_if_done()

    def fail_queued(self, cause: str) -> None:
        """Fail the requests that wait for a connection."""
        self._client.fail_queued_calls(cause)

    def close(self) -> None:
        """Close all connections and fail the requests in flight."""
        self._client.close()

    def _close_if_done(self) -> None:
        if self._is_retired and not self._calls:
            # The client is still processing the call that has just ended.
            asyncio.get_running_loop().call_soon(self._client.close)


class TargetClients:
    """Clients of all targets.

    Parameters
    ----------
    protocol : TargetProtocol
    """

    __slots__ = (
        "_clients",
        "_idle_limits",
        "_protocol",
        "_retired",
        "answer_memory",
        "vm_count",
    )

    def __init__(self, protocol: TargetProtocol):
        self._protocol = protocol
        self._clients: dict[str, TargetClient] = {}
        self._idle_limits: dict[str, IdleLimit] = {}
        # Clients of removed targets with requests in flight.
        self._retired: list[TargetClient] = []
        self.answer_memory = AnswerMemory()
        # Number of VMs that share a target's connections.
        self.vm_count = 10

    def get(self, target: Target, connections: int) -> TargetClient:
        """Return the client of a target.

        Parameters
        ----------
        target : Target
        connections : int
            Number of connections that the target accepts from all VMs.
        """
        client = self._clients.get(target.name)
        if client is not None:
            known = client.target
            if (
                known.incarnation == target.incarnation
                and known.address == target.address
            ):
                return client
            self._retire(client)
        idle_limit = self._idle_limits.setdefault(target.service, IdleLimit())
        client = TargetClient(
            target,
            self._protocol,
            self.connection_share(connections),
            idle_limit,
            self.answer_memory,
        )
        self._clients[target.name] = client
        return client

    def connection_share(self, connections: int) -> int:
        """Return the maximum number of connections of this VM to a target.

        Parameters
        ----------
        connections : int
            Number of connections that the target accepts from all VMs.
        """
        connection_share = int(connections * CONNECTION_SHARE / self.vm_count)
        return max(MIN_CONNECTIONS, connection_share)

    def fail_queued(self, name: str, cause: str) -> None:
        """Fail the requests that wait for a connection to a target."""
        client = self._clients.get(name)
        if client is not None:
            client.fail_queued(cause)

    def retain(self, names: set[str]) -> None:
        """Retire the clients of all targets except the given ones."""
        for name in [name for name in self._clients if name not in names]:
            self._retire(self._clients.pop(name))

    def close(self) -> None:
        """Close all connections and fail the requests in flight."""
        for client in [*self._clients.values(), *self._retired]:
            client.close()
        self._clients.clear()
        self._retired.clear()

    def _retire(self, client: TargetClient) -> None:
        self._retired = [c for c in self._retired if c.is_busy]
        client.retire()
        if client.is_busy:
            self._retired.append(client)
