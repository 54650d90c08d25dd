"""Targets and their load, as they report them."""

from __future__ import annotations


class Target:
    """One incarnation of a target.

    Parameters
    ----------
    name : str
        Identity by which requests address it. A restarted target may keep its name.
    incarnation : int
        Start time, which distinguishes the incarnations of one name.
    service : str
    address : str
        Address as ``ip:port``. After the target's end, a target of another service may
        reuse it.
    data_centre : str
    slots : int
        Number of requests that it processes concurrently.
    is_draining : bool
        Whether it has reported that it will shut down.
    cold_seconds_left : float
        Seconds for which it will stay cold, as of its last report.
    """

    __slots__ = (
        "address",
        "cold_seconds_left",
        "data_centre",
        "is_draining",
        "incarnation",
        "name",
        "service",
        "slots",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        is_draining: bool,
        cold_seconds_left: float,
    ):
        self.name = name
        self.incarnation = incarnation
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.is_draining = is_draining
        self.cold_seconds_left = cold_seconds_left

    @property
    def identity(self) -> tuple[str, int]:
        """Name and incarnation."""
        return self.name, self.incarnation


class TargetNotice:
    """What a target says of itself in an answer, apart from its load.

    Parameters
    ----------
    limit : float or None
        Requests per second that it accepts from all VMs together; None if it names no
        limit.
    is_limit_invalid : bool
        Whether it names a limit that cannot be decoded.
    rest_seconds : float
        Seconds for which it wants no request from this VM; 0 if it asks for no rest.
    is_leaving : bool
        Whether it will shut down.
    """

    __slots__ = ("is_leaving", "is_limit_invalid", "limit", "rest_seconds")

    def __init__(
        self,
        limit: float | None = None,
        is_limit_invalid: bool = False,
        rest_seconds: float = 0.0,
        is_leaving: bool = False,
    ):
        self.limit = limit
        self.is_limit_invalid = is_limit_invalid
        self.rest_seconds = rest_seconds
        self.is_leaving = is_leaving


class LoadReport:
    """Load that a target reports with an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Numbers of running requests, waiting requests and concurrent slots.
    machine_slowdown : float
        Present duration of work on its machine over the usual duration.
    """

    __slots__ = ("machine_slowdown", "running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int, machine_slowdown: float):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.machine_slowdown = machine_slowdown
