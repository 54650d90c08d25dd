"""Estimates of how long the slots of a target stay busy."""

from __future__ import annotations


def remaining_seconds(cost: float, elapsed: float) -> float:
    """Return the expected seconds until a running request frees its slot.

    A request that exceeds its expected cost is assumed to end soon, however long it has
    run. Assuming as much time again as it has already taken refuses requests during
    momentary stalls that would still be answered in time, and `health` detects a stall
    that lasts.

    Parameters
    ----------
    cost : float
        Expected service time in seconds.
    elapsed : float
        Seconds since the request was started.

    Returns
    -------
    float
    """
    return max(cost - elapsed, cost / 2)


def seconds_to_serve(work: float, limit: int, remaining: list[float]) -> float:
    """Return the seconds until the slots have done `work` and one of them is free.

    Parameters
    ----------
    work : float
        Slot-seconds of work to do first.
    limit : int
        Slots that may be used.
    remaining : list of float
        Seconds that each busy slot stays busy, in ascending order.

    Returns
    -------
    float
    """
    busy = len(remaining)
    if busy < limit:
        free_at = [0.0] * (limit - busy) + remaining
    else:
        free_at = remaining[busy - limit :]
    # Assign the work to the slots as they become free, the earliest slot first.
    level = free_at[0]
    for count in range(1, len(free_at)):
        capacity = (free_at[count] - level) * count
        if work <= capacity:
            return level + work / count
        work -= capacity
        level = free_at[count]
    return level + work / len(free_at)
