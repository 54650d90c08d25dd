"""How long the slots of a target stay busy, by expectation."""

from __future__ import annotations


def residual(cost: float, elapsed: float) -> float:
    """Return how long a request will stay in its slot, in seconds.

    Work that is over its time is expected to end soon, however long it has taken. To
    expect as long again was tried: through stalls of moments it turned away requests
    that were still answered in time, and a stall that lasts ends in `health` anyway.

    Parameters
    ----------
    cost : float
        Seconds that it was expected to take.
    elapsed : float
        Seconds since it was started.

    Returns
    -------
    float
    """
    return max(cost - elapsed, cost / 2)


def time_to_serve(work: float, limit: int, residuals: list[float]) -> float:
    """Return the seconds until the slots have done some work and one is free.

    Parameters
    ----------
    work : float
        Slot-seconds to be done first.
    limit : int
        Slots that may be used.
    residuals : list of float
        Seconds that each busy slot stays busy, shortest first.

    Returns
    -------
    float
    """
    busy = len(residuals)
    if busy < limit:
        free = [0.0] * (limit - busy) + residuals
    else:
        free = residuals[busy - limit :]
    # Pour the work over the slots as they become free, the earliest first.
    level = free[0]
    for count in range(1, len(free)):
        room = (free[count] - level) * count
        if work <= room:
            return level + work / count
        work -= room
        level = free[count]
    return level + work / len(free)
