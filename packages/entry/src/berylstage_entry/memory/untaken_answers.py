"""Choice of the callers that are disconnected because they do not take their answers.

Answers the load of many callers that stop reading while their answers fill the memory.
As long as there is memory, each answer waits for its caller, also when it is late.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds for which a caller may take no byte. A lost packet is sent again within 2 s,
# even twice in a row.
STALLED_SECONDS = 5.0
# Seconds after its deadline until which a caller may still take an answer.
LATE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class UntakenAnswer:
    """Answers of one connection that the kernel has not taken yet.

    Attributes
    ----------
    connection : int
        Identifier of the connection.
    size : int
        Bytes.
    last_taken_at : float
        Monotonic seconds at which the caller took a byte last.
    deadline : float
        Monotonic seconds at which the caller stops waiting for its latest answer.
    """

    connection: int
    size: int
    last_taken_at: float
    deadline: float

    def may_be_dropped(self, now: float) -> bool:
        """Tell whether the caller is unlikely to take the answers."""
        return (
            now - self.last_taken_at >= STALLED_SECONDS
            and now - self.deadline >= LATE_SECONDS
        )


def choose_disconnects(
    answers: Iterable[UntakenAnswer], missing: int, now: float
) -> list[UntakenAnswer]:
    """Return the answers whose callers are disconnected.

    Parameters
    ----------
    answers : iterable of UntakenAnswer
    missing : int
        Bytes that must be freed. Nothing is chosen if there are none.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of UntakenAnswer
        Those that have taken nothing for the longest time, up to the missing bytes.
    """
    chosen: list[UntakenAnswer] = []
    for answer in sorted(answers, key=lambda answer: answer.last_taken_at):
        if missing <= 0:
            break
        if answer.may_be_dropped(now):
            chosen.append(answer)
            missing -= answer.size
    return chosen
