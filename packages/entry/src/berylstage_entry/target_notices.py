"""What targets say of themselves in their answers, and who acts on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.target_departures import TargetDepartures
from berylstage_entry.target_limits import TargetLimits
from berylstage_entry.target_rests import TargetRests

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import TargetAnswer
    from berylstage_entry.targets import Target, TargetNotice

# Log lines per second about rests.
NOTICE_LINES_PER_SECOND = 5.0

log = Logger(__name__)


class TargetNotices:
    """Records what the targets' answers say of them.

    Parameters
    ----------
    cluster_view : ClusterView

    Attributes
    ----------
    limits : TargetLimits
    rests : TargetRests
    departures : TargetDepartures
    """

    def __init__(self, cluster_view: ClusterView):
        self.limits = TargetLimits(cluster_view)
        self.rests = TargetRests(cluster_view)
        self.departures = TargetDepartures(cluster_view)
        self._log_limiter = LogRateLimiter(NOTICE_LINES_PER_SECOND)

    def prune(self) -> None:
        """Drop what is said of targets that are gone for long, or have started again.

        A record may lapse and return while its target lives, and what the target has
        said holds on.
        """
        self.limits.prune()
        self.rests.prune()

    def set_vm_count(self, vms: int) -> None:
        """Set the number of known VMs, this one included."""
        self.limits.vm_count = vms
        self.rests.vm_count = vms

    def blocked_seconds(self, name: str) -> float:
        """Return the seconds for which this VM should send nothing to a target.

        Parameters
        ----------
        name : str
            Name of the target.
        """
        return max(self.limits.blocked_seconds(name), self.rests.seconds_left(name))

    def record_answer(
        self, target: Target, answer: TargetAnswer, sent_at: float
    ) -> None:
        """Record what an answer says of its target.

        Parameters
        ----------
        target : Target
        answer : TargetAnswer
        sent_at : float
            Monotonic seconds at which the answered request was sent.
        """
        if answer.misdirected:
            # Another target may have answered.
            return
        notice = answer.notice
        self.limits.record_notice(target, notice, sent_at)
        if notice.rest_seconds:
            self.rests.record(target, notice.rest_seconds)
        if notice.rest_seconds and self._log_limiter.take():
            log.info(
                "target asks for rest",
                extra={
                    "target": target.name,
                    "seconds": notice.rest_seconds,
                    "left_out": self._log_limiter.take_suppressed_count(),
                },
            )
        if notice.is_leaving:
            self.departures.record(target)

    def record_control_answer(self, target: Target, notice: TargetNotice) -> None:
        """Record what the answer to a grant, release or probe says of its target.

        It counts only for what it says: a target need not name its limit there.

        Parameters
        ----------
        target : Target
        notice : TargetNotice
        """
        if notice.limit is not None:
            self.limits.record_notice(target, notice, now())
        if notice.is_leaving:
            self.departures.record(target)
