"""Record of what targets ran and callers received, and checks for violations."""

from __future__ import annotations

import math
import time
from bisect import bisect_left, bisect_right
from collections import Counter
from operator import attrgetter
from typing import TYPE_CHECKING

from soak.cuts import Cut, CutLedger, Outcome
from soak.notices import NoticeLedger

if TYPE_CHECKING:
    from soak.targets import SoakTarget

# Seconds after an unplanned fault during which it may still cause lost requests.
FAULT_EFFECT_SECONDS = 3.0
# Seconds after SIGTERM by which a request is sent that a planned stop must answer or
# refuse.
SERVED_SECONDS = 2.0
# Statuses of requests with an unknown outcome: connection closed (0), no answer from a
# target (502), and no answer in time (504).
UNKNOWN_OUTCOME_STATUSES = frozenset({0, 502, 504})
# Placeholder for a request without any outcome at the end of the run.
NO_ANSWER = ("", 0, b"", "")
# Seconds for which grants of two targets may appear to overlap: this process records
# both start and end of a grant and may be delayed between them.
GRANT_OVERLAP_SLACK_SECONDS = 0.02
# Prefixes of the identifiers of requests that may run at most once.
UNSAFE_PREFIXES = ("order", "upload")
# Sort key of grants.
_start_of = attrgetter("start")


def build_answer_body(request_id: str, size: int = 0) -> bytes:
    """Return a target's answer body, padded to at least ``size`` bytes."""
    return f"answer to {request_id}".encode().ljust(size, b".")


class Span:
    """Start and end time of a request, a fault or a stop."""

    __slots__ = ("end", "start")

    def __init__(self, start: float, end: float):
        self.start = start
        self.end = end


class Stop:
    """A planned stop of a VM and the exit status of its process."""

    __slots__ = ("span", "status", "vm")

    def __init__(self, vm: str, span: Span, status: int | None):
        self.vm = vm
        self.span = span
        self.status = status


class GrantPeriod:
    """Range of keys granted to one incarnation of a target for a period.

    The period ends when the keys are released, at ``expires_at`` otherwise.
    """

    __slots__ = ("end", "expires_at", "first", "last", "start", "target")

    def __init__(self, target: str, first: int, last: int, start: float, end: float):
        self.target = target
        self.first = first
        self.last = last
        self.start = start
        self.end = self.expires_at = end


class KeyRun:
    """A run of a request for a key at one incarnation of a target."""

    __slots__ = ("incarnation", "key", "request_id", "span", "target")

    def __init__(self, target: SoakTarget, request_id: str, key: int):
        self.target = target.name
        self.incarnation = target.incarnation
        self.request_id = request_id
        self.key = key
        self.span = Span(time.monotonic(), math.inf)


class FatalRun:
    """A run that ends one incarnation of a target."""

    __slots__ = ("incarnation", "moment", "target")

    def __init__(self, target: SoakTarget):
        self.target = target.name
        self.incarnation = target.incarnation
        self.moment = time.monotonic()


