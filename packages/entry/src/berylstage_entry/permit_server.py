"""Keeps the queues that fall to this VM, for the requests of all VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_policy.slot_queue import (
    Place,
    RequestId,
    Say,
    SlotQueue,
    TargetReport,
)
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.permit_messages import (
    PermitRelease,
    PermitReply,
    PermitRequest,
    checksum,
)
from berylstage_entry.queue_service_times import QueueServiceTimes
from berylstage_entry.request_log import LogRateLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_policy.slot_queue import Verdict

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.membership import Membership
    from berylstage_entry.services import Service
    from berylstage_entry.target_loads import TargetLoads

# Seconds between two looks for what has become due in queues where requests wait: a
# place or permit may expire, and nobody says so.
TICK = 0.02

# Lines a second about turns that were refused: together with those about requests they
# stay below a hundredth of a core.
REFUSAL_LINES = 10.0

log = Logger(__name__)


class PermitServer:
    """Answers what VMs ask of the queues that this VM keeps.

    Parameters
    ----------
    loads : TargetLoads
        Knows how long targets take.
    directory : Directory
    membership : Membership
    """

    def __init__(
        self, loads: TargetLoads, directory: ClusterView, membership: Membership
    ):
        self._loads = loads
        self._directory = directory
        self._membership = membership
        self._queues: dict[str, SlotQueue] = {}
        # When the targets of each queue were looked up last.
        self._looked_up: dict[str, float] = {}
        self._members_revision = -1
        # Data centre of each VM, by its host.
        self._centres: dict[str, str] = {}
        self._revision = -1
        # Names by their checksums: queues, targets and kinds of request.
        self._names: dict[int, str] = {}
        self._task: asyncio.Task | None = None
        self._lines = LogRateLimiter(REFUSAL_LINES)
        # Set while requests wait in some queue.
        self._has_waiting = asyncio.Event()
        # Sends a reply to a VM, which may be this one.
        self.send: Callable[[str, PermitReply], None] = lambda host, reply: None

    def start(self) -> None:
        """Begin to look for what becomes due."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Keep no queue any more, and send away who waits in one.

        Left without a word they would ask on, and some have no time for that.
        """
        if self._task is not None:
            self._task.cancel()
        for queue in self._queues.values():
            self._say(queue.send_away())

    def take_ask(self, data: bytes, host: str) -> None:
        """Take in a VM's datagram that asks for a turn."""
        try:
            self.asked(PermitRequest.decode(data), host)
        except InvalidRecord as exc:
            log.warning("question passed over", extra={"cause": str(exc)})

    def take_return(self, data: bytes, host: str) -> None:
        """Take in a VM's datagram that gives a turn back."""
        try:
            self.returned(PermitRelease.decode(data), host)
        except InvalidRecord as exc:
            log.warning("return passed over", extra={"cause": str(exc)})

    def asked(self, ask: PermitRequest, host: str) -> None:
        """Answer a request that asks for its turn."""
        queue = self._queue(ask.queue)
        if queue is None:
            # A target that this VM has not heard of yet. Who asks does without a turn.
            return
        moment = now()
        place = Place(
            RequestId(host, ask.number),
            self._names.get(ask.kind, ""),
            self._centre(host),
            ask.priority,
            moment + ask.wanted,
            ask.objective,
            moment + ask.left,
            moment,
        )
        verdicts = queue.ask(place, moment)
        self._say(verdicts)
        self._note_refusals(verdicts, queue, ask.queue)
        if len(queue):
            self._has_waiting.set()

    def returned(self, back: PermitRelease, host: str) -> None:
        """Take back the turn of a request."""
        queue = self._queue(back.queue)
        if queue is None:
            return
        moment = now()
        name = self._names.get(back.target, "")
        report = None
        if name:
            self._loads.told_how(name, back.failed)
        if name and back.load is not None:
            busy = back.load.running
            self._loads.told_of(name, busy, back.load.pace, moment)
            report = TargetReport(name, busy)
        self._say(queue.returned(RequestId(host, back.number), moment, report))

    def _queue(self, number: int) -> SlotQueue | None:
        if self._revision != self._directory.revision:
            self._learn()
        name = self._names.get(number)
        service = self._service_of(name) if name is not None else None
        if name is None or service is None:
            return None
        queue = self._queues.get(name)
        if queue is None:
            times = QueueServiceTimes(self._loads, self._directory, service.name)
            queue = self._queues[name] = SlotQueue(times)
        if now() - self._looked_up.get(name, float("-inf")) >= TICK:
            self._looked_up[name] = now()
            queue.know(self._targets(name, service))
        return queue

    def _service_of(self, name: str) -> Service | None:
        """Return the service of a queue; None when nothing is known of it."""
        cfg = self._directory.configuration
        if cfg is None:
            return None
        known = self._directory.known.get(name)
        return cfg.services.get(known.target.service if known else name)

    def _targets(self, name: str, service: Service) -> dict[str, int]:
        """Return the slots of the targets of a queue."""
        known = self._directory.known
        if name in known:
            return {name: known[name].target.slots}
        # Each VM sends a part of what a cold target bears, without turns.
        warm = [
            n
            for n in self._directory.usable(service.name)
            if known[n].cold_until <= now()
        ]
        sound = self._loads.sound(service.name, warm) or warm
        return {n: known[n].target.slots for n in sound}

    def _learn(self) -> None:
        """Take over which queues, targets and kinds of request there are."""
        self._revision = self._directory.revision
        known = self._directory.known
        cfg = self._directory.configuration
        names = list(known)
        if cfg is not None:
            names += [*cfg.services, *(route.name for route in cfg.routes)]
        self._names = {checksum(name): name for name in names}
        for name in [name for name in self._queues if name not in names]:
            del self._queues[name]
        self._looked_up.clear()

    def _centre(self, host: str) -> str:
        if self._members_revision != self._membership.revision:
            self._members_revision = self._membership.revision
            self._centres = {
                member.host: member.data_centre for member in self._membership.members()
            }
        return self._centres.get(host, "")

    def _say(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            host, number = verdict.ident
            target = checksum(verdict.target) if verdict.say is Say.GO else 0
            reply = PermitReply(number, verdict.say.value, verdict.seconds, target)
            self.send(host, reply)

    def _note_refusals(
        self, verdicts: list[Verdict], queue: SlotQueue, number: int
    ) -> None:
        for verdict in verdicts:
            if verdict.say is Say.REFUSED and self._lines.take():
                log.info(
                    "turn refused",
                    extra={
                        "queue": self._names[number],
                        "host": verdict.ident.host,
                        "number": verdict.ident.number,
                        "back_in": round(verdict.seconds, 3),
                        "waiting": len(queue),
                        "targets": queue.describe(now()),
                        "left_out": self._lines.take_left_out(),
                    },
                )

    async def _run(self) -> None:
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(TICK)
            moment = now()
            waiting = [queue for queue in self._queues.values() if len(queue)]
            for queue in waiting:
                self._say(queue.due(moment))
            if not waiting:
                self._has_waiting.clear()
