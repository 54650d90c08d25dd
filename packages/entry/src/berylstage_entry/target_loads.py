"""What a VM has seen, and been told, of the load of targets."""

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

# Weight of a new answer in the mean size of its kind.
SIZE_GAIN = 0.05
# Status of an answer that tells of the target's own failure.
SERVER_ERROR = 500


class TargetLoads:
    """Loads of the targets of all services, as far as this VM knows them.

    Parameters
    ----------
    directory : Directory
    rng : Random
    """

    def __init__(self, directory: ClusterView, rng: Random):
        self._directory = directory
        self._rng = rng
        self._by_service: dict[str, ServiceLoads] = {}
        self._seen_revision = -1
        # Mean bytes of the answers to each kind of request.
        self._sizes: dict[str, float] = {}
        # When a request for each service came last.
        self._asked: dict[str, float] = {}

    def of(self, service: str) -> ServiceLoads:
        """Return the loads of the targets of a service."""
        if self._seen_revision != self._directory.revision:
            self._seen_revision = self._directory.revision
            names = set(self._directory.known)
            for loads in self._by_service.values():
                loads.keep(names)
        found = self._by_service.get(service)
        if found is None:
            found = self._by_service[service] = ServiceLoads(self._rng)
        return found

    def asked(self, service: str) -> None:
        """Note that a request for a service has come."""
        self._asked[service] = now()

    def ages(self, target: Target, moment: float) -> tuple[float, float]:
        """Return the seconds since a target told its load, and since it mattered.

        Parameters
        ----------
        target : Target
        moment : float
            Monotonic seconds.

        Returns
        -------
        tuple of float
            Since its last report, and since this VM had a request for its service.
        """
        loads = self.of(target.service)
        load = loads.load(target.name, target.slots)
        asked = self._asked.get(target.service, float("-inf"))
        return moment - load.reported, moment - asked

    def heard(self, target: Target, busy: int, report: LoadReport) -> None:
        """Take in what a target has told this VM of its load.

        Parameters
        ----------
        target : Target
        busy : int
            Requests that run or wait there, one that was just answered not counted.
        report : LoadReport
        """
        loads = self.of(target.service)
        load = loads.load(target.name, target.slots)
        load.told(busy, report.slots, report.pace, now())
        loads.told(load)

    def unheard(self, target: Target) -> None:
        """Note that a target did not answer when it was asked for its load."""
        loads = self.of(target.service)
        loads.load(target.name, target.slots).failed(now())

    def told_of(self, name: str, busy: int, pace: float, at: float) -> None:
        """Take in what another VM has heard of the load of a target.

        Parameters
        ----------
        name : str
        busy : int
            Requests that run or wait there.
        pace : float
        at : float
            When it was heard. What is older than what this VM knows is passed over.
        """
        known = self._directory.known.get(name)
        loads = self._by_service.get(known.target.service) if known else None
        if known is None or loads is None:
            return
        load = loads.load(name, known.target.slots)
        if at <= load.reported:
            return
        load.told(busy, known.target.slots, pace, at)
        loads.told(load)

    def answer_size(self, kind: str) -> float:
        """Return the mean bytes of the answers to a kind of request.

        Parameters
        ----------
        kind : str
            Name of the route.
        """
        return self._sizes.get(kind, 0.0)

    def told_how(self, name: str, failed: bool) -> None:
        """Take in how a request of some VM went at a target.

        Parameters
        ----------
        name : str
        failed : bool
        """
        known = self._directory.known.get(name)
        if known is None:
            return
        loads = self.of(known.target.service)
        load = loads.load(name, known.target.slots)
        if failed:
            load.struck(now())
        else:
            load.praised()

    def sound(self, service: str, names: list[str]) -> list[str]:
        """Return the targets that are not left out for having failed.

        Parameters
        ----------
        service : str
        names : list of str
            Targets of it.
        """
        loads, known = self.of(service), self._directory.known
        return [
            name
            for name in names
            if loads.load(name, known[name].target.slots).shunned_until <= now()
        ]

    def seen(self, service: str) -> ServiceLoads | None:
        """Return what this VM has seen of a service; None before its first request."""
        return self._by_service.get(service)

    def work(self, service: str, name: str, kind: str) -> float:
        """Return the seconds that a target takes for a request of a kind.

        Parameters
        ----------
        service, name : str
            Of the target.
        kind : str
            Name of the request's route.
        """
        return self.of(service).work(name, kind, now())

    def learn(
        self,
        target: str,
        kind: str,
        service: str,
        answer: TargetAnswer,
        seconds: float,
    ) -> None:
        """Take in what an answer tells of the target that gave it.

        Parameters
        ----------
        target : str
        kind : str
            Name of the request's route.
        service : str
        answer : TargetAnswer
        seconds : float
            From sending to the answer.
        """
        loads = self.of(service)
        load = loads.load(target, 1)
        moment = now()
        known = self._directory.known.get(target)
        report = report_of(answer)
        if answer.load is not None and report is not None and known is not None:
            self.heard(known.target, report.running, answer.load)
        if has_failed(answer):
            load.failed(moment)
            return
        load.worked(moment)
        size = self._sizes.get(kind, float(len(answer.body)))
        self._sizes[kind] = size + SIZE_GAIN * (len(answer.body) - size)
        if answer.load is None or not answer.load.waiting:
            loads.answered(target, kind, seconds / load.pace)


def has_failed(answer: TargetAnswer) -> bool:
    """Tell whether an answer speaks against the target that gave it."""
    return answer.not_run or answer.misdirected or answer.status >= SERVER_ERROR


def report_of(answer: TargetAnswer) -> LoadReport | None:
    """Return what a target has to do beside the request that it answered."""
    told = answer.load
    if told is None:
        return None
    # Its target counts the answered request as still running.
    busy = max(0, told.running + told.waiting - 1)
    return LoadReport(busy, 0, told.slots, told.pace)
