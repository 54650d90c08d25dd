"""Targets and their load, as they report them."""

from __future__ import annotations


class Target:
    """One incarnation of a target.

    Parameters
    ----------
    name : str
        Identity by which requests address it. A restarted target may keep its name.
    life : int
        Start time, which distinguishes the incarnations of one name.
    service : str
    address : str
        Address as ``ip:port``. After the target's end, a target of another service may
        reuse it.
    data_centre : str
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it has reported that it will shut down.
    cold_left : float
        Seconds for which it will stay cold, as of its last report.
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
        """Name and incarnation."""
        return self.name, self.life


class LoadReport:
    """Load that a target reports with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Numbers of running requests, waiting requests and concurrent slots.
    pace : float
        Present duration of work on its machine over the usual duration.
    """

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int, pace: float):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace
