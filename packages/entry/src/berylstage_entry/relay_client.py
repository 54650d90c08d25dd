"""Has another VM send a request to a target that this VM does not reach itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.relay_choice import RelayCandidate, choose_relay
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import (
    AnswerLost,
    ConnectionRefused,
    NeverSent,
    NotConnected,
)

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.lost_answers import TargetEnded
from berylstage_entry.relay_messages import MAX_BODY_BYTES, RelayOutcome, RelayReply

if TYPE_CHECKING:
    from random import Random

    from berylstage_entry.membership import Member, Membership
    from berylstage_entry.relay_messages import RelayRequest
    from berylstage_entry.settings import EntrySettings

# Path at which a VM takes requests for targets.
RELAY_PATH = "/relay"
# Connections to one other VM.
CONNECTIONS_PER_VM = 16
# VMs that are asked for one request, one after the other.
MAX_VMS_ASKED = 8
# Seconds for which a VM is not asked again after it did not answer or is cut off
# itself, and after it had no room.
AVOID_SECONDS = 3.0
BUSY_SECONDS = 0.1
# Seconds without a reply after which a VM may be suspended, and the requests in flight
# for which that counts when VMs are compared.
OVERDUE_SECONDS = 1.0
OVERDUE_PENALTY = 10
# Other VMs that do not answer to connections, one after the other, after which this VM
# takes itself for isolated, and the seconds for which it then refuses requests at once.
ISOLATION_FAILURES = 2
ISOLATED_SECONDS = 1.0
# Seconds for which a VM that has sent a request is known to reach targets.
PROVEN_SECONDS = 5.0
# Seconds of a request's time reserved for the way to the other VM and back.
HOP_SECONDS = 0.01
STATUS_OK = 200


class NoRelay(NeverSent):
    """No other VM can send the request; it has not run."""


class TargetDown(NeverSent):
    """Another VM cannot reach the target either; the request has not run."""


class RelayTransport:
    """Carries messages to other VMs over HTTP."""

    def __init__(self) -> None:
        self._clients: dict[str, CallClient] = {}

    async def post(self, address: str, body: bytes, seconds: float) -> bytes:
        """Send a message and return the reply.

        Raises
        ------
        NeverSent, AnswerLost
        """
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = CallClient(CONNECTIONS_PER_VM)
        url = f"http://{address}{RELAY_PATH}"
        answer = await client.call(Call("POST", url, {}, body, seconds))
        if answer.status != STATUS_OK:
            raise AnswerLost(f"{address} replied to a message with {answer.status}")
        return answer.body

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()


class RelayClient:
    """Asks other VMs to send requests to targets.

    Parameters
    ----------
    membership : Membership
    cfg : EntrySettings
    rng : Random
    transport : RelayTransport
    """

    def __init__(
        self,
        membership: Membership,
        cfg: EntrySettings,
        rng: Random,
        transport: RelayTransport,
    ):
        self._membership = membership
        self._cfg = cfg
        self._rng = rng
        self._transport = transport
        # When each VM was asked to send the requests that it has not replied to, by its
        # address.
        self._asked_at: dict[str, list[float]] = {}
        self._avoided_until: dict[str, float] = {}
        self._proven_until: dict[str, float] = {}
        # VMs that have not answered to a connection since the last reply of any VM.
        self._silent_count = 0
        self._isolated_until = float("-inf")

    async def send(
        self, request: RelayRequest, seconds: float
    ) -> tuple[RelayReply, str]:
        """Have a request sent, and return the reply and the VM that gave it.

        Parameters
        ----------
        request : RelayRequest
        seconds : float
            Seconds until the answer must have arrived.

        Raises
        ------
        TargetDown, NoRelay
            The request has not run.
        AnswerLost
            The request may have run.
        """
        if len(request.req.body) > MAX_BODY_BYTES:
            raise NoRelay("the body is too large to be relayed")
        deadline = now() + seconds
        cause = "there is no other VM"
        asked: set[str] = set()
        for _ in range(MAX_VMS_ASKED):
            if now() < self._isolated_until:
                cause = "no other VM answers to connections"
                break
            left = deadline - now() - HOP_SECONDS
            member = self._choose(asked)
            if member is None or left <= 0:
                break
            asked.add(member.control_address)
            try:
                reply = await self._ask(member, request, left)
            except NeverSent as exc:
                self._avoid(member)
                if isinstance(exc, NotConnected):
                    self._count_silent(exc)
                cause = str(exc)
                continue
            except AnswerLost:
                self._avoid(member)
                raise
            self._silent_count = 0
            cause = f"{member.name}: {reply.outcome.value} {reply.cause}"
            if reply.outcome is RelayOutcome.ANSWERED:
                self._proven_until[member.control_address] = now() + PROVEN_SECONDS
                return reply, member.name
            if reply.outcome is RelayOutcome.LOST:
                raise AnswerLost(cause)
            if reply.outcome is RelayOutcome.TARGET_ENDED:
                raise TargetEnded(cause)
            if reply.outcome is RelayOutcome.TARGET_DOWN:
                raise TargetDown(cause)
            if reply.outcome is RelayOutcome.CUT_OFF:
                self._avoid(member)
            elif reply.outcome is RelayOutcome.BUSY:
                self._avoid(member, BUSY_SECONDS)
        raise NoRelay(f"no other VM can send the request; last: {cause}")

    async def _ask(
        self, member: Member, request: RelayRequest, seconds: float
    ) -> RelayReply:
        body = request.encode(seconds)
        address = member.control_address
        asked_at, moment = self._asked_at.setdefault(address, []), now()
        asked_at.append(moment)
        try:
            reply = await self._transport.post(address, body, seconds + HOP_SECONDS)
        finally:
            asked_at.remove(moment)
        try:
            return RelayReply.decode(reply)
        except InvalidRecord as exc:
            raise AnswerLost(f"{member.name} sent an unusable reply: {exc}") from exc

    def _count_silent(self, exc: NotConnected) -> None:
        """Note that a VM does not answer; several mean that this one is isolated.

        Each takes a quarter of a second to find out, and a request that asked one VM
        after the other would be held until its time is over.
        """
        if isinstance(exc, ConnectionRefused):
            return
        self._silent_count += 1
        if self._silent_count >= ISOLATION_FAILURES:
            self._silent_count = 0
            self._isolated_until = now() + ISOLATED_SECONDS

    def _choose(self, asked: set[str]) -> Member | None:
        """Return the VM to be asked next, or None if there is none.

        Parameters
        ----------
        asked : set of str
            Addresses of the VMs that have been asked for the same request.
        """
        moment = now()
        candidates = {}
        for member in self._membership.members():
            address = member.control_address
            if address == self._cfg.control_address or address in asked:
                continue
            if not self._cfg.is_in_own_region(member.data_centre):
                continue
            if moment < self._avoided_until.get(address, 0.0):
                continue
            asked_at = self._asked_at.get(address, [])
            is_overdue = bool(asked_at) and moment - asked_at[0] > OVERDUE_SECONDS
            candidates[address] = RelayCandidate(
                address,
                member.relative_capacity,
                len(asked_at) + OVERDUE_PENALTY * is_overdue,
                member.data_centre == self._cfg.data_centre,
                not is_overdue and moment < self._proven_until.get(address, 0.0),
            )
        address = choose_relay(list(candidates.values()), self._rng)
        members = self._membership.members()
        return next((m for m in members if m.control_address == address), None)

    def _avoid(self, member: Member, seconds: float = AVOID_SECONDS) -> None:
        self._avoided_until[member.control_address] = now() + seconds
        if seconds >= AVOID_SECONDS:
            self._proven_until.pop(member.control_address, None)
