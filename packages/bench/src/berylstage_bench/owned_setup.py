"""What the model of targets that own keys plays."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class Busy:
    """Neighbouring keys that get much of the requests for a while.

    Parameters
    ----------
    at, seconds : float
        From when, and for how long.
    share : float
        Of all requests of the service.
    count : int
        Keys.
    """

    __slots__ = ("at", "count", "seconds", "share")

    def __init__(self, at: float, seconds: float, share: float, count: int):
        self.at = at
        self.seconds = seconds
        self.share = share
        self.count = count


class OwnedSetup:
    """What is played.

    Parameters
    ----------
    targets, slots, queue : int
        Queue: requests that wait before a target beyond those it works on.
    rate : float
        Requests a second, of all VMs.
    work, spread : float
        Mean seconds of work, and standard deviation of its logarithm.
    objective, deadline : float
        Seconds.
    late : float
        Worth of a late answer; one in time is worth 1.
    skew : float
        How uneven the keys are: the n-th busiest gets n ** -skew.
    vms : int
    busy : sequence of Busy
    speeds : sequence of float
        Lasting paces of machines, dealt out in turn.
    things : int
        Keys that are asked for at all.
    told : float
        Seconds between two tellings of loads from VM to VM.
    seconds : float
    ranges_per_target : int
        Ranges of keys that each target owns at first. With more than one, ranges are
        merged as the coordinator does.
    """

    __slots__ = (
        "busy",
        "deadline",
        "late",
        "objective",
        "queue",
        "ranges_per_target",
        "rate",
        "seconds",
        "skew",
        "slots",
        "speeds",
        "spread",
        "targets",
        "things",
        "told",
        "vms",
        "work",
    )

    def __init__(
        self,
        targets: int,
        slots: int,
        queue: int,
        rate: float,
        work: float,
        spread: float,
        objective: float,
        deadline: float,
        late: float,
        skew: float,
        vms: int,
        busy: Sequence[Busy],
        speeds: Sequence[float] = (0.6, 1.0, 1.4),
        things: int = 60000,
        told: float = 0.1,
        seconds: float = 24.0,
        ranges_per_target: int = 1,
    ):
        self.targets = targets
        self.slots = slots
        self.queue = queue
        self.rate = rate
        self.work = work
        self.spread = spread
        self.objective = objective
        self.deadline = deadline
        self.late = late
        self.skew = skew
        self.vms = vms
        self.busy = busy
        self.speeds = speeds
        self.things = things
        self.told = told
        self.seconds = seconds
        self.ranges_per_target = ranges_per_target
