"""Targets that say in their answers that they are leaving.

The store says so too, but a VM may be out of touch with it, or a target may be removed
from it without having reported anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.notice_messages import DepartureNotice
from berylstage_entry.permit_messages import checksum

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.targets import Target

log = Logger(__name__)


class TargetDepartures:
    """Records leaving targets in the cluster view, and tells the other VMs of them.

    Parameters
    ----------
    cluster_view : ClusterView
    """

    def __init__(self, cluster_view: ClusterView):
        self._cluster_view = cluster_view
        # Sends a datagram to all other VMs.
        self.send: Callable[[bytes], None] = lambda data: None

    def record(self, target: Target) -> None:
        """Record that a target says that it is leaving."""
        if self._mark(target, "answer"):
            notice = DepartureNotice(checksum(target.name), target.incarnation)
            self.send(notice.encode())

    def receive_notice(self, data: bytes, host: str) -> None:
        """Take what another VM tells of a leaving target."""
        try:
            notice = DepartureNotice.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid departure notice ignored", extra={"cause": str(exc)})
            return
        target = self._cluster_view.find_target(notice.target, notice.incarnation)
        if target is not None:
            self._mark(target, host)

    def _mark(self, target: Target, source: str) -> bool:
        """Record a leaving target, and return whether it is news."""
        is_news = self._cluster_view.mark_leaving(target)
        if is_news:
            log.info(
                "target says that it is leaving",
                extra={"target": target.name, "source": source},
            )
        return is_news
