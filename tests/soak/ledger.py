"""What targets did and callers were told, and what of it must never be."""

from __future__ import annotations

import math
import time
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.targets import SoakTarget

# Seconds after an unplanned fault in which its traces may still cost requests.
AFTERMATH_S = 3.0
# What callers are told of requests whose end nobody knows: a closed connection, no
# answer of a target, and none in time.
UNKNOWN_ENDS = frozenset({0, 502, 504})
# What stands for an answer where a caller was told nothing by the end of the play.
UNTOLD = ("", 0, b"", "")
# Seconds for which two targets may seem to hold a key, since the two ends of a hold are
# written down by one process that may be held up between them.
CLOCK_SLACK = 0.02


def answer_body(request_id: str, size: int = 0) -> bytes:
    """Return what targets answer to a request, of that size at least."""
    return f"answer to {request_id}".encode().ljust(size, b".")


class Span:
    """A stretch of time: of a request, a fault, or a stop."""

    __slots__ = ("end", "start")

    def __init__(self, start: float, end: float):
        self.start = start
        self.end = end


class Stop:
    """A planned stop of a VM, and the status with which its process ended."""

    __slots__ = ("span", "status", "vm")

    def __init__(self, vm: str, span: Span, status: int | None):
        self.vm = vm
        self.span = span
        self.status = status


class Hold:
    """Keys that one life of a target held for a while."""

    __slots__ = ("end", "first", "last", "start", "target")

    def __init__(self, target: str, first: int, last: int, start: float, end: float):
        self.target = target
        self.first = first
        self.last = last
        self.start = start
        self.end = end


class Ledger:
    """Written by targets and callers, read at the end."""

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = {}
        self.told: dict[str, tuple[str, int, bytes, str]] = {}
        self.stops: list[Stop] = []
        self._spans: dict[str, Span] = {}
        self._sizes: dict[str, int] = {}
        self._troubles: list[Span] = []
        self._open: dict[tuple[str, int], list[Hold]] = {}
        self._past: list[Hold] = []

    def ran(self, target: SoakTarget, request_id: str, key: str | None) -> None:
        """Note that a target began to work on a request."""
        self.runs.setdefault(request_id, []).append(target.name)

    def asked(self, request_id: str, size: int) -> None:
        """Note that a caller asks for an answer of that size at least."""
        self._spans[request_id] = Span(time.monotonic(), math.inf)
        self._sizes[request_id] = size

    def answered(
        self, request_id: str, method: str, status: int, body: bytes, mark: str
    ) -> None:
        """Note what a caller was told.

        Status 0 stands for a connection that closed; the body then is what had come of
        the answer.
        """
        self.told[request_id] = (method, status, body, mark)
        if request_id in self._spans:
            self._spans[request_id].end = time.monotonic()

    def troubled(self, start: float, end: float) -> None:
        """Note an unplanned fault."""
        self._troubles.append(Span(start, end))

    def stopped(self, vm: str, start: float, status: int | None) -> None:
        """Note a planned stop, and the status of the process; None if it still ran."""
        self.stops.append(Stop(vm, Span(start, time.monotonic()), status))

    def held(self, target: SoakTarget) -> None:
        """Note what a target holds from now on."""
        now = time.monotonic()
        self._close(target, now)
        self._open[target.name, target.life] = [
            Hold(target.name, a, b, now, end) for a, b, _, end in target.holds
        ]

    def ended(self, target: SoakTarget) -> None:
        """Note the end of a life."""
        self._close(target, time.monotonic())

    def _close(self, target: SoakTarget, now: float) -> None:
        for hold in self._open.pop((target.name, target.life), []):
            hold.end = min(hold.end, now)
            self._past.append(hold)

    def faults(self) -> list[str]:
        """Return what must never be."""
        return [
            *self._twice(),
            *self._untrue(),
            *self._mixed(),
            *self._doubly_held(),
            *self._lost(),
            *self._not_ended(),
        ]

    def outcomes(self) -> Counter[int]:
        """Return how many requests ended with which status."""
        return Counter(status for _, status, _, _ in self.told.values())

    def _twice(self) -> list[str]:
        return [
            f"{request_id} ran at {targets}"
            for request_id, targets in self.runs.items()
            if len(targets) > 1
            and self.told.get(request_id, ("POST",))[0] == "POST"
            and request_id.startswith("order")
        ]

    def _untrue(self) -> list[str]:
        return [
            f"{request_id} was refused and ran at {self.runs[request_id]}"
            for request_id, (method, status, _, _) in self.told.items()
            if status in (429, 503) and method == "POST" and request_id in self.runs
        ]

    def _mixed(self) -> list[str]:
        return [
            f"{request_id} got {body[:80]!r} and {len(body)} bytes of {mark}"
            for request_id, (_, status, body, mark) in self.told.items()
            if status == 200
            and (
                body != answer_body(request_id, self._sizes.get(request_id, 0))
                or mark.partition(".")[0] not in self.runs.get(request_id, [])
            )
        ]

    def _lost(self) -> list[str]:
        """Return requests that ran, or got a part of an answer, for nothing.

        A stop that was planned must cost none of them. What was neither handed to a
        target nor answered in part may be asked again by its caller.
        """
        return [
            f"{request_id} lost at {span.end:.2f}: ran at {self.runs.get(request_id)}, "
            f"ended with {status} and {len(body)} bytes"
            for request_id, span in self._spans.items()
            for _, status, body, _ in [self.told.get(request_id, UNTOLD)]
            if status in UNKNOWN_ENDS
            and (body or request_id in self.runs)
            and self._is_calm(span)
        ]

    def _not_ended(self) -> list[str]:
        return [
            f"{stop.vm} told to stop at {stop.span.start:.2f} ended with {stop.status}"
            for stop in self.stops
            if stop.status != 0 and self._is_calm(stop.span)
        ]

    def _is_calm(self, span: Span) -> bool:
        return not any(
            trouble.start <= span.end and span.start <= trouble.end + AFTERMATH_S
            for trouble in self._troubles
        )

    def _doubly_held(self) -> list[str]:
        holds = [*self._past, *(h for hs in self._open.values() for h in hs)]
        holds.sort(key=lambda hold: hold.start)
        found, live = [], []
        for hold in holds:
            live = [other for other in live if other.end > hold.start + CLOCK_SLACK]
            found += [
                f"keys {max(hold.first, other.first)} to {min(hold.last, other.last)} "
                f"held by {other.target} and {hold.target} for "
                f"{min(hold.end, other.end) - hold.start:.2f} s at {hold.start:.2f}"
                for other in live
                if other.target != hold.target
                and hold.first <= other.last
                and other.first <= hold.last
                and min(hold.end, other.end) > hold.start + CLOCK_SLACK
            ]
            live.append(hold)
        return found