class Ledger:
    """Record of runs, requests, grants, stops and faults, checked after the run."""

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = {}
        self.answers: dict[str, tuple[str, int, bytes, str]] = {}
        self.stops: list[Stop] = []
        self.notices = NoticeLedger()
        self.cuts = CutLedger()
        # Descriptions of processes that needed more memory than they have.
        self.memory_excesses: list[str] = []
        # Runs of requests that end their targets.
        self.fatal_runs: list[FatalRun] = []
        self._vms: dict[str, str] = {}
        self._spans: dict[str, Span] = {}
        self._sizes: dict[str, int] = {}
        # When the kernel took the last byte of each request.
        self._sent_at: dict[str, float] = {}
        # When a target last started to run each request.
        self._run_starts: dict[str, float] = {}
        self._unplanned_faults: list[Span] = []
        # Those of them that are no cuts between VMs and targets.
        self._other_faults: list[Span] = []
        self._current_grants: dict[tuple[str, int], list[GrantPeriod]] = {}
        self._past_grants: list[GrantPeriod] = []
        self._key_runs: list[KeyRun] = []

    def record_run(self, target: SoakTarget, request_id: str, key: str | None) -> None:
        """Record that a target started to run a request."""
        self.runs.setdefault(request_id, []).append(target.name)
        self._run_starts[request_id] = time.monotonic()
        if key is not None:
            self._key_runs.append(KeyRun(target, request_id, int(key)))

    def record_fatal_run(self, target: SoakTarget) -> None:
        """Record that a target runs a request that ends it."""
        self.fatal_runs.append(FatalRun(target))

    def record_run_end(self, target: SoakTarget, request_id: str) -> None:
        """Record that a target has run a request to its end."""
        for run in self._open_runs(target):
            if run.request_id == request_id:
                run.span.end = time.monotonic()

    def running_keys(self, target: SoakTarget) -> list[int]:
        """Return the keys of the requests that a target runs."""
        return [run.key for run in self._open_runs(target)]

    def _open_runs(self, target: SoakTarget) -> list[KeyRun]:
        """Return the runs in progress of a target's current incarnation."""
        identity = target.name, target.incarnation
        return [
            run
            for run in self._key_runs
            if run.span.end == math.inf and (run.target, run.incarnation) == identity
        ]

    def record_request(self, request_id: str, size: int, vm: str = "") -> None:
        """Record that a caller requests an answer of at least ``size`` bytes."""
        self.notices.record_request(request_id, vm)
        self._vms[request_id] = vm
        self._spans[request_id] = Span(time.monotonic(), math.inf)
        self._sizes[request_id] = size

    def record_sent(self, request_id: str) -> None:
        """Record that a caller has sent a whole request."""
        self._sent_at[request_id] = time.monotonic()

    def record_not_expected(self, request_id: str) -> None:
        """Record that a request went out behind one whose answer ended the connection.

        A server processes no request after it has announced the close (RFC 9112).
        """
        self._sent_at.pop(request_id, None)

    def record_answer(
        self, request_id: str, method: str, status: int, body: bytes, signature: str
    ) -> None:
        """Record the outcome of a request.

        Status 0 stands for a closed connection; the body is then the partial answer
        received before.
        """
        self.answers[request_id] = (method, status, body, signature)
        if request_id in self._spans:
            self._spans[request_id].end = time.monotonic()

    def record_unplanned_fault(
        self, start: float, end: float, is_cut: bool = False
    ) -> None:
        """Record an unplanned fault; ``is_cut`` if it only cuts VMs from targets."""
        self._unplanned_faults.append(Span(start, end))
        if not is_cut:
            self._other_faults.append(Span(start, end))

    def record_stop(self, vm: str, start: float, status: int | None) -> None:
        """Record a planned stop and the exit status; None if the process still ran."""
        self.stops.append(Stop(vm, Span(start, time.monotonic()), status))

    def record_grants(self, target: SoakTarget) -> None:
        """Record the grants that a target holds from now on."""
        now = time.monotonic()
        self._end_grants(target, now)
        self._current_grants[target.name, target.incarnation] = [
            # The target keeps expired grants, which begin no new period.
            GrantPeriod(target.name, a, b, now, end)
            for a, b, _, end in target.holds
            if end > now
        ]

    def record_target_end(self, target: SoakTarget) -> None:
        """Record the end of a target's incarnation."""
        self._end_grants(target, time.monotonic())
        for run in self._open_runs(target):
            run.span.end = time.monotonic()
        self.notices.record_target_end(target.name)

    def _end_grants(self, target: SoakTarget, now: float) -> None:
        for grant in self._current_grants.pop((target.name, target.incarnation), []):
            grant.end = min(grant.end, now)
            self._past_grants.append(grant)

    def find_violations(self) -> list[str]:
        """Return descriptions of everything that must never happen."""
        return [
            *self._find_repeated_runs(),
            *self._find_refused_runs(),
            *self._find_wrong_answers(),
            *self._find_overlapping_grants(),
            *self._find_grants_of_keys_in_use(),
            *self._find_lost_requests(),
            *self._find_dropped_requests(),
            *self._find_failed_stops(),
            *self.memory_excesses,
            *self.notices.find_violations(),
            *self.cuts.find_violations(self.outcomes(), self._is_disturbed),
        ]

    def count_outcomes(self) -> Counter[int]:
        """Return the number of requests by status."""
        return Counter(status for _, status, _, _ in self.answers.values())

    def outcomes(self) -> list[Outcome]:
        """Return the VM, the time and the status of each request."""
        return [
            Outcome(
                self._vms[request_id],
                span.start,
                self.answers.get(request_id, NO_ANSWER)[1],
            )
            for request_id, span in self._spans.items()
        ]

    def _find_repeated_runs(self) -> list[str]:
        return [
            f"{request_id} ran at {targets}"
            for request_id, targets in self.runs.items()
            if len(targets) > 1
            and self.answers.get(request_id, ("POST",))[0] == "POST"
            and request_id.startswith(UNSAFE_PREFIXES)
        ]

    def _find_refused_runs(self) -> list[str]:
        return [
            f"{request_id} was refused and ran at {self.runs[request_id]}"
            for request_id, (method, status, _, _) in self.answers.items()
            if status in (429, 503) and method == "POST" and request_id in self.runs
        ]

    def _find_wrong_answers(self) -> list[str]:
        return [
            f"{request_id} got {body[:80]!r} and {len(body)} bytes of {signature}"
            for request_id, (_, status, body, signature) in self.answers.items()
            if status == 200
            and (
                body != build_answer_body(request_id, self._sizes.get(request_id, 0))
                or signature.partition(".")[0] not in self.runs.get(request_id, [])
            )
        ]

    def _find_lost_requests(self) -> list[str]:
        """Return lost requests that ran or were partly answered.

        A planned stop must cause none of these. A request that reached no target and
        got no part of an answer may be retried by its caller.
        """
        return [
            f"{request_id} sent at {span.start:.2f}, lost at {span.end:.2f}: "
            f"ran at {self.runs.get(request_id)} "
            f"from {self._run_starts.get(request_id, math.nan):.2f}, "
            f"ended with {status} and {len(body)} bytes"
            for request_id, span in self._spans.items()
            for _, status, body, _ in [self.answers.get(request_id, NO_ANSWER)]
            if status in UNKNOWN_OUTCOME_STATUSES
            and (body or request_id in self.runs)
            and self._is_far_from_faults(span)
        ]

    def _find_dropped_requests(self) -> list[str]:
        """Return whole requests that a planned stop left without any answer."""
        return [
            f"{request_id} sent at {sent_at:.2f}, dropped at {span.end:.2f} by "
            f"{stop.vm}, told to stop at {stop.span.start:.2f}"
            for stop in self.stops
            for request_id, sent_at in self._sent_at.items()
            for span in [self._spans[request_id]]
            if self._vms[request_id] == stop.vm
            and span.end > stop.span.start
            and sent_at <= stop.span.start + SERVED_SECONDS
            and self.answers.get(request_id, NO_ANSWER)[1] == 0
            and self._is_far_from_faults(span)
        ]

    def _find_failed_stops(self) -> list[str]:
        return [
            f"{stop.vm} told to stop at {stop.span.start:.2f} ended with {stop.status}"
            for stop in self.stops
            if stop.status != 0 and self._is_far_from_faults(stop.span)
        ]

    def _is_far_from_faults(self, span: Span) -> bool:
        return not any(
            fault.start <= span.end and span.start <= fault.end + FAULT_EFFECT_SECONDS
            for fault in self._unplanned_faults
        )

    def _is_disturbed(self, cut: Cut) -> bool:
        """Tell whether another fault than cuts may have harmed requests in a cut."""
        others = [*self._other_faults, *(stop.span for stop in self.stops)]
        return any(
            span.start <= cut.end and cut.start <= span.end + FAULT_EFFECT_SECONDS
            for span in others
        )

    def _grants_by_start(self) -> list[GrantPeriod]:
        """Return all grants, ordered by their start."""
        grants = [
            *self._past_grants,
            *(h for hs in self._current_grants.values() for h in hs),
        ]
        return sorted(grants, key=_start_of)

    def _find_overlapping_grants(self) -> list[str]:
        grants = self._grants_by_start()
        violations, current = [], []
        for grant in grants:
            current = [
                other
                for other in current
                if other.end > grant.start + GRANT_OVERLAP_SLACK_SECONDS
            ]
            violations += [
                f"keys {max(grant.first, other.first)} to "
                f"{min(grant.last, other.last)} "
                f"held by {other.target} and {grant.target} for "
                f"{min(grant.end, other.end) - grant.start:.2f} s at {grant.start:.2f}"
                for other in current
                if other.target != grant.target
                and grant.first <= other.last
                and other.first <= grant.last
                and min(grant.end, other.end)
                > grant.start + GRANT_OVERLAP_SLACK_SECONDS
            ]
            current.append(grant)
        return violations

    def _find_grants_of_keys_in_use(self) -> list[str]:
        """Return grants of keys that another target still works on.

        Work may go on until the grant expires under which it was begun; a release is
        not complete before it ends.
        """
        grants = self._grants_by_start()
        return [
            f"{run.request_id} for key {run.key} ran at {run.target} until "
            f"{run.span.end:.2f}, {other.target} was granted the key at "
            f"{other.start:.2f}"
            for run in self._key_runs
            for other in self._grants_to_others(run, grants)
            if other.start + GRANT_OVERLAP_SLACK_SECONDS
            < min(run.span.end, self._held_until(run, grants))
        ]

    def _grants_to_others(
        self, run: KeyRun, grants: list[GrantPeriod]
    ) -> list[GrantPeriod]:
        """Return the grants of a run's key to other targets that begin during the run.

        The search is binary: comparing all runs with all grants takes longer than the
        soak, whose test would then time out without a verdict.
        """
        first = bisect_right(grants, run.span.start, key=_start_of)
        end = bisect_left(grants, run.span.end, lo=first, key=_start_of)
        return [
            grant
            for grant in grants[first:end]
            if grant.target != run.target and grant.first <= run.key <= grant.last
        ]

    def _held_until(self, run: KeyRun, grants: list[GrantPeriod]) -> float:
        """Return when the last grant of a run's key to its target would expire."""
        return max(
            (
                grant.expires_at
                for grant in grants
                if grant.target == run.target
                and grant.first <= run.key <= grant.last
                and grant.start <= run.span.end
            ),
            default=-math.inf,
        )
