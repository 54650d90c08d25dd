"""All thresholds by name."""

from __future__ import annotations

from berylstage_policy.threshold import Threshold
from berylstage_policy.threshold_placement import PLACEMENT_THRESHOLDS
from berylstage_policy.threshold_queue import QUEUE_THRESHOLDS
from berylstage_policy.threshold_routing import ROUTING_THRESHOLDS

TABLE: dict[str, Threshold] = {
    row.name: row
    for row in [*PLACEMENT_THRESHOLDS, *QUEUE_THRESHOLDS, *ROUTING_THRESHOLDS]
}
