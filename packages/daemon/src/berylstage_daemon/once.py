"""Requests that may not be repeated: each runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_daemon.answers import Answer
    from berylstage_daemon.requests import CallerRequest


class Once:
    """Runs requests that may not be repeated."""

    async def run(
        self,
        req: CallerRequest,
        shard: str,
        work: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Run a request.

        Parameters
        ----------
        req : CallerRequest
        shard : str
        work : callable
            Sends the request and returns its end.

        Returns
        -------
        Answer
        """
        return await work()
