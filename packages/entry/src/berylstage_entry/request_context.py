"""One request on its way through the router, and how it ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_entry.permit_client import Permit
    from berylstage_entry.protocols import CallerRequest, TargetAnswer
    from berylstage_entry.routes import Route
    from berylstage_entry.services import Service


class RoutedAnswer:
    """A request that a target has answered, and how it went.

    Parameters
    ----------
    answer : TargetAnswer
    target : str
    attempts : int
    waited : float
        Seconds that it waited for its turns.
    """

    __slots__ = ("answer", "attempts", "target", "waited")

    def __init__(
        self, answer: TargetAnswer, target: str, attempts: int, waited: float = 0.0
    ):
        self.answer = answer
        self.target = target
        self.attempts = attempts
        self.waited = waited


class RequestContext:
    """One request on its way.

    Parameters
    ----------
    req : CallerRequest
    route : Route
    service : Service
    deadline : float
        Monotonic seconds until which a target may answer.
    wanted : float
        Monotonic seconds until which its answer is of full use.
    """

    __slots__ = (
        "attempts",
        "deadline",
        "failure",
        "lost",
        "pause",
        "req",
        "route",
        "service",
        "shed",
        "tried",
        "turn",
        "turned_away",
        "waited",
        "wanted",
    )

    def __init__(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        deadline: float,
        wanted: float,
    ):
        self.req = req
        self.route = route
        self.service = service
        self.deadline = deadline
        self.wanted = wanted
        # Its turn at the target, to be given back; None while it has none.
        self.turn: Permit | None = None
        self.waited = 0.0
        # Times that a target turned it away although it had its turn there.
        self.shed = 0
        self.attempts = 0
        self.tried: set[str] = set()
        # Reason of the last attempt that may have run; empty while none has.
        self.lost = ""
        # Owner of its key that did not take it, and the revision of the assignment that
        # named it; seconds before it is asked again.
        self.turned_away: tuple[str, int] = ("", -1)
        self.pause = 0.0
        # A target's own failure, which the caller gets when nothing better comes.
        self.failure: RoutedAnswer | None = None

    def trace(self) -> str:
        """Return where the request has been, for the log."""
        tried = f" tried {','.join(sorted(self.tried))}" if self.tried else ""
        return f"waited {self.waited:.3f} s{tried}"

    def left(self, moment: float) -> float:
        """Return the seconds that are left for a target."""
        return self.deadline - moment
