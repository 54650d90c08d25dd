"""Loads of targets, from this VM's own requests and from reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.completion import ServiceLoads

from berylstage_entry.clock import now
from berylstage_entry.targets import LoadReport

if TYPE_CHECKING:
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import TargetAnswer
    from berylstage_entry.targets import Target

# Gain of a new answer in the mean answer size of its kind.
ANSWER_SIZE_GAIN = 0.05
# Lowest HTTP status of a server error.
SERVER_ERROR = 500


class TargetLoads:
    """Loads of the targets of all services, as known to this VM.

    Parameters
    ----------
    cluster_view : ClusterView
    rng : Random
    """

    def __init__(self, cluster_view: ClusterView, rng: Random):
        self._cluster_view = cluster_view
        self._rng = rng
        self._by_service: dict[str, ServiceLoads] = {}
        self._seen_revision = -1
        # Mean size in bytes of the answers to each request kind.
        self._answer_sizes: dict[str, float] = {}
        # Time of the last request for each service.
        self._last_requested_at: dict[str, float] = {}

    def for_service(self, service: str) -> ServiceLoads:
        """Return the loads of a service's targets."""
        if self._seen_revision != self._cluster_view.revision:
            self._seen_revision = self._cluster_view.revision
            names = set(self._cluster_view.known)
            for loads in self._by_service.values():
                loads.retain(names)
        found = self._by_service.get(service)
        if found is None:
            found = self._by_service[service] = ServiceLoads(self._rng)
        return found

    def record_request(self, service: str) -> None:
        """Record that a request for a service has arrived."""
        self._last_requested_at[service] = now()

    def report_and_request_ages(
        self, target: Target, moment: float
    ) -> tuple[float, float]:
        """Return the age of a target's load report and of its service's last request.

        Parameters
        ----------
        target : Target
        moment : float
            Monotonic seconds.

        Returns
        -------
        tuple of float
            Seconds since the last report, and since this VM's last request for the
            target's service.
        """
        loads = self.for_service(target.service)
        load = loads.load(target.name, target.slots)
        record_request = self._last_requested_at.get(target.service, float("-inf"))
        return moment - load.reported, moment - record_request

    def apply_report(self, target: Target, active: int, report: LoadReport) -> None:
        """Apply a load report that this VM received from the target.

        Parameters
        ----------
        target : Target
        active : int
            Requests running or queued at the target, without an answered one.
        report : LoadReport
        """
        loads = self.for_service(target.service)
        load = loads.load(target.name, target.slots)
        load.record_report(active, report.slots, report.machine_slowdown, now())
        loads.record_report(load)

    def record_probe_failure(self, target: Target) -> None:
        """Record that a target did not answer a load probe."""
        loads = self.for_service(target.service)
        loads.load(target.name, target.slots).record_failure(now())

    def apply_remote_report(
        self, name: str, active: int, machine_slowdown: float, at: float
    ) -> None:
        """Apply a target's load that another VM received.

        Parameters
        ----------
        name : str
        active : int
            Requests running or queued at the target.
        machine_slowdown : float
        at : float
            Monotonic time of the report; ignored if older than the known report.
        """
        known = self._cluster_view.known.get(name)
        loads = self._by_service.get(known.target.service) if known else None
        if known is None or loads is None:
            return
        load = loads.load(name, known.target.slots)
        if at <= load.reported:
            return
        load.record_report(active, known.target.slots, machine_slowdown, at)
        loads.record_report(load)

    def answer_size(self, kind: str) -> float:
        """Return the mean size in bytes of the answers to a request kind.

        Parameters
        ----------
        kind : str
            Name of the route.
        """
        return self._answer_sizes.get(kind, 0.0)

    def record_outcome(self, name: str, failed: bool) -> None:
        """Record the outcome of a request of any VM at a target.

        Parameters
        ----------
        name : str
        failed : bool
        """
        known = self._cluster_view.known.get(name)
        if known is None:
            return
        loads = self.for_service(known.target.service)
        load = loads.load(name, known.target.slots)
        if failed:
            load.record_shared_failure(now())
        else:
            load.record_shared_success()

    def non_ejected(self, service: str, names: list[str]) -> list[str]:
        """Return the targets that are not ejected for failures.

        Parameters
        ----------
        service : str
        names : list of str
            Targets of the service.
        """
        loads, known = self.for_service(service), self._cluster_view.known
        return [
            name
            for name in names
            if loads.load(name, known[name].target.slots).ejected_until <= now()
        ]

    def find(self, service: str) -> ServiceLoads | None:
        """Return the loads of a service, or None before its first request."""
        return self._by_service.get(service)

    def service_seconds(self, service: str, name: str, kind: str) -> float:
        """Return a target's expected service time in seconds for a request kind.

        Parameters
        ----------
        service, name : str
            Service and name of the target.
        kind : str
            Name of the request's route.
        """
        return self.for_service(service).service_seconds(name, kind, now())

    def record_answer(
        self,
        target: str,
        kind: str,
        service: str,
        answer: TargetAnswer,
        seconds: float,
    ) -> None:
        """Record the outcome, service time and load report of an answer.

        Parameters
        ----------
        target : str
        kind : str
            Name of the request's route.
        service : str
        answer : TargetAnswer
        seconds : float
            Seconds from sending the request to the answer.
        """
        loads = self.for_service(service)
        load = loads.load(target, 1)
        moment = now()
        known = self._cluster_view.known.get(target)
        report = build_load_report(answer)
        if answer.load is not None and report is not None and known is not None:
            self.apply_report(known.target, report.running, answer.load)
        if is_failure(answer):
            load.record_failure(moment)
            return
        load.record_success(moment)
        size = self._answer_sizes.get(kind, float(len(answer.body)))
        self._answer_sizes[kind] = size + ANSWER_SIZE_GAIN * (len(answer.body) - size)
        if answer.load is None or not answer.load.waiting:
            loads.record_service_time(target, kind, seconds / load.machine_slowdown)


def is_failure(answer: TargetAnswer) -> bool:
    """Tell whether an answer counts as a failure of its target."""
    return answer.not_run or answer.misdirected or answer.status >= SERVER_ERROR


def build_load_report(answer: TargetAnswer) -> LoadReport | None:
    """Return the load reported with an answer, without the answered request."""
    report = answer.load
    if report is None:
        return None
    # The target counts the answered request as still running.
    active = max(0, report.running + report.waiting - 1)
    return LoadReport(active, 0, report.slots, report.machine_slowdown)
