"""Requests of this VM that targets may still run, and targets it sends nothing to.

A target whose port refuses connections may have crashed, or may be leaving and
completing the requests that it has. Only the VMs that sent these know of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.targets import Target

# Time after a request's deadline until which a target may have worked on it: it counts
# the deadline from the arrival.
DEADLINE_MARGIN_SECONDS = 0.2
# Time between two closed connections to different targets within which they count as
# closed by one event, such as a reset of this VM's connections.
SAME_EVENT_SECONDS = 0.2


class UnansweredRequest:
    """A request that ended at this VM before its target had answered it.

    Parameters
    ----------
    ended_at : float
        Monotonic seconds.
    runs_until : float
        Monotonic seconds until which the target may work on it.
    is_closed : bool
        Whether the target's machine closed the connection.
    """

    __slots__ = ("ended_at", "is_closed", "runs_until")

    def __init__(self, ended_at: float, runs_until: float, is_closed: bool):
        self.ended_at = ended_at
        self.runs_until = runs_until
        self.is_closed = is_closed


class SentRequests:
    """Requests without an answer, by the target's name and incarnation."""

    def __init__(self) -> None:
        self._unanswered: dict[tuple[str, int], list[UnansweredRequest]] = {}
        # End of the time for which nothing is sent to a target.
        self._withheld_until: dict[tuple[str, int], float] = {}

    def withhold(self, identity: tuple[str, int], seconds: float) -> None:
        """Send nothing to a target for a time, also over connections that it has."""
        moment = now()
        withheld = {
            i: until for i, until in self._withheld_until.items() if until > moment
        }
        withheld[identity] = max(moment + seconds, withheld.get(identity, moment))
        self._withheld_until = withheld

    def may_send(self, target: Target) -> bool:
        """Tell whether requests may be sent to a target."""
        until = self._withheld_until.get(target.identity)
        return until is None or now() >= until

    def record_unanswered(
        self, target: Target, deadline: float, is_closed: bool
    ) -> None:
        """Record that a request ended before its target had answered it.

        Parameters
        ----------
        target : Target
        deadline : float
            Monotonic seconds at which the request's time ends.
        is_closed : bool
            Whether the target's machine closed the connection.
        """
        moment = now()
        self._prune(moment)
        runs_until = deadline + DEADLINE_MARGIN_SECONDS
        self._unanswered.setdefault(target.identity, []).append(
            UnansweredRequest(moment, runs_until, is_closed)
        )

    def may_run(self, identity: tuple[str, int]) -> bool:
        """Tell whether a target may still run requests that have ended here.

        A process that ends closes its connections. A connection may also be reset on
        the way while the target goes on, so one that was closed together with others
        proves nothing.
        """
        self._prune(now())
        return any(
            not request.is_closed or self._closed_with_others(identity, request)
            for request in self._unanswered.get(identity, ())
        )

    def _closed_with_others(
        self, identity: tuple[str, int], request: UnansweredRequest
    ) -> bool:
        return any(
            other.is_closed
            and abs(other.ended_at - request.ended_at) <= SAME_EVENT_SECONDS
            for known, others in self._unanswered.items()
            if known != identity
            for other in others
        )

    def _prune(self, moment: float) -> None:
        for identity, requests in list(self._unanswered.items()):
            kept = [request for request in requests if request.runs_until > moment]
            if kept:
                self._unanswered[identity] = kept
            else:
                del self._unanswered[identity]
