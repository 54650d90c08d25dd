"""Slots of one target: permits that use them, and load from outside the queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from berylstage_policy.slot_requests import RequestId
    from berylstage_policy.slot_shares import KindKey

# After this time a request with a permit has either reached its target or completed.
PERMIT_ARRIVAL_SECONDS = 0.03
# The same for a request with a large body, which a target counts once it has arrived:
# 360 kB take 0.58 s on a link of 5 Mbit/s. With the time above, its permit was taken
# back during the transfer, and a third body went to a target with two slots.
LARGE_BODY_ARRIVAL_SECONDS = 1.0
# How long a target's report of requests from outside this queue remains valid.
FOREIGN_REPORT_TTL_SECONDS = 0.3
# Estimate of the remaining time of an overdue request: this share of its expected
# duration, or this multiple of the time by which it is overdue, if that is longer.
OVERDUE_SHARE = 0.2
OVERDUE_GROWTH = 1.0
# Maximum number of targets that a log line describes.
MAX_DESCRIBED_TARGETS = 4


class TargetReport:
    """Load that a target reported with an answer.

    Parameters
    ----------
    target : str
    active : int
        Requests running or queued at the target, without the answered one.
    """

    __slots__ = ("active", "target")

    def __init__(self, target: str, active: int):
        self.target = target
        self.active = active


class Permit:
    """Permission for one request to use a slot of a target."""

    __slots__ = (
        "arrival_seconds",
        "deadline",
        "expected_done",
        "granted_at",
        "key",
        "target",
    )

    def __init__(
        self,
        target: str,
        key: KindKey,
        granted_at: float,
        expected_done: float,
        deadline: float,
        arrival_seconds: float = PERMIT_ARRIVAL_SECONDS,
    ):
        self.target = target
        self.key = key
        self.granted_at = granted_at
        self.expected_done = expected_done
        self.deadline = deadline
        # Time after which its request has reached the target.
        self.arrival_seconds = arrival_seconds

    def expected_end(self, now: float) -> float:
        """Return the time when the request is expected to complete.

        The estimate for an overdue request grows with the time by which it is overdue.
        A target that has stopped responding completes nothing, and requests queued for
        its slots would otherwise wait until their deadlines.
        """
        least = OVERDUE_SHARE * (self.expected_done - self.granted_at)
        return max(
            self.expected_done,
            now + max(least, OVERDUE_GROWTH * (now - self.expected_done)),
        )


class TargetSlots:
    """Slots of one target."""

    __slots__ = (
        "foreign",
        "foreign_reported_at",
        "last_granted_at",
        "permits",
        "slots",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.permits: dict[RequestId, Permit] = {}
        # Requests at the target, by its last report, that this queue did not send.
        self.foreign = 0
        self.foreign_reported_at = float("-inf")
        self.last_granted_at = float("-inf")

    def free(self, now: float) -> int:
        """Return the number of free slots."""
        foreign = (
            self.foreign
            if now - self.foreign_reported_at < FOREIGN_REPORT_TTL_SECONDS
            else 0
        )
        return self.slots - len(self.permits) - foreign

    def apply_report(self, active: int, now: float) -> None:
        """Correct the permits by the load that the target reported.

        A lost release message would block a slot until the request's deadline. The
        target's report corrects this: of the permits whose requests must have arrived
        there, no more can be active than the target reports.

        Parameters
        ----------
        active : int
            Requests running or queued at the target.
        now : float
        """
        arrived = [
            request_id
            for request_id, permit in self.permits.items()
            if now - permit.granted_at >= permit.arrival_seconds
        ]
        for request_id in arrived[: max(0, len(arrived) - active)]:
            del self.permits[request_id]
        self.foreign = max(0, active - len(self.permits))
        self.foreign_reported_at = now

    def remove_expired(self, now: float) -> None:
        """Remove the permits of requests whose deadlines have passed."""
        expired = [i for i, permit in self.permits.items() if now > permit.deadline]
        for request_id in expired:
            del self.permits[request_id]


def describe_slots(targets: Mapping[str, TargetSlots], now: float) -> str:
    """Return the usage of the targets' slots, for the log.

    Parameters
    ----------
    targets : mapping of str to TargetSlots
    now : float
    """
    parts = []
    for name, target in targets.items():
        others = target.slots - target.free(now) - len(target.permits)
        parts.append(
            f"{name} slots {target.slots} permits {len(target.permits)} others {others}"
        )
    return "; ".join(parts[:MAX_DESCRIBED_TARGETS])
