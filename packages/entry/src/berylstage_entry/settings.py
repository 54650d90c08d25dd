"""What a VM is told about itself and the bounds that it keeps."""

from __future__ import annotations

from berylstage_policy.candidates import power_of


class Bounds:
    """Bounds that the VMs keep together.

    Parameters
    ----------
    retry_ratio : float
        Repeats of requests for each request of a service.
    retry_allowance : float
        Repeats of a service in each window beyond that.
    cold_overshoot : float
        Times the rate of a cold target that it may get in one second.
    cold_slack : float
        Requests beyond that.
    stop_time : float
        Seconds from SIGTERM to the end of the process.
    longest_hold : float
        Seconds for which a target takes a grant at most.
    """

    __slots__ = (
        "cold_overshoot",
        "cold_slack",
        "longest_hold",
        "retry_allowance",
        "retry_ratio",
        "stop_time",
    )

    def __init__(
        self,
        retry_ratio: float,
        retry_allowance: float,
        cold_overshoot: float,
        cold_slack: float,
        stop_time: float,
        longest_hold: float,
    ):
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        self.stop_time = stop_time
        self.longest_hold = longest_hold

    def cold_bound(self, rate: float) -> float:
        """Return the requests that a cold target may get in any one second."""
        return rate * self.cold_overshoot + self.cold_slack


class EntrySettings:
    """What an entry VM is told when it starts.

    Parameters
    ----------
    vm : str
    data_centre : str
    callers : str
        ``ip:port`` where callers connect.
    ready : str
        ``ip:port`` where the balancer asks.
    control : str
        ``ip:port`` where other VMs connect.
    metrics_port : int
    store : str
        ``ip:port`` of the store.
    shortest_lease : float
        Seconds.
    bounds : Bounds
    cores : float
        Processor cores that the VM may use, in cores of the usual speed.
    link : float
        Mbit/s of the VM's link.
    """

    __slots__ = (
        "bounds",
        "callers",
        "control",
        "cores",
        "data_centre",
        "link",
        "metrics_port",
        "ready",
        "shortest_lease",
        "store",
        "vm",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        callers: str,
        ready: str,
        control: str,
        metrics_port: int,
        store: str,
        shortest_lease: float,
        bounds: Bounds,
        cores: float,
        link: float,
    ):
        self.vm = vm
        self.data_centre = data_centre
        self.callers = callers
        self.ready = ready
        self.control = control
        self.metrics_port = metrics_port
        self.store = store
        self.shortest_lease = shortest_lease
        self.bounds = bounds
        self.cores = cores
        self.link = link

    @property
    def power(self) -> float:
        """How much of what duties need the VM has, up to 1."""
        return power_of(self.cores, self.link)
