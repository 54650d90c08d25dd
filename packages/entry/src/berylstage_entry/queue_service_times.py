"""Service time estimates for the queues of a permit server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.completion import CROSSING_SECONDS_PER_BYTE, OTHER_DATA_CENTRE
from berylstage_policy.service_times import ServiceTimes

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.target_loads import TargetLoads


class QueueServiceTimes(ServiceTimes):
    """Service times of one service's targets, as known to this VM.

    Parameters
    ----------
    loads : TargetLoads
    cluster_view : ClusterView
    service : str
    """

    __slots__ = ("_cluster_view", "_loads", "_service")

    def __init__(self, loads: TargetLoads, cluster_view: ClusterView, service: str):
        self._loads = loads
        self._cluster_view = cluster_view
        self._service = service

    def seconds(self, target: str, kind: str) -> float:  # noqa: D102
        return self._loads.service_seconds(self._service, target, kind)

    def locality_penalty(  # noqa: D102
        self, target: str, origin: str, kind: str
    ) -> float:
        known = self._cluster_view.known.get(target)
        if known is None or known.target.data_centre == origin:
            return 0.0
        size = self._loads.answer_size(kind)
        return max(OTHER_DATA_CENTRE, CROSSING_SECONDS_PER_BYTE * size)

    def data_centre(self, target: str) -> str:
        """Return the data centre of a target; empty if the target is unknown."""
        known = self._cluster_view.known.get(target)
        return known.target.data_centre if known is not None else ""
