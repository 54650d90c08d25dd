"""Getting a configuration accepted, once, and told of in the history."""

from __future__ import annotations

from asyncio import sleep as asyncio_sleep
from time import time
from typing import TYPE_CHECKING
from uuid import uuid4

from berylstage_platform.errors import PlatformError

from berylstage_cli.errors import StoreUnreachable
from berylstage_cli.history import History, RevisionSummary
from berylstage_cli.retries import Retries, Sleep
from berylstage_cli.write import (
    Accepted,
    ConfigurationWrite,
    Published,
    read_published,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_platform.store import Store
    from berylstage_sheet.configuration import Configuration
    from berylstage_sheet.difference import Change


class Publisher:
    """Writes configurations to the store.

    Parameters
    ----------
    store : Store
    sleep : callable, optional
        Waits for some seconds.
    clock : callable, optional
        Unix time in seconds.
    """

    def __init__(
        self,
        store: Store,
        sleep: Sleep = asyncio_sleep,
        clock: Callable[[], float] = time,
    ):
        self._store = store
        self._retries = Retries(sleep)
        self._clock = clock
        self.history = History(store)

    async def current(self) -> Published:
        """Return the configuration in force.

        Returns
        -------
        Published

        Raises
        ------
        StoreUnreachable
            The store did not answer after several attempts.
        """
        try:
            return await read_published(self._store, self._retries)
        except PlatformError as exc:
            raise StoreUnreachable(
                f"the store did not answer ({exc}); check --platform and try again"
            ) from exc

    async def publish(
        self, cfg: Configuration, base: Published, changes: list[Change]
    ) -> Accepted:
        """Write a configuration on top of the one that it is based on.

        Parameters
        ----------
        cfg : Configuration
            Gets the next revision and a write id of its own.
        base : Published
            What the operator's changes were made on.
        changes : list of Change
            What the history tells of it.

        Returns
        -------
        Accepted

        Raises
        ------
        RevisionConflict
            Another sheet was accepted first; nothing was written.
        StoreUnreachable
            The store did not take the write; nothing was written.
        UnsettledWrite
            The write may have taken effect.
        """
        # Also a sheet that restores old content takes the next number: VMs never go
        # back to a lower revision, so a reused one would reach none of them.
        cfg.revision = base.revision + 1
        cfg.write_id = uuid4().hex
        await self._record_base(base)
        write = ConfigurationWrite(self._store, self.history, self._retries, cfg, base)
        accepted = await write.run()
        accepted.recorded = await self._record(cfg, changes)
        return accepted

    async def _record_base(self, base: Published) -> None:
        """Make sure that the history has the revision about to be replaced."""
        # A writer whose answer was lost looks for its write id. Once its revision is
        # replaced, only the history has it; if nobody had recorded it, that writer
        # would report a conflict although its sheet was accepted.
        if base.cfg is None:
            return
        cfg = base.cfg
        try:
            summary = RevisionSummary(cfg.revision, cfg.author, cfg.write_id)
            await self.history.record(summary)
        except PlatformError as exc:
            raise StoreUnreachable(
                f"the store did not answer ({exc}); nothing was written, try again"
            ) from exc

    async def _record(self, cfg: Configuration, changes: list[Change]) -> bool:
        """Add an accepted revision to the history and tell whether that worked."""
        summary = RevisionSummary(
            cfg.revision,
            cfg.author,
            cfg.write_id,
            int(self._clock() * 1000),
            [str(change) for change in changes],
            len(changes),
        )
        try:
            await self.history.record(summary)
        except PlatformError:
            # The sheet is accepted all the same, and the next writer records it.
            return False
        return True
