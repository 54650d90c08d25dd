"""Targets as they report themselves, and the load that they tell."""

from __future__ import annotations


class Target:
    """One life of a target.

    Parameters
    ----------
    name : str
        Identity that its requests name; a target may start again under it.
    life : int
        Tells the lives of one name apart: the time of its start.
    service : str
    address : str
        ``ip:port``; after its end, another service's target may have it.
    data_centre : str
    slots : int
        Requests that it works on at once.
    leaving : bool
        Whether it has said that it will end.
    cold_left : float
        Seconds for which it said, when it reported last, that it stays cold.
    """

    __slots__ = (
        "address",
        "cold_left",
        "data_centre",
        "leaving",
        "life",
        "name",
        "service",
        "slots",
    )

    def __init__(
        self,
        name: str,
        life: int,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        leaving: bool,
        cold_left: float,
    ):
        self.name = name
        self.life = life
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.leaving = leaving
        self.cold_left = cold_left

    @property
    def identity(self) -> tuple[str, int]:
        """Name and life together."""
        return self.name, self.life


class LoadReport:
    """What a target tells of its load in an answer.

    Parameters
    ----------
    running, waiting, slots : int
    pace : float
        How long work takes on its machine just now, over the usual.
    """

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int, pace: float):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace
