"""Which target gets a request that any of them may answer.

The load it answers: free services whose targets differ from moment to moment. Load
reports tell of a slow target only seconds later, so what this VM has seen itself goes
first. Without it each slowed target of ten takes a tenth of the requests, and the
slowest hundredth of all answers is as slow as that target. Two candidates are drawn and
the better is taken: if each VM took the best of all, the VMs would rush to the same
target between two digests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from berylstage_policy.thresholds import Thresholds

# Weight of the newest digest in a target's smoothed occupancy: ten of them, some
# seconds, tell load from chance.
OCCUPANCY_GAIN = 0.1


class TargetView:
    """What one VM knows of one target."""

    __slots__ = (
        "name",
        "slots",
        "outstanding",
        "latency",
        "observed",
        "digest_queue",
        "digest_at",
        "sent_since_digest",
        "failed_until",
        "occupancy",
    )

    def __init__(self, name: str, slots: int):
        self.name = name
        self.slots = slots
        self.outstanding: dict[str, float] = {}
        self.latency = 0.0
        self.observed = float("-inf")
        self.digest_queue = 0
        self.digest_at = float("-inf")
        self.sent_since_digest = 0
        self.failed_until = float("-inf")
        # Smoothed queue length for each slot, by the digests.
        self.occupancy = 0.0


class TargetChoice:
    """Chooses among the targets of one free service, on one VM.

    Parameters
    ----------
    thresholds : Thresholds
    rng : Random
    """

    __slots__ = (
        "_rng",
        "_views",
        "_typical",
        "_occupancy",
        "_preferred",
        "_candidates",
        "_gain",
        "_memory",
        "_straggler",
        "_digest_age",
    )

    def __init__(self, thresholds: Thresholds, rng: Random):
        self._rng = rng
        self._views: dict[str, TargetView] = {}
        # Service time over all targets: what a straggler is measured against.
        self._typical = 0.0
        self._occupancy = 0.0
        self._preferred = thresholds["choice_preferred"]
        self._candidates = int(thresholds["choice_candidates"])
        self._gain = thresholds["choice_gain"]
        self._memory = thresholds["choice_memory"]
        self._straggler = thresholds["straggler_ratio"]
        self._digest_age = thresholds["digest_age"]

    def set_target(self, name: str, slots: int) -> None:
        """Add a target or change its slots."""
        view = self._views.get(name)
        if view is None:
            self._views[name] = TargetView(name, slots)
        else:
            view.slots = slots

    def remove_target(self, name: str) -> None:
        """Forget a target."""
        view = self._views.pop(name, None)
        if view is not None:
            self._occupancy -= view.occupancy

    def sent(self, target: str, request_id: str, now: float) -> None:
        """Note that a request went to a target."""
        view = self._views[target]
        view.outstanding[request_id] = now
        view.sent_since_digest += 1

    def ended(self, target: str, request_id: str, now: float, is_answer: bool) -> None:
        """Note that a request came back, with an answer or without."""
        view = self._views.get(target)
        if view is None:
            return
        sent = view.outstanding.pop(request_id, None)
        if sent is None:
            return
        if not is_answer:
            view.failed_until = now + self._memory
            return
        seconds = now - sent
        is_fresh = now - view.observed > self._memory or not view.latency
        # After a pause the old latency says nothing: the first answer replaces it.
        gain = 1.0 if is_fresh else self._gain
        view.latency += gain * (seconds - view.latency)
        view.observed = now
        view.failed_until = float("-inf")
        gain = self._gain / len(self._views) if self._typical else 1.0
        limit = self._straggler * self._typical if self._typical else seconds
        self._typical += gain * (min(seconds, limit) - self._typical)

    def withdrawn(self, target: str, request_id: str) -> None:
        """Note that a request did not go to a target after all."""
        view = self._views.get(target)
        if view is not None:
            view.outstanding.pop(request_id, None)

    def digest(self, target: str, queue: int, now: float) -> None:
        """Take in the queue length that the VM that leads the target has told."""
        view = self._views.get(target)
        if view is not None:
            change = OCCUPANCY_GAIN * (queue / view.slots - view.occupancy)
            view.occupancy += change
            self._occupancy += change
            view.digest_queue = queue
            view.digest_at = now
            view.sent_since_digest = 0

    def choose(
        self,
        willing: Sequence[str],
        now: float,
        idle: Sequence[str] = (),
    ) -> str:
        """Return the target to send to.

        Parameters
        ----------
        willing : sequence of str
            Names of targets that may answer; not empty.
        now : float
        idle : sequence of str
            Those of them that this VM leads and that have a free slot: known for
            certain, and reached without a forward.

        Returns
        -------
        str
        """
        for name in idle:
            if self._may_prefer(name, now):
                return name
        count = min(self._candidates, len(willing))
        drawn = self._rng.sample(willing, count)
        best = min(drawn, key=lambda name: self._score(self._views[name], now))
        if not self.is_straggler(best, now):
            return best
        # All drawn are stragglers; with one in ten slowed that is one draw in a
        # hundred, enough to show in the slowest hundredth of the answers.
        rest = [name for name in willing if not self.is_straggler(name, now)]
        return self._rng.choice(rest) if rest else best

    def _may_prefer(self, name: str, now: float) -> bool:
        """Tell whether an idle target that this VM leads may go before others.

        When the balancer gives one VM half of the traffic, the targets that it leads
        would be worn while others idle.
        """
        mean = self._occupancy / len(self._views)
        is_worn = self._views[name].occupancy > self._preferred * mean
        return not is_worn and not self.is_straggler(name, now)

    def is_straggler(self, target: str, now: float) -> bool:
        """Tell whether a target is much slower than the others at this moment."""
        view = self._views[target]
        if view.failed_until > now:
            return True
        bound = self._straggler * self._typical
        if not bound:
            return False
        if view.outstanding:
            oldest = next(iter(view.outstanding.values()))
            if now - oldest > bound:
                return True
        is_recent = now - view.observed <= self._memory
        return is_recent and view.latency > bound

    def _score(self, view: TargetView, now: float) -> float:
        """Return the expected seconds until an answer."""
        typical = self._typical or 1.0
        queued = len(view.outstanding)
        if now - view.digest_at <= self._digest_age:
            queued = max(queued, view.digest_queue + view.sent_since_digest)
        is_recent = now - view.observed <= self._memory
        latency = view.latency if is_recent and view.latency else typical
        if self.is_straggler(view.name, now):
            latency = max(latency, self._straggler * typical)
        return latency * (1.0 + queued / view.slots)
