"""Trying again after a pause that grows."""

from __future__ import annotations

from asyncio import sleep as asyncio_sleep
from collections.abc import Awaitable, Callable
from typing import TypeVar

from berylstage_platform.errors import RateLimited, StoreUnavailable

T = TypeVar("T")
Sleep = Callable[[float], Awaitable[None]]

# Six reads over about 6 s outlast a short overload of the store; a longer outage is
# told to the operator, who can do more about it than a client that waits.
READ_ATTEMPTS = 6
FIRST_PAUSE = 0.2
MAX_PAUSE = 3.0


class Retries:
    """Reads again and pauses between attempts.

    Parameters
    ----------
    sleep : callable, optional
        Waits for some seconds.
    """

    def __init__(self, sleep: Sleep = asyncio_sleep):
        self._sleep = sleep

    async def pause(self, attempt: int) -> None:
        """Wait, the longer the more attempts were made.

        Parameters
        ----------
        attempt : int
            Number of the attempt that failed, from 1.
        """
        await self._sleep(min(FIRST_PAUSE * 2 ** (attempt - 1), MAX_PAUSE))

    async def read(self, read: Callable[[], Awaitable[T]]) -> T:
        """Read until the store answers or the attempts are spent.

        Parameters
        ----------
        read : callable
            Makes one attempt; reading has no effect, so it may be repeated.

        Returns
        -------
        object
            What the first attempt that was answered returned.

        Raises
        ------
        PlatformError
            The last attempt was not answered either.
        """
        for attempt in range(1, READ_ATTEMPTS):
            try:
                return await read()
            except (StoreUnavailable, RateLimited):
                await self.pause(attempt)
        return await read()
