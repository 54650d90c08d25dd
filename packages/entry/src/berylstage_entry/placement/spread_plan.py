"""Plans the moves that relieve all overloaded owners of a service in one write.

The load that it answers: 200 neighbouring keys of one or two owners get 0.3 to 0.45 of
all requests for 5 s. At 65 and more owners these keys need 40 and more new owners, and
rounds that move one run of keys from a range at a time take as long as the load lasts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.placement.key_loads import KeyMove, rates_by_range

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment

# Moves in one write. Each move needs two calls to targets, and a grant every 0.8 s for
# as long as its range exists.
MAX_MOVES_PER_PLAN = 64
# Utilization above the mean from which an owner is relieved, and up to which donors
# keep keys and recipients get them. The difference is larger than the noise of the two
# dozen requests by which the rate of an owner is known.
DONOR_MARGIN = 0.3
FILL_MARGIN = 0.1
# The same for a plan that follows another one within the usual interval, and the
# utilization from which an owner's queue grows.
URGENT_DONOR_MARGIN = 0.35
URGENT_UTILIZATION = 0.8
# Utilization that a move must add to its recipient, and by which it must leave the
# recipient below the donor. Smaller moves interrupt requests for too little.
MIN_PIECE_UTILIZATION = 0.08
MIN_GAIN = 0.12
# Keys without requests between two pieces beyond which these keys stay where they are.
# Seldom requested keys are 50 apart in the counts of a second. With 32, pieces of them
# hold a few keys that had a request by chance, and relieve nobody: half as many moves
# again, for less credit (`make bench-owned`).
MAX_GAP = 128
# Keys that a run of its own counts for, beyond its width, when runs are compared.
RUN_COST_KEYS = 16


class SpreadPlan:
    """The moves of one write and their effect.

    Parameters
    ----------
    moves : list of KeyMove
    donors : list of str
    recipients : list of str
    highest_before, highest_after : float
        Utilization of the busiest target.
    """

    __slots__ = ("donors", "highest_after", "highest_before", "moves", "recipients")

    def __init__(
        self,
        moves: list[KeyMove],
        donors: list[str],
        recipients: list[str],
        highest_before: float,
        highest_after: float,
    ):
        self.moves = moves
        self.donors = donors
        self.recipients = recipients
        self.highest_before = highest_before
        self.highest_after = highest_after

    @property
    def keys(self) -> int:
        """Number of keys that move."""
        return sum(move.last - move.first + 1 for move in self.moves)


class _Load:
    """A target with its requests per second and the runs of keys that may move."""

    __slots__ = ("capacity", "name", "rate", "reserved_rate", "runs")

    def __init__(self, name: str, capacity: float):
        self.name = name
        self.capacity = max(capacity, 0.1)
        self.rate = 0.0
        # Keys with requests of each range that is not on the move.
        self.runs: list[list[tuple[int, float]]] = []
        # Requests per second for a key that exceeds any target. A target with such a
        # key serves no other busy keys.
        self.reserved_rate = 0.0

    @property
    def is_reserved(self) -> bool:
        return self.reserved_rate > 0

    @property
    def utilization(self) -> float:
        return self.rate / self.capacity


def plan_spread(
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
    urgent: bool = False,
) -> SpreadPlan:
    """Return the moves that bring all owners near the mean utilization.

    Parameters
    ----------
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests per second.
    capacities : dict of str to float
        Requests per second that each target can serve. Other targets are left out.
    urgent : bool
        Whether to relieve only owners whose queues grow.

    Returns
    -------
    SpreadPlan
        At most ``MAX_MOVES_PER_PLAN`` moves; without moves if no owner needs relief.
    """
    return _Planner(assignment, rates, capacities, urgent).plan()


class _Planner:
    """Makes one plan."""

    def __init__(
        self,
        assignment: Assignment,
        rates: Sequence[tuple[int, float]],
        capacities: dict[str, float],
        urgent: bool,
    ):
        self._loads = {name: _Load(name, c) for name, c in capacities.items()}
        self._settled: list[KeyMove] = []
        for r, keys in rates_by_range(assignment, rates):
            load = self._loads.get(r.owner)
            if load is None or not keys:
                continue
            load.rate += sum(rate for _, rate in keys)
            if not r.previous_owner:
                load.runs.append(keys)
        total = sum(load.rate for load in self._loads.values())
        capacity = sum(load.capacity for load in self._loads.values())
        self._mean = total / capacity if capacity else 0.0
        self._fill = self._mean + FILL_MARGIN
        self._threshold = self._mean + DONOR_MARGIN
        if urgent:
            self._threshold = max(URGENT_UTILIZATION, self._mean + URGENT_DONOR_MARGIN)
        self._moves: list[KeyMove] = []
        self._donors: list[str] = []
        self._recipients: set[str] = set()

    def plan(self) -> SpreadPlan:
        """Return the plan."""
        before = self._highest()
        donors = [load for load in self._loads.values() if self._is_donor(load)]
        if donors:
            self._place_oversized_keys()
            # Reserved targets may have become donors.
            donors = [load for load in self._loads.values() if self._is_donor(load)]
            for donor in sorted(donors, key=lambda load: -load.utilization):
                self._relieve(donor)
        return SpreadPlan(
            self._moves,
            self._donors,
            sorted(self._recipients),
            before,
            self._highest(),
        )

    def _highest(self) -> float:
        return max((load.utilization for load in self._loads.values()), default=0.0)

    def _is_donor(self, load: _Load) -> bool:
        return bool(load.runs) and load.utilization > self._threshold

    def _is_full(self) -> bool:
        return len(self._moves) >= MAX_MOVES_PER_PLAN

    def _place_oversized_keys(self) -> None:
        """Give each key that exceeds any target the fastest one, freed of busy keys."""
        fastest = sorted(self._loads.values(), key=lambda load: -load.capacity)
        if not fastest:
            return
        oversized = []
        for load in self._loads.values():
            for run in load.runs:
                for key, rate in run:
                    if rate > fastest[0].capacity:
                        oversized.append((rate, key, load))
        oversized.sort(key=lambda item: (-item[0], item[1]))
        for rate, key, owner in oversized:
            if self._is_full():
                return
            if all(load.is_reserved for load in fastest):
                return
            best = next(load for load in fastest if not load.is_reserved)
            gain = rate / owner.capacity - rate / best.capacity
            if gain < MIN_GAIN and not owner.is_reserved:
                best = owner
            _remove_key(owner, key)
            if best is not owner:
                self._move(owner, best, [(key, rate)], key)
            best.reserved_rate = rate

    def _relieve(self, donor: _Load) -> None:
        """Move keys of a donor until it is near the mean utilization."""
        # Keys with few requests stay with a reserved target: to free it of the last
        # hundredth of its load would take dozens of moves.
        keep = donor.reserved_rate or self._fill * donor.capacity
        given = False
        while not self._is_full() and donor.runs:
            excess = donor.rate - keep
            if excess < MIN_PIECE_UTILIZATION * donor.capacity:
                break
            run = _take_narrowest_run(donor, excess)
            if not run:
                break
            given = self._spread(donor, run) or given
        if given:
            self._donors.append(donor.name)

    def _spread(self, donor: _Load, run: list[tuple[int, float]]) -> bool:
        """Divide a run among targets with room; return whether any key moves."""
        before = len(self._moves)
        start = 0
        while start < len(run) and not self._is_full():
            recipient = self._choose_recipient(donor, run[start][1])
            if recipient is None:
                start += 1
                continue
            room = self._fill * recipient.capacity - recipient.rate
            end, rate = start + 1, run[start][1]
            while (
                end < len(run)
                and run[end][0] - run[end - 1][0] <= MAX_GAP
                and rate + run[end][1] <= room
            ):
                rate += run[end][1]
                end += 1
            # Keys without requests up to the next piece move along.
            last = run[end - 1][0]
            if end < len(run) and run[end][0] - last <= MAX_GAP:
                last = run[end][0] - 1
            if rate >= MIN_PIECE_UTILIZATION * recipient.capacity:
                self._move(donor, recipient, run[start:end], last)
            start = end
        return len(self._moves) > before

    def _choose_recipient(self, donor: _Load, rate: float) -> _Load | None:
        """Return the target with most room, or the one that a large key loads least."""
        candidates = [
            load
            for load in self._loads.values()
            if load is not donor
            and not load.is_reserved
            and load.utilization <= self._threshold
        ]
        if not candidates:
            return None
        roomiest = max(candidates, key=lambda c: self._fill * c.capacity - c.rate)
        if roomiest.rate + rate <= self._fill * roomiest.capacity:
            return roomiest
        best = min(candidates, key=lambda c: (c.rate + rate) / c.capacity)
        after = (best.rate + rate) / best.capacity
        if after <= self._threshold or after <= donor.utilization - MIN_GAIN:
            return best
        return None

    def _move(
        self, donor: _Load, recipient: _Load, run: list[tuple[int, float]], last: int
    ) -> None:
        rate = sum(rate for _, rate in run)
        donor.rate -= rate
        recipient.rate += rate
        self._recipients.add(recipient.name)
        self._moves.append(KeyMove(run[0][0], last, recipient.name))


def _remove_key(load: _Load, key: int) -> None:
    """Remove a key from the runs that may move."""
    runs = []
    for run in load.runs:
        parts = ([k for k in run if k[0] < key], [k for k in run if k[0] > key])
        runs += (
            [part for part in parts if part]
            if run[0][0] <= key <= run[-1][0]
            else [run]
        )
    load.runs = runs


def _take_narrowest_run(load: _Load, rate: float) -> list[tuple[int, float]]:
    """Remove and return the run with about a rate that has the fewest keys for it.

    If no run of the target has that rate, the one with most requests for its width is
    taken whole.
    """
    best: tuple[float, int, int, int] | None = None
    for index, run in enumerate(load.runs):
        start, total = 0, 0.0
        for end, (last, key_rate) in enumerate(run):
            total += key_rate
            while start < end and total - run[start][1] >= rate:
                total -= run[start][1]
                start += 1
            width = last - run[start][0] + 1
            if total >= rate or (start == 0 and end == len(run) - 1):
                cost = (width + RUN_COST_KEYS) / min(total, rate)
                if best is None or cost < best[0]:
                    best = (cost, index, start, end)
    if best is None:
        return []
    _, index, start, end = best
    run = load.runs.pop(index)
    if run[:start]:
        load.runs.append(run[:start])
    if run[end + 1 :]:
        load.runs.append(run[end + 1 :])
    return run[start : end + 1]
