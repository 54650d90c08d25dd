"""Selection of a target for a request that any target of the service can serve.

Load reports show a slow target only after seconds, so the choice relies on what this VM
observes itself. Without that, each slow target out of ten receives a tenth of the
requests, and the 99th percentile of all answers is as high as that target's. The choice
is only a first guess: a target whose slots are all busy declines, and the VM that leads
the target knows its slots exactly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from berylstage_policy.thresholds import Thresholds

# Weight of the newest digest in a target's smoothed occupancy. Twenty digests, or five
# seconds, separate load from noise.
OCCUPANCY_GAIN = 0.05


class TargetView:
    """Statistics that one VM keeps about one target."""

    __slots__ = (
        "name",
        "slots",
        "outstanding",
        "latency_ratio",
        "observed_at",
        "avoid_until",
        "penalty",
        "occupancy",
    )

    def __init__(self, name: str, slots: int):
        self.name = name
        self.slots = slots
        # Requests in flight as (sent, overdue from, kind), oldest first.
        self.outstanding: dict[str, tuple[float, float, str]] = {}
        # Smoothed answer time relative to the typical one for the kind.
        self.latency_ratio = 1.0
        self.observed_at = float("-inf")
        self.avoid_until = float("-inf")
        # Seconds for which a slow target is avoided; 0 while it is not slow.
        self.penalty = 0.0
        # Smoothed queue length per slot, taken from the digests.
        self.occupancy = 0.0

    def is_overdue(self, now: float) -> bool:
        """Return whether the oldest request should have been answered by now."""
        for _, overdue, _ in self.outstanding.values():
            return now > overdue
        return False


class TargetChoice:
    """Selects among the targets of one service without key ownership, on one VM.

    Parameters
    ----------
    thresholds : Thresholds
    rng : Random
    """

    __slots__ = (
        "_rng",
        "_views",
        "_typical",
        "_total_occupancy",
        "_preferred_occupancy",
        "_sample_size",
        "_gain",
        "_memory_seconds",
        "_straggler_ratio",
        "_max_penalty_seconds",
    )

    def __init__(self, thresholds: Thresholds, rng: Random):
        self._rng = rng
        self._views: dict[str, TargetView] = {}
        # Answer time by kind over all targets, the baseline for detecting stragglers.
        self._typical: dict[str, float] = {}
        self._total_occupancy = 0.0
        self._preferred_occupancy = thresholds["choice_preferred"]
        self._sample_size = int(thresholds["choice_candidates"])
        self._gain = thresholds["choice_gain"]
        self._memory_seconds = thresholds["choice_memory"]
        self._straggler_ratio = thresholds["straggler_ratio"]
        self._max_penalty_seconds = thresholds["straggler_avoided"]

    def set_target(self, name: str, slots: int) -> None:
        """Add a target or change its number of slots."""
        view = self._views.get(name)
        if view is None:
            self._views[name] = TargetView(name, slots)
        else:
            view.slots = slots

    def remove_target(self, name: str) -> None:
        """Remove a target and its statistics."""
        view = self._views.pop(name, None)
        if view is not None:
            self._total_occupancy -= view.occupancy

    def record_sent(
        self, target: str, request_id: str, now: float, kind: str = ""
    ) -> None:
        """Record that a request was sent to a target."""
        view = self._views[target]
        typical = self._typical.get(kind)
        overdue = now + self._straggler_ratio * typical if typical else float("inf")
        view.outstanding[request_id] = (now, overdue, kind)

    def record_end(
        self, target: str, request_id: str, now: float, is_answer: bool
    ) -> None:
        """Record that a request ended, with or without an answer."""
        view = self._views.get(target)
        sent_request = (
            view.outstanding.pop(request_id, None) if view is not None else None
        )
        if view is None or sent_request is None:
            return
        if not is_answer:
            self._avoid(view, now)
            return
        sent, _, kind = sent_request
        latency_ratio = self._update_typical(kind, now - sent)
        # After a pause the smoothed ratio is outdated; the first answer replaces it.
        is_outdated = now - view.observed_at > self._memory_seconds
        view.latency_ratio += (1.0 if is_outdated else self._gain) * (
            latency_ratio - view.latency_ratio
        )
        view.observed_at = now
        if view.latency_ratio > self._straggler_ratio:
            self._avoid(view, now)
        elif latency_ratio <= self._straggler_ratio and now >= view.avoid_until:
            view.penalty = 0.0

    def _update_typical(self, kind: str, seconds: float) -> float:
        """Add an answer time to the typical time and return its ratio to that."""
        typical = self._typical.get(kind)
        if not typical:
            self._typical[kind] = seconds
            return 1.0
        gain = self._gain / len(self._views)
        capped = min(seconds, self._straggler_ratio * typical)
        self._typical[kind] = typical + gain * (capped - typical)
        return seconds / typical

    def _avoid(self, view: TargetView, now: float) -> None:
        """Avoid a target for a while, twice as long each time it is found slow."""
        if now < view.avoid_until:
            return
        view.penalty = min(
            2 * view.penalty or self._memory_seconds, self._max_penalty_seconds
        )
        view.avoid_until = now + view.penalty

    def record_withdrawn(self, target: str, request_id: str) -> None:
        """Record that a request was not sent to a target after all."""
        view = self._views.get(target)
        if view is not None:
            view.outstanding.pop(request_id, None)

    def update_queue_length(self, target: str, queue: int) -> None:
        """Record the queue length reported by the VM that leads the target.

        It only shows which targets have received more than others for a while. A digest
        is many service times old, and choosing by it directly was measured to be worse
        than not using it, because all VMs crowd onto the target whose queue was short.

        Parameters
        ----------
        target : str
        queue : int
            Requests that wait or occupy a slot.
        """
        view = self._views.get(target)
        if view is not None:
            change = OCCUPANCY_GAIN * (queue / view.slots - view.occupancy)
            view.occupancy += change
            self._total_occupancy += change

    def choose(
        self,
        available: Sequence[str],
        now: float,
        idle: Sequence[str] = (),
    ) -> str:
        """Return the target to send a request to.

        Parameters
        ----------
        available : sequence of str
            Names of the targets that may serve the request; not empty.
        now : float
        idle : sequence of str
            Those of the targets that this VM leads and that have a free slot. This is
            certain knowledge, and they are reached without forwarding.

        Returns
        -------
        str
        """
        for name in idle:
            if self._may_prefer(name, now):
                return name
        count = min(self._sample_size, len(available))
        sampled = self._rng.sample(available, count)
        best = min(sampled, key=lambda name: self._score(self._views[name], now))
        if not self.is_straggler(best, now):
            return best
        # All sampled targets are stragglers. With one target in ten slowed, that is one
        # sample in a hundred, which is enough to raise the 99th percentile of the
        # answer times.
        non_stragglers = [
            name for name in available if not self.is_straggler(name, now)
        ]
        return self._rng.choice(non_stragglers) if non_stragglers else best

    def _may_prefer(self, name: str, now: float) -> bool:
        """Return whether an idle target that this VM leads may be preferred.

        If the load balancer sends half of the traffic to one VM, the targets that the
        VM leads would otherwise be overloaded while others are idle.
        """
        mean = self._total_occupancy / len(self._views)
        is_overused = self._views[name].occupancy > self._preferred_occupancy * mean
        return not is_overused and not self.is_straggler(name, now)

    def is_straggler(self, target: str, now: float) -> bool:
        """Return whether a target is currently much slower than the others."""
        view = self._views[target]
        if now < view.avoid_until:
            return True
        if view.is_overdue(now):
            self._avoid(view, now)
            return True
        # On probation, only one request is sent until its answer arrives. A target that
        # is still slow then delays one caller rather than ten.
        return bool(view.penalty and view.outstanding)

    def _score(self, view: TargetView, now: float) -> float:
        """Return the expected time to an answer, as a multiple of the typical time."""
        in_flight = len(view.outstanding)
        is_recent = now - view.observed_at <= self._memory_seconds
        latency_ratio = view.latency_ratio if is_recent else 1.0
        if self.is_straggler(view.name, now):
            # If all targets are slow, only their load distinguishes them.
            latency_ratio = self._straggler_ratio
        return latency_ratio * (1.0 + in_flight / view.slots)
