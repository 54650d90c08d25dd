"""What the model of free targets plays, and what comes out."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class Kind:
    """Requests of one kind.

    Parameters
    ----------
    name : str
    rate : float
        Requests a second.
    work : float
        Mean seconds of work.
    spread : float
        Standard deviation of its logarithm.
    objective, deadline : float
        Seconds.
    worth, late : float
        Of an answer within the objective, and of a later one.
    """

    __slots__ = (
        "deadline",
        "late",
        "name",
        "objective",
        "rate",
        "spread",
        "work",
        "worth",
    )

    def __init__(
        self,
        name: str,
        rate: float,
        work: float,
        spread: float,
        objective: float,
        deadline: float,
        worth: float,
        late: float,
    ):
        self.name = name
        self.rate = rate
        self.work = work
        self.spread = spread
        self.objective = objective
        self.deadline = deadline
        self.worth = worth
        self.late = late


class Setup:
    """What is played.

    Parameters
    ----------
    kinds : sequence of Kind
    targets, slots : int
    speeds : sequence of float
        Lasting paces of machines, dealt out in turn.
    load : float
        Times the kinds' rates.
    vms, data_centres : int
    near, far : float
        Seconds between two tellings of loads, nearby and elsewhere.
    probes : bool
        Whether targets are asked for their load.
    seconds : float
    """

    __slots__ = (
        "data_centres",
        "far",
        "kinds",
        "load",
        "near",
        "probes",
        "seconds",
        "slots",
        "speeds",
        "targets",
        "vms",
    )

    def __init__(
        self,
        kinds: Sequence[Kind],
        targets: int = 12,
        slots: int = 3,
        speeds: Sequence[float] = (0.6, 1.0, 1.4),
        load: float = 1.0,
        vms: int = 11,
        data_centres: int = 3,
        near: float = 0.04,
        far: float = 0.16,
        probes: bool = True,
        seconds: float = 40.0,
    ):
        self.kinds = kinds
        self.targets = targets
        self.slots = slots
        self.speeds = speeds
        self.load = load
        self.vms = vms
        self.data_centres = data_centres
        self.near = near
        self.far = far
        self.probes = probes
        self.seconds = seconds


class Result:
    """What came out."""

    __slots__ = ("asks", "crosses", "earned", "owed", "requests")

    def __init__(self) -> None:
        self.earned = self.owed = 0.0
        self.requests = self.crosses = self.asks = 0

    @property
    def credit(self) -> float:
        """Credit earned over credit owed."""
        return self.earned / max(1.0, self.owed)

    @property
    def crossed(self) -> float:
        """Share of the requests that went to another data centre."""
        return self.crosses / max(1, self.requests)
