"""Answer of a target with the way to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_entry.protocols import TargetAnswer


class RoutedAnswer:
    """A target's answer to a request, with details for the log.

    Parameters
    ----------
    answer : TargetAnswer
    target : str
        Name of the target.
    attempts : int
        Attempts that were sent to targets.
    waited : float
        Seconds that the request waited for permits.
    relay : str
        VM that sent it in place of this one; empty for none.
    """

    __slots__ = ("answer", "attempts", "relay", "target", "waited")

    def __init__(
        self,
        answer: TargetAnswer,
        target: str,
        attempts: int,
        waited: float = 0.0,
        relay: str = "",
    ):
        self.answer = answer
        self.target = target
        self.attempts = attempts
        self.waited = waited
        self.relay = relay
