"""Moves keys between targets so that none is busier than necessary.

The typical load is a few adjacent keys that get a third of all requests for a few
seconds, at targets with two or three slots. With keys divided evenly, one target of
twelve gets half of the requests: it has a queue while other targets have free slots.
Narrow runs of hot keys are moved, because a move interrupts only the requests for its
own keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.placement.key_loads import KeyMove, rates_by_range
from berylstage_entry.placement.spread_plan import SpreadPlan, plan_spread

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Utilization from which a target may give keys away, and by how much a move must lower
# the utilization of the busier of its two targets. Smaller differences are noise, given
# the few dozen requests that a target gets within the half-life.
MIN_DONOR_UTILIZATION = 0.4
MIN_GAIN = 0.12
# Utilization from which keys are moved at once, and by how much such a move must lower
# the utilization of the busier target: it has a growing queue while others have free
# capacity. Otherwise a round waits until this many seconds after the last one that
# moved keys, because each round costs two writes to the store and interrupts requests.
# A single key with more requests than any target can serve, or targets that are all
# overloaded, would otherwise cause rounds all the time: without these bounds, 3 to 5
# times the writes earn the same credit (`make bench-owned`).
URGENT_UTILIZATION = 0.8
MIN_URGENT_GAIN = 0.25
MIN_ROUND_INTERVAL_SECONDS = 1.0
# Lower bound of the moves allowed per round, and the number of targets per move if
# there are many targets. Each move interrupts its keys until the requests in progress
# there are complete, a tenth of a second.
MIN_MOVES_PER_ROUND = 6
TARGETS_PER_MOVE = 10
# Number of targets up to which rounds of a few moves keep up with a step of load. With
# more of them, one plan relieves all overloaded owners. In the model, rounds relieve a
# step after 1.4 to 1.9 s at 46 targets, and after 1.6 to 4.7 s at 60 (`make
# bench-owned`). Without a step, rounds earn a little more at 46 targets.
MAX_ROUND_TARGETS = 50
# Recipients considered for each move: the least utilized, and the fastest for a single
# key with more requests than its owner can serve.
LEAST_UTILIZED_RECIPIENTS = 3
FASTEST_RECIPIENTS = 2
# Factor by which a run of keys may exceed the rate that evens out two targets.
MAX_RATE_FACTOR = 1.05


class _HotRange:
    """The hot keys of a range, with their rates and total rate."""

    __slots__ = ("keys", "range", "rate")

    def __init__(self, key_range: KeyRange, keys: list[tuple[int, float]]):
        self.range = key_range
        self.keys = keys
        self.rate = sum(rate for _, rate in keys)


class _TargetLoad:
    """A target as donor or recipient in a round of moves."""

    __slots__ = ("capacity", "name", "rate")

    def __init__(self, name: str, capacity: float):
        self.name = name
        self.capacity = capacity
        self.rate = 0.0

    @property
    def utilization(self) -> float:
        return self.rate / self.capacity


class Rebalancer:
    """Decides when keys are moved for balance.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_moved_at", "last_plan")

    def __init__(self, now: float):
        self._moved_at = now - MIN_ROUND_INTERVAL_SECONDS
        # The plan that the last moves are from, None if they are a round's.
        self.last_plan: SpreadPlan | None = None

    def due_moves(
        self,
        now: float,
        assignment: Assignment,
        rates: Sequence[tuple[int, float]],
        capacities: dict[str, float],
    ) -> list[KeyMove]:
        """Return the moves that are due.

        They are those of :func:`rebalance`, or of :func:`plan_spread` if there are
        more than ``MAX_ROUND_TARGETS`` targets.

        Parameters
        ----------
        now : float
        assignment, rates, capacities
            As for :func:`rebalance`.

        Returns
        -------
        list of KeyMove
        """
        urgent = now - self._moved_at < MIN_ROUND_INTERVAL_SECONDS
        self.last_plan = None
        if plans_for_all(len(capacities)):
            self.last_plan = plan_spread(assignment, rates, capacities, urgent)
            moves = self.last_plan.moves
        else:
            moves = rebalance(assignment, rates, capacities, urgent)
        if moves:
            self._moved_at = now
        return moves


def plans_for_all(targets: int) -> bool:
    """Tell whether one plan relieves all overloaded owners of a service.

    Parameters
    ----------
    targets : int
        Number of targets that may own keys.

    Returns
    -------
    bool
    """
    return targets > MAX_ROUND_TARGETS


def rebalance(
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
    urgent: bool = False,
) -> list[KeyMove]:
    """Return the moves of one round.

    Parameters
    ----------
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests per second.
    capacities : dict of str to float
        Requests per second that each target can serve. Other targets are left out.
    urgent : bool
        Whether to return only moves that stop a queue from growing.

    Returns
    -------
    list of KeyMove
        At most :func:`max_moves_per_round` of them.
    """
    hot_ranges = _group_hot_ranges(assignment, rates)
    loads = _compute_target_loads(hot_ranges, capacities)
    moves: list[KeyMove] = []
    # Donors without a useful move, which later moves of the round do not change.
    exhausted: set[str] = set()
    while len(moves) < max_moves_per_round(len(loads)) and len(loads) > 1:
        best = _next_move(loads, hot_ranges, moves, exhausted, urgent)
        if best is None:
            break
        moves.append(best.move)
        best.donor.rate -= best.rate
        best.recipient.rate += best.rate
    return moves


