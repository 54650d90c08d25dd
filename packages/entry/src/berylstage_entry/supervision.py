"""Supervision of the tasks that must run as long as the process does."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import Any

# Delay of the first restart, below the interval at which leases and grants are renewed.
MIN_RESTART_DELAY_SECONDS = 0.05
# A task that fails at once each time is restarted no more often than this.
MAX_RESTART_DELAY_SECONDS = 2.0
# After a run of this length the next restart is early again.
STABLE_RUN_SECONDS = 10.0

log = Logger(__name__)


def supervise(name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task that is restarted when it fails.

    An exception ends a task without a sign: the process goes on, reports that it is
    ready, and never does the task's duty again.

    Parameters
    ----------
    name : str
        Name of the duty, for the log.
    run : callable
        Coroutine function with the duty; its state must allow a second call. When it
        returns, the task has ended.

    Returns
    -------
    asyncio.Task
        Cancelling it ends the duty.
    """
    return asyncio.create_task(_run_with_restarts(name, run), name=name)


async def _run_with_restarts(name: str, run: Callable[[], Awaitable[None]]) -> None:
    delay = MIN_RESTART_DELAY_SECONDS
    while True:
        started_at = now()
        try:
            await run()
            return
        except Exception as exc:
            if now() - started_at >= STABLE_RUN_SECONDS:
                delay = MIN_RESTART_DELAY_SECONDS
            log.error(
                "task failed and is restarted",
                exc_info=True,
                extra={"task": name, "cause": describe(exc), "delay": delay},
            )
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RESTART_DELAY_SECONDS)


def log_task_failure(task: asyncio.Task) -> None:
    """Log the exception of a task that should not have failed."""
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        log.error(
            "task failed", extra={"task": task.get_name(), "cause": describe(exc)}
        )


def log_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that no code has handled, as the handler of an event loop."""
    exc = context.get("exception")
    log.error(
        "unhandled error in the event loop",
        exc_info=(type(exc), exc, exc.__traceback__) if exc is not None else None,
        extra={"cause": context.get("message", "")},
    )


def describe(exc: BaseException) -> str:
    """Return the type and the message of an exception."""
    return f"{type(exc).__name__}: {exc}"
