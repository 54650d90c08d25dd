"""Settings of an entry VM, and limits that all VMs observe together."""

from __future__ import annotations

from berylstage_policy.candidates import power_of


class Bounds:
    """Limits that all VMs observe together.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed per request of a service.
    retry_allowance : float
        Further retries allowed per service in each window.
    cold_overshoot : float
        Factor on the rate of a cold target that gives the requests it may get in one
        second.
    cold_slack : float
        Further requests that a cold target may get in one second.
    stop_timeout : float
        Seconds from SIGTERM to the end of the process.
    longest_hold : float
        Longest duration, in seconds, of a grant that targets accept.
    """

    __slots__ = (
        "cold_overshoot",
        "cold_slack",
        "longest_hold",
        "retry_allowance",
        "retry_ratio",
        "stop_timeout",
    )

    def __init__(
        self,
        retry_ratio: float,
        retry_allowance: float,
        cold_overshoot: float,
        cold_slack: float,
        stop_timeout: float,
        longest_hold: float,
    ):
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        self.stop_timeout = stop_timeout
        self.longest_hold = longest_hold

    def cold_bound(self, rate: float) -> float:
        """Return the most requests that a cold target may get in any one second."""
        return rate * self.cold_overshoot + self.cold_slack


class EntrySettings:
    """Settings that an entry VM reads when it starts.

    Parameters
    ----------
    vm : str
    data_centre : str
    callers : str
        ``ip:port`` to listen on for callers.
    ready : str
        ``ip:port`` to listen on for readiness checks of the load balancer.
    control : str
        ``ip:port`` to listen on for other VMs.
    metrics_port : int
    store : str
        ``ip:port`` of the store.
    shortest_lease : float
        Shortest TTL of a lease in the store, in seconds.
    bounds : Bounds
    cores : float
        Processor cores that the VM may use, in cores of the usual speed.
    link : float
        Bandwidth of the VM's network link in Mbit/s.
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
        """Share of the coordinator's resource needs that the VM has, up to 1."""
        return power_of(self.cores, self.link)
