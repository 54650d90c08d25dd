"""Settings of an entry VM, and limits that all VMs observe together."""

from __future__ import annotations

from berylstage_policy.candidates import compute_relative_capacity
from berylstage_policy.quota_shares import QuotaBounds

# Bounds where the settings file names no tolerance.
EXACT_QUOTAS = QuotaBounds(5.0, 0.0, 0.0)


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
    max_grant_seconds : float
        Longest duration, in seconds, of a grant that targets accept.
    revocation_seconds : float
        Seconds after which an API key that was taken away must not be served at any VM;
        infinite if there is no such limit.
    quota : QuotaBounds
        Tolerance within which the quotas of workspaces are kept.
    """

    __slots__ = (
        "cold_overshoot",
        "cold_slack",
        "max_grant_seconds",
        "quota",
        "retry_allowance",
        "retry_ratio",
        "revocation_seconds",
        "stop_timeout",
    )

    def __init__(
        self,
        retry_ratio: float,
        retry_allowance: float,
        cold_overshoot: float,
        cold_slack: float,
        stop_timeout: float,
        max_grant_seconds: float,
        revocation_seconds: float = float("inf"),
        quota: QuotaBounds = EXACT_QUOTAS,
    ):
        self.retry_ratio = retry_ratio
        self.retry_allowance = retry_allowance
        self.cold_overshoot = cold_overshoot
        self.cold_slack = cold_slack
        self.stop_timeout = stop_timeout
        self.max_grant_seconds = max_grant_seconds
        self.revocation_seconds = revocation_seconds
        self.quota = quota

    def max_cold_requests(self, rate: float) -> float:
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
    control_address : str
        ``ip:port`` to listen on for other VMs.
    metrics_port : int
    store : str
        ``ip:port`` of the store.
    min_store_lease_seconds : float
        Shortest TTL of a lease in the store, in seconds.
    bounds : Bounds
    cores : float
        Processor cores that the VM may use, in cores of the usual speed.
    link_mbps : float
        Bandwidth of the VM's network link in Mbit/s.
    regions : dict of str to str
        Region of each data centre; empty if there is only one region.
    report_interval : float
        Seconds between two reports of a target to the store; 0 if it is not known.
    memory_bytes : int or None
        Memory of the VM; None if it is not known.
    max_sockets : int or None
        Sockets that the process may open; None if only the kernel limits them.
    """

    __slots__ = (
        "bounds",
        "callers",
        "control_address",
        "cores",
        "data_centre",
        "link_mbps",
        "max_sockets",
        "memory_bytes",
        "metrics_port",
        "ready",
        "regions",
        "report_interval",
        "min_store_lease_seconds",
        "store",
        "vm",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        callers: str,
        ready: str,
        control_address: str,
        metrics_port: int,
        store: str,
        min_store_lease_seconds: float,
        bounds: Bounds,
        cores: float,
        link_mbps: float,
        regions: dict[str, str] | None = None,
        report_interval: float = 0.0,
        memory_bytes: int | None = None,
        max_sockets: int | None = None,
    ):
        self.vm = vm
        self.data_centre = data_centre
        self.callers = callers
        self.ready = ready
        self.control_address = control_address
        self.metrics_port = metrics_port
        self.store = store
        self.min_store_lease_seconds = min_store_lease_seconds
        self.bounds = bounds
        self.cores = cores
        self.link_mbps = link_mbps
        self.regions = regions or {}
        self.report_interval = report_interval
        self.memory_bytes = memory_bytes
        self.max_sockets = max_sockets

    def is_in_own_region(self, data_centre: str) -> bool:
        """Tell whether a data centre is in the region of this VM."""
        return self.regions.get(data_centre) == self.regions.get(self.data_centre)

    @property
    def relative_capacity(self) -> float:
        """Share of the coordinator's resource needs that the VM has, up to 1."""
        return compute_relative_capacity(self.cores, self.link_mbps)
