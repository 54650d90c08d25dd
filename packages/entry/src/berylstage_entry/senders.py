"""Connections to targets: one client for each life of a target's address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost
from berylstage_transfers.rest import Rest

if TYPE_CHECKING:
    from berylstage_entry.targets import Target
    from berylstage_entry.wire import CallerRequest, TargetAnswer, TargetWire

# Connections that one VM keeps to a target, at least. With two, 65 VMs could hold 130
# to targets that accept 95 and reset the rest, requests and all.
MIN_CONNECTIONS = 1
# Share of a target's connections that all VMs together use; the rest is for VMs that
# come and go before the others know, and for grants.
CONNECTION_SHARE = 0.7
# Seconds after which an idle connection is not used again: below the shortest idle
# time that a target has told (10 s), by the time that a connection may stand unnoticed.
MAX_IDLE_SECONDS = 7


class Sender:
    """Sends requests to one life of a target.

    Parameters
    ----------
    target : Target
    wire : TargetWire
    connections : int
        That this VM may hold there.
    rest : Rest
        Of the connections to all targets of its service.
    """

    __slots__ = ("_client", "_is_retired", "_in_flight", "_wire", "target")

    def __init__(self, target: Target, wire: TargetWire, connections: int, rest: Rest):
        self.target = target
        self._wire = wire
        self._client = CallClient(connections, max_idle=MAX_IDLE_SECONDS, rest=rest)
        self._in_flight = 0
        self._is_retired = False

    async def send(
        self, req: CallerRequest, seconds: float, fresh: bool = False
    ) -> TargetAnswer:
        """Send a request and return the whole answer.

        Parameters
        ----------
        req : CallerRequest
        seconds : float
            Until the answer must be there.
        fresh : bool
            Whether to open a new connection.

        Raises
        ------
        NeverSent, AnswerLost
        """
        headers = self._wire.request_headers(req, self.target, seconds)
        body = req.body if req.body or req.method not in ("GET", "HEAD") else None
        call = Call(
            req.method,
            f"http://{self.target.address}{req.path}",
            headers,
            body,
            seconds,
            echo=req.request_id,
            fresh=fresh,
            echo_name=self._wire.echo_header,
            unframed=True,
        )
        self._in_flight += 1
        try:
            answer = self._wire.answer(await self._client.call(call))
        finally:
            self._in_flight -= 1
            self._close_if_done()
        if not answer.genuine and not answer.not_run and not answer.misdirected:
            raise AnswerLost(
                f"{self.target.name}: an answer of status {answer.status} without a "
                "target's mark; look at the target's own logs"
            )
        return answer

    @property
    def is_busy(self) -> bool:
        """Whether a request is under way."""
        return self._in_flight > 0

    def retire(self) -> None:
        """Send nothing more, and close all connections when what was sent has ended.

        A target may take its record back, or come to life again, before its last
        answers are out. An order that was cut off then would have run with its outcome
        unknown.
        """
        self._is_retired = True
        self._client.refuse_waiting("the target is gone")
        self._close_if_done()

    def close(self) -> None:
        """Close all connections and fail what is under way."""
        self._client.close()

    def _close_if_done(self) -> None:
        if self._is_retired and not self._in_flight:
            # The client is still at work on the call that has ended.
            asyncio.get_running_loop().call_soon(self._client.close)


class Senders:
    """The senders of all targets.

    Parameters
    ----------
    wire : TargetWire
    """

    __slots__ = ("_rests", "_retired", "_senders", "_wire", "vms")

    def __init__(self, wire: TargetWire):
        self._wire = wire
        self._senders: dict[str, Sender] = {}
        self._rests: dict[str, Rest] = {}
        # Of targets that are gone, with requests still under way.
        self._retired: list[Sender] = []
        # VMs that share the connections of a target, as far as they are known.
        self.vms = 10

    def get(self, target: Target, connections: int) -> Sender:
        """Return the sender to a target.

        Parameters
        ----------
        target : Target
        connections : int
            That the target accepts from all VMs.
        """
        sender = self._senders.get(target.name)
        if sender is not None:
            known = sender.target
            if known.life == target.life and known.address == target.address:
                return sender
            self._retire(sender)
        rest = self._rests.setdefault(target.service, Rest())
        sender = Sender(target, self._wire, self.connection_share(connections), rest)
        self._senders[target.name] = sender
        return sender

    def connection_share(self, connections: int) -> int:
        """Return how many connections of a target this VM may hold.

        Parameters
        ----------
        connections : int
            That the target accepts from all VMs.
        """
        connection_share = int(connections * CONNECTION_SHARE / self.vms)
        return max(MIN_CONNECTIONS, connection_share)

    def retain(self, names: set[str]) -> None:
        """Send nothing more to any other target, and close what leads there."""
        for name in [name for name in self._senders if name not in names]:
            self._retire(self._senders.pop(name))

    def close(self) -> None:
        """Close all connections and fail what is under way."""
        for sender in [*self._senders.values(), *self._retired]:
            sender.close()
        self._senders.clear()
        self._retired.clear()

    def _retire(self, sender: Sender) -> None:
        self._retired = [old for old in self._retired if old.is_busy]
        sender.retire()
        if sender.is_busy:
            self._retired.append(sender)
