"""Which target gets a request that any of them may answer.

The load it answers: free services whose targets differ from moment to moment. Load
reports tell of a slow target only seconds later, so what this VM has seen itself
decides. Without it each slowed target of ten takes a tenth of the requests, and the
slowest hundredth of all answers is as slow as that target. The choice is only a first
guess: a target whose slots are all busy declines, and the VM that leads it knows that
for certain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from berylstage_policy.thresholds import Thresholds

# Weight of the newest digest in a target's smoothed occupancy: twenty of them, five
# seconds, tell load from chance.
OCCUPANCY_GAIN = 0.05


class TargetView:
    """What one VM knows of one target."""

    __slots__ = (
        "name",
        "slots",
        "outstanding",
        "ratio",
        "observed",
        "avoid_until",
        "penalty",
        "occupancy",
    )

    def __init__(self, name: str, slots: int):
        self.name = name
        self.slots = slots
        # Requests that are out, as (sent, overdue from, kind), the oldest first.
        self.outstanding: dict[str, tuple[float, float, str]] = {}
        # Smoothed answer time over what is typical for the kind.
        self.ratio = 1.0
        self.observed = float("-inf")
        self.avoid_until = float("-inf")
        # Seconds for which it is avoided when found slow; 0 while it is well.
        self.penalty = 0.0
        # Smoothed queue length for each slot, by the digests.
        self.occupancy = 0.0

    def is_overdue(self, now: float) -> bool:
        """Tell whether the oldest request should have been answered by now."""
        for _, overdue, _ in self.outstanding.values():
            return now > overdue
        return False


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
        "_longest_penalty",
    )

    def __init__(self, thresholds: Thresholds, rng: Random):
        self._rng = rng
        self._views: dict[str, TargetView] = {}
        # Answer time by kind over all targets: what a straggler is measured against.
        self._typical: dict[str, float] = {}
        self._occupancy = 0.0
        self._preferred = thresholds["choice_preferred"]
        self._candidates = int(thresholds["choice_candidates"])
        self._gain = thresholds["choice_gain"]
        self._memory = thresholds["choice_memory"]
        self._straggler = thresholds["straggler_ratio"]
        self._longest_penalty = thresholds["straggler_avoided"]

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

    def sent(self, target: str, request_id: str, now: float, kind: str = "") -> None:
        """Note that a request went to a target."""
        view = self._views[target]
        typical = self._typical.get(kind)
        overdue = now + self._straggler * typical if typical else float("inf")
        view.outstanding[request_id] = (now, overdue, kind)

    def ended(self, target: str, request_id: str, now: float, is_answer: bool) -> None:
        """Note that a request came back, with an answer or without."""
        view = self._views.get(target)
        found = view.outstanding.pop(request_id, None) if view is not None else None
        if view is None or found is None:
            return
        if not is_answer:
            self._avoid(view, now)
            return
        sent, _, kind = found
        ratio = self._learn(kind, now - sent)
        # After a pause the old ratio says nothing: the first answer replaces it.
        is_fresh = now - view.observed > self._memory
        view.ratio += (1.0 if is_fresh else self._gain) * (ratio - view.ratio)
        view.observed = now
        if view.ratio > self._straggler:
            self._avoid(view, now)
        elif ratio <= self._straggler and now >= view.avoid_until:
            view.penalty = 0.0

    def _learn(self, kind: str, seconds: float) -> float:
        """Take an answer time into what is typical and return its ratio to that."""
        typical = self._typical.get(kind)
        if not typical:
            self._typical[kind] = seconds
            return 1.0
        gain = self._gain / len(self._views)
        capped = min(seconds, self._straggler * typical)
        self._typical[kind] = typical + gain * (capped - typical)
        return seconds / typical

    def _avoid(self, view: TargetView, now: float) -> None:
        """Leave a target alone for a while, longer each time it is found slow."""
        if now < view.avoid_until:
            return
        view.penalty = min(2 * view.penalty or self._memory, self._longest_penalty)
        view.avoid_until = now + view.penalty

    def withdrawn(self, target: str, request_id: str) -> None:
        """Note that a request did not go to a target after all."""
        view = self._views.get(target)
        if view is not None:
            view.outstanding.pop(request_id, None)

    def digest(self, target: str, queue: int) -> None:
        """Take in the queue length that the VM that leads the target has told.

        It only tells which targets have had more than others for a while. As a measure
        of the moment it is many service times old, and a choice by it was measured to
        be worse than one without: the VMs crowd where the queue was short.

        Parameters
        ----------
        target : str
        queue : int
            Requests that wait or are in a slot.
        """
        view = self._views.get(target)
        if view is not None:
            change = OCCUPANCY_GAIN * (queue / view.slots - view.occupancy)
            view.occupancy += change
            self._occupancy += change

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
        if now < view.avoid_until:
            return True
        if view.is_overdue(now):
            self._avoid(view, now)
            return True
        # On probation one request goes ahead and the others wait for its answer: a
        # target that is still slow shall not be found out by ten callers at once.
        return bool(view.penalty and view.outstanding)

    def _score(self, view: TargetView, now: float) -> float:
        """Return the expected time until an answer, in typical answer times."""
        queued = len(view.outstanding)
        is_recent = now - view.observed <= self._memory
        ratio = view.ratio if is_recent else 1.0
        if self.is_straggler(view.name, now):
            # Where all are slow only their load tells them apart.
            ratio = self._straggler
        return ratio * (1.0 + queued / view.slots)