def max_moves_per_round(targets: int) -> int:
    """Return the maximum number of moves in one round.

    Hot keys need a share of the targets that equals their share of all requests, hence
    more moves if there are more targets.

    Parameters
    ----------
    targets : int
        Number of targets that may own keys.

    Returns
    -------
    int
    """
    return max(MIN_MOVES_PER_ROUND, targets // TARGETS_PER_MOVE)


def _group_hot_ranges(
    assignment: Assignment, rates: Sequence[tuple[int, float]]
) -> dict[str, list[_HotRange]]:
    """Return the ranges with hot keys, by owner."""
    hot_ranges: dict[str, list[_HotRange]] = {}
    for r, keys in rates_by_range(assignment, rates):
        if keys:
            hot_ranges.setdefault(r.owner, []).append(_HotRange(r, keys))
    return hot_ranges


def _compute_target_loads(
    hot_ranges: dict[str, list[_HotRange]], capacities: dict[str, float]
) -> dict[str, _TargetLoad]:
    """Return the targets that may give or receive keys, with their request rates."""
    loads = {name: _TargetLoad(name, max(c, 0.1)) for name, c in capacities.items()}
    for name, load in loads.items():
        load.rate = sum(hot_range.rate for hot_range in hot_ranges.get(name, ()))
    return loads


class _RatedMove:
    """A useful move and its effect."""

    __slots__ = ("donor", "move", "rate", "recipient", "utilization")

    def __init__(
        self,
        move: KeyMove,
        donor: _TargetLoad,
        recipient: _TargetLoad,
        rate: float,
        utilization: float,
    ):
        self.move = move
        self.donor = donor
        self.recipient = recipient
        self.rate = rate
        # Utilization of the busier target after the move.
        self.utilization = utilization

    @property
    def is_urgent(self) -> bool:
        """Whether it stops a queue from growing."""
        before = self.donor.utilization
        return (
            before >= URGENT_UTILIZATION
            and before - self.utilization >= MIN_URGENT_GAIN
        )


def _next_move(
    loads: dict[str, _TargetLoad],
    hot_ranges: dict[str, list[_HotRange]],
    moves: list[KeyMove],
    exhausted: set[str],
    urgent: bool,
) -> _RatedMove | None:
    """Return the best move from the busiest target that has one.

    The busiest target may have a key with more requests than any target can serve, and
    no useful move. The next busiest must be relieved nevertheless: with hundreds of
    targets there is such a key nearly all the time, and queues would grow at all other
    targets.
    """
    threshold = URGENT_UTILIZATION if urgent else MIN_DONOR_UTILIZATION
    by_utilization = sorted(loads.values(), key=lambda load: load.utilization)
    fastest = sorted(by_utilization, key=lambda load: -load.capacity)[
        :FASTEST_RECIPIENTS
    ]
    recipients = list(
        {
            id(s): s for s in by_utilization[:LEAST_UTILIZED_RECIPIENTS] + fastest
        }.values()
    )
    for donor in reversed(by_utilization):
        if donor.utilization < threshold:
            return None
        if donor.name in exhausted:
            continue
        best = _best_move(donor, recipients, hot_ranges.get(donor.name, ()), moves)
        if best is not None and (best.is_urgent or not urgent):
            return best
        exhausted.add(donor.name)
    return None


def _best_move(
    donor: _TargetLoad,
    recipients: list[_TargetLoad],
    hot_ranges: Sequence[_HotRange],
    moves: list[KeyMove],
) -> _RatedMove | None:
    best: _RatedMove | None = None
    for hot_range in hot_ranges:
        if hot_range.range.previous_owner or _overlaps(hot_range.range, moves):
            continue
        for recipient in recipients:
            if recipient is donor:
                continue
            for first, last, rate in _candidate_runs(hot_range.keys, donor, recipient):
                utilization = max(
                    (donor.rate - rate) / donor.capacity,
                    (recipient.rate + rate) / recipient.capacity,
                )
                if best is None or utilization < best.utilization:
                    move = KeyMove(first, last, recipient.name)
                    best = _RatedMove(move, donor, recipient, rate, utilization)
    if best is None or best.utilization > donor.utilization - MIN_GAIN:
        return None
    return best


def _candidate_runs(
    keys: list[tuple[int, float]], donor: _TargetLoad, recipient: _TargetLoad
) -> list[tuple[int, int, float]]:
    """Return candidate runs of keys: first key, last key and rate."""
    both = donor.capacity + recipient.capacity
    wanted = (donor.rate * recipient.capacity - recipient.rate * donor.capacity) / both
    runs = []
    if wanted > 0:
        narrow = _find_narrowest_run(keys, 0.6 * wanted, MAX_RATE_FACTOR * wanted)
        run = narrow or _find_narrowest_run(keys, 0.2 * wanted, 0.6 * wanted)
        if run is not None:
            runs.append(run[1:])
    hottest, rate = max(keys, key=lambda pair: pair[1])
    runs.append((hottest, hottest, rate))
    return runs


def _overlaps(r: KeyRange, moves: list[KeyMove]) -> bool:
    return any(m.first <= r.last and m.last >= r.first for m in moves)


def _find_narrowest_run(
    keys: list[tuple[int, float]], low: float, high: float
) -> tuple[float, int, int, float] | None:
    """Return cost, first key, last key and rate of the best run within bounds.

    The cost is the width divided by the rate, so a run with twice the rate may be twice
    as wide.
    """
    best: tuple[float, int, int, float] | None = None
    start, total = 0, 0.0
    for end, (last, rate) in enumerate(keys):
        total += rate
        while total > high and start <= end:
            total -= keys[start][1]
            start += 1
        if start <= end and total >= low:
            first = keys[start][0]
            candidate = ((last - first + 1) / total, first, last, total)
            if best is None or candidate < best:
                best = candidate
    return best
