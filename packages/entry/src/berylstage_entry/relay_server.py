"""Sends requests to targets for VMs that do not reach these themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.link_health import Way
from berylstage_transfers.errors import AnswerLost, NeverSent
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.lost_answers import TargetEnded
from berylstage_entry.relay_messages import RelayOutcome, RelayReply, RelayRequest
from berylstage_entry.responses import BAD_REQUEST, OK, Response

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.metrics import Metrics
    from berylstage_entry.router import Router
    from berylstage_entry.services import Service
    from berylstage_entry.targets import Target

# Requests of other VMs that a VM of full capacity sends at once, and the least that a
# small VM does. More would delay its own callers.
MAX_IN_FLIGHT = 64
MIN_IN_FLIGHT = 24
LINES_PER_SECOND = 10.0

log = Logger(__name__)


class RelayServer:
    """Sends requests of other VMs to targets.

    A request is sent directly or not at all, so that two VMs that are cut off do not
    pass it to each other.

    Parameters
    ----------
    router : Router
        Keeps what this VM knows of the targets' loads and notices.
    cluster_view : ClusterView
    relative_capacity : float
        Share of a large VM's capacity that this VM has.
    metrics : Metrics

    Attributes
    ----------
    in_flight : int
        Requests of other VMs that are being sent.
    is_stopping : bool
        Whether no more requests are taken.
    """

    def __init__(
        self,
        router: Router,
        cluster_view: ClusterView,
        relative_capacity: float,
        metrics: Metrics,
    ):
        self._router = router
        self._cluster_view = cluster_view
        self._links = router.links
        self._metrics = metrics
        self._max_in_flight = max(MIN_IN_FLIGHT, int(MAX_IN_FLIGHT * relative_capacity))
        self._log_limiter = LogRateLimiter(LINES_PER_SECOND)
        self.in_flight = 0
        self.is_stopping = False

    async def handle(self, body: bytes) -> Response:
        """Send the request of a message, and return what became of it.

        Cancelling the task ends the request at the target, as its caller has left.
        """
        try:
            request = RelayRequest.decode(body)
        except InvalidRecord as exc:
            log.warning("ignoring invalid relayed request", extra={"cause": str(exc)})
            return Response(BAD_REQUEST)
        began = now()
        self.in_flight += 1
        try:
            reply = await self._send(request)
        finally:
            self.in_flight -= 1
        self._metrics.increment(f"relayed for others: {reply.outcome.value}")
        self._log(request, reply, now() - began)
        return Response(OK, body=reply.encode())

    async def _send(self, request: RelayRequest) -> RelayReply:
        if self.is_stopping or self.in_flight > self._max_in_flight:
            return RelayReply(RelayOutcome.BUSY)
        target, service = self._find_usable(request)
        if target is None or service is None:
            return RelayReply(RelayOutcome.TARGET_UNUSABLE)
        if self._links.choose_way(target.name) is not Way.DIRECT:
            return RelayReply(self._explain_failure(target), "link lost before")
        try:
            answer = await self._router.send_for_other(request, target, service)
        except NeverSent as exc:
            return RelayReply(self._explain_failure(target), str(exc))
        except TargetEnded as exc:
            return RelayReply(RelayOutcome.TARGET_ENDED, str(exc))
        except AnswerLost as exc:
            return RelayReply(RelayOutcome.LOST, str(exc))
        return RelayReply(RelayOutcome.ANSWERED, answer=answer)

    def _explain_failure(self, target: Target) -> RelayOutcome:
        """Return why this VM does not reach a target."""
        if self._links.is_cut_off:
            return RelayOutcome.CUT_OFF
        if self._links.health.is_reached_by_others(target.name):
            return RelayOutcome.NO_LINK
        return RelayOutcome.TARGET_DOWN

    def _find_usable(
        self, request: RelayRequest
    ) -> tuple[Target | None, Service | None]:
        """Return the target of a request and its service, if this VM may send to it."""
        known = self._cluster_view.known.get(request.target)
        cfg = self._cluster_view.configuration
        if known is None or cfg is None:
            return None, None
        target = known.target
        if (
            target.incarnation != request.incarnation
            or not self._cluster_view.is_usable(target.name)
            or self._router.target_notices.blocked_seconds(target.name)
        ):
            return None, None
        return target, cfg.services.get(target.service)

    def _log(self, request: RelayRequest, reply: RelayReply, seconds: float) -> None:
        if not self._log_limiter.take():
            return
        log.info(
            "request relayed",
            extra={
                "id": request.req.request_id,
                "for": request.vm,
                "target": request.target,
                "outcome": reply.outcome.value,
                "cause": reply.cause,
                "seconds": round(seconds, 4),
                "left_out": self._log_limiter.take_suppressed_count(),
            },
        )
