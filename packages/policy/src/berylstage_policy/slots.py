"""How long the slots of a target stay busy, by expectation."""

from __future__ import annotations

# Work that has taken so many times its expected time is stalled rather than slow.
STALLED_RATIO = 3.0


def residual(cost: float, elapsed: float) -> float:
    """Return how long a request will stay in its slot, in seconds.

    Parameters
    ----------
    cost : float
        Seconds that it was expected to take.
    elapsed : float
        Seconds since it was started.

    Returns
    -------
    float
        For stalled work as long again as it has taken: how else would a queue learn
        of a stall before the stall has ended?
    """
    if elapsed > STALLED_RATIO * cost:
        return elapsed
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
