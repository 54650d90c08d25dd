"""State of a request in the router, and its result."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from berylstage_entry.request_fingerprint import compute_fingerprint

if TYPE_CHECKING:
    from berylstage_entry.permits import Permit
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.quotas import Token
    from berylstage_entry.routed_answer import RoutedAnswer
    from berylstage_entry.routes import Route
    from berylstage_entry.services import Service
    from berylstage_entry.suspect_client import SuspectTrial


class RequestContext:
    """State of a request while the router serves it.

    Parameters
    ----------
    req : CallerRequest
    route : Route
    service : Service
    deadline : float
        Monotonic seconds by which a target must answer.
    soft_deadline : float
        Monotonic seconds by which an answer meets the route's latency objective.
    priority : int
        0 is the most urgent.
    link_seconds : float
        Seconds that an upload's body takes on this VM's link before a target has it.
    """

    __slots__ = (
        "age",
        "attempts",
        "caller_may_return",
        "deadline",
        "_fingerprint",
        "failed_answer",
        "hedged_at",
        "link_seconds",
        "lost_reason",
        "retry_delay",
        "relay",
        "req",
        "route",
        "service",
        "rejections",
        "tried_targets",
        "permit",
        "priority",
        "rejected_by",
        "waited",
        "soft_deadline",
        "target_token",
        "trial",
    )

    def __init__(
        self,
        req: CallerRequest,
        route: Route,
        service: Service,
        deadline: float,
        soft_deadline: float,
        priority: int = 0,
        link_seconds: float = 0.0,
    ):
        self.req = req
        self.route = route
        self.service = service
        self.deadline = deadline
        self.soft_deadline = soft_deadline
        self.priority = priority
        self.link_seconds = link_seconds
        # Permit to send to the target, to be released; None while there is none.
        self.permit: Permit | None = None
        # Token of the limit of the chosen target; None if it has no limit.
        self.target_token: Token | None = None
        # Trial of a request that is suspected of ending targets; None otherwise.
        self.trial: SuspectTrial | None = None
        self._fingerprint: int | None = None
        # Whether its caller has so much time that a refused request should return when
        # there is room for it.
        self.caller_may_return = False
        # Seconds before this attempt at which its caller began, at the latest.
        self.age = 0.0
        self.waited = 0.0
        # Times that a target rejected it although it had a permit.
        self.rejections = 0
        self.attempts = 0
        self.tried_targets: set[str] = set()
        # Why the last attempt that may have been executed failed; empty if none.
        self.lost_reason = ""
        # Owner of the key that rejected the request, with the revision of the
        # assignment that named it, and the seconds before it is tried again.
        self.rejected_by: tuple[str, int] = ("", -1)
        self.retry_delay = 0.0
        # Monotonic seconds at which an attempt that hung was made a second time.
        self.hedged_at = -inf
        # VM that has sent the last attempt in place of this one; empty for none.
        self.relay = ""
        # A target's error answer, returned to the caller if no retry succeeds.
        self.failed_answer: RoutedAnswer | None = None

    @property
    def fingerprint(self) -> int:
        """Hash by which all attempts of the request are recognized."""
        if self._fingerprint is None:
            self._fingerprint = compute_fingerprint(self.service.name, self.req)
        return self._fingerprint

    def describe(self) -> str:
        """Return the time waited, age and targets tried, for the log."""
        tried = (
            f" tried {','.join(sorted(self.tried_targets))}"
            if self.tried_targets
            else ""
        )
        relay = f" via {self.relay}" if self.relay else ""
        age = f" age {self.age:.2f} s" if self.age else ""
        return f"waited {self.waited:.3f} s{age}{tried}{relay}"

    def seconds_left(self, moment: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - moment
