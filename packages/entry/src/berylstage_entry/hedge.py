"""Sends a request that hangs a second time, through another VM.

The first attempt goes on: what looks like a lost link may be a delay of this VM, so the
target may be about to run the request. The first answer of a target that has run it
counts. That one attempt is rejected does not mean that the other one has not run.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_transfers.errors import AnswerLost, CallFailed, NeverSent
from logbook import Logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_entry.protocols import TargetAnswer
    from berylstage_entry.target_clients import Attempt


log = Logger(__name__)


class HedgeRejected(NeverSent):
    """The target has rejected the second attempt, which has not run."""


class Hedge:
    """The second attempt of one request, if there is any.

    Parameters
    ----------
    relay : callable
        Sends the request through another VM.
    on_unsent : callable
        Called if no other VM could send it.
    """

    __slots__ = ("_on_unsent", "_relay", "_task")

    def __init__(
        self,
        relay: Callable[[], Awaitable[TargetAnswer]],
        on_unsent: Callable[[], None],
    ):
        self._relay = relay
        self._on_unsent = on_unsent
        self._task: asyncio.Task[TargetAnswer] | None = None

    @property
    def is_started(self) -> bool:
        """Whether there is a second attempt."""
        return self._task is not None

    def start(self, attempt: Attempt) -> None:
        """Start the second attempt, whose answer ends the first one."""
        self._task = asyncio.create_task(self._send(attempt))
        # An error that nobody waits for is no fault.
        self._task.add_done_callback(_ignore_result)

    async def _send(self, attempt: Attempt) -> TargetAnswer:
        try:
            answer = await self._relay()
        except NeverSent:
            self._on_unsent()
            raise
        if is_rejection(answer):
            raise HedgeRejected("the target has rejected the second attempt")
        attempt.abort("another VM has returned the answer")
        return answer

    async def confirm(self, answer: TargetAnswer) -> TargetAnswer:
        """Return the request's answer after the first attempt has got one.

        Parameters
        ----------
        answer : TargetAnswer
            Answer of the first attempt. If it is a rejection, the second attempt is
            waited for, because it may run.

        Raises
        ------
        AnswerLost
            The second attempt may have run, and its answer is lost.
        """
        if self._task is None or not is_rejection(answer):
            return answer
        try:
            return await self._task
        except AnswerLost:
            raise
        except CallFailed:
            return answer

    async def wait(self, exc: CallFailed) -> TargetAnswer:
        """Return the answer of the second attempt after the first one has failed.

        Parameters
        ----------
        exc : CallFailed
            Error of the first attempt.

        Raises
        ------
        NeverSent, AnswerLost
            Neither has an answer, with the error of the one that may have run.
        """
        if self._task is None:
            raise exc
        try:
            return await self._task
        except AnswerLost:
            if isinstance(exc, AnswerLost):
                raise exc from None
            raise
        except CallFailed:
            raise exc from None

    def cancel(self) -> None:
        """End the second attempt; its result is not needed any more."""
        if self._task is not None:
            self._task.cancel()


def is_rejection(answer: TargetAnswer) -> bool:
    """Tell whether an answer says that the request has not run."""
    return answer.not_run or answer.misdirected


def _ignore_result(task: asyncio.Task[TargetAnswer]) -> None:
    """Fetch a task's error, so that the event loop does not report a failed call."""
    exc = None if task.cancelled() else task.exception()
    if exc is not None and not isinstance(exc, CallFailed):
        log.error("second attempt failed", extra={"cause": repr(exc)})
