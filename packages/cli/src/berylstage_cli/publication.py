"""Getting a configuration accepted, once, by compare-and-swap."""

from __future__ import annotations

from asyncio import sleep as asyncio_sleep
from collections.abc import Awaitable, Callable
from time import time
from typing import TypeVar
from uuid import uuid4

from berylstage_platform.errors import (
    PlatformError,
    RateLimited,
    StoreUnavailable,
    VersionConflict,
)
from berylstage_platform.store import Store
from berylstage_sheet.configuration import CONFIGURATION_KEY, Configuration
from berylstage_sheet.difference import Change

from berylstage_cli.errors import RevisionConflict, StoreUnreachable, UnsettledWrite
from berylstage_cli.history import History, RevisionSummary

T = TypeVar("T")

# Five writes over about 6 s outlast a short overload of the store; a longer outage is
# told to the operator, who can do more about it than a client that waits.
WRITE_ATTEMPTS = 5
READ_BACK_ATTEMPTS = 6
FIRST_PAUSE = 0.2
MAX_PAUSE = 3.0


class Published:
    """The configuration in force, as the store holds it.

    Parameters
    ----------
    cfg : Configuration or None
        None when no sheet was ever accepted.
    version : int
        Version of the store's key, for compare-and-swap.
    """

    __slots__ = ("cfg", "version")

    def __init__(self, cfg: Configuration | None, version: int):
        self.cfg = cfg
        self.version = version

    @property
    def revision(self) -> int:
        """Revision in force; 0 when there is none."""
        return self.cfg.revision if self.cfg else 0


class Accepted:
    """A configuration that the store has accepted.

    Parameters
    ----------
    cfg : Configuration
    superseded_by : Configuration or None
        A later configuration that was accepted before the answer was settled.
    recorded : bool
        Whether the history has the revision with its changes.
    """

    __slots__ = ("cfg", "superseded_by", "recorded")

    def __init__(
        self,
        cfg: Configuration,
        superseded_by: Configuration | None = None,
        recorded: bool = True,
    ):
        self.cfg = cfg
        self.superseded_by = superseded_by
        self.recorded = recorded


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
        sleep: Callable[[float], Awaitable[None]] = asyncio_sleep,
        clock: Callable[[], float] = time,
    ):
        self._store = store
        self._sleep = sleep
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
            return await self._read()
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
        cfg.revision = base.revision + 1
        cfg.write_id = uuid4().hex
        await self._record_base(base)
        accepted = await _Write(self, cfg, base).run()
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

    async def _read(self) -> Published:
        """Read the configuration."""
        entry = await self._patiently(lambda: self._store.read(CONFIGURATION_KEY))
        cfg = Configuration.from_json(entry.value) if entry.version else None
        return Published(cfg, entry.version)

    async def _patiently(self, read: Callable[[], Awaitable[T]]) -> T:
        """Read, again after a pause if the store is silent."""
        for attempt in range(1, READ_BACK_ATTEMPTS):
            try:
                return await read()
            except (StoreUnavailable, RateLimited):
                await self._pause(attempt)
        return await read()

    async def _pause(self, attempt: int) -> None:
        """Wait longer after each attempt."""
        await self._sleep(min(FIRST_PAUSE * 2 ** (attempt - 1), MAX_PAUSE))


class _Write:
    """One configuration on its way into the store.

    Parameters
    ----------
    publisher : Publisher
    cfg : Configuration
        With its revision and write id.
    base : Published
    """

    def __init__(self, publisher: Publisher, cfg: Configuration, base: Published):
        self._publisher = publisher
        self._cfg = cfg
        self._base = base
        self._raw = cfg.to_json()
        # Whether the answer to an attempt was lost. From then on a conflict may be
        # with our own write, and silence is not proof that nothing was written.
        self._lost = False

    async def run(self) -> Accepted:
        """Write until the outcome is known or the attempts are spent."""
        cause: PlatformError | None = None
        for attempt in range(1, WRITE_ATTEMPTS + 1):
            try:
                await self._publisher._store.write(
                    CONFIGURATION_KEY, self._raw, self._base.version
                )
                return Accepted(self._cfg)
            except RateLimited as exc:
                cause = exc
            except StoreUnavailable as exc:
                cause = exc
                self._lost = True
            except VersionConflict as exc:
                cause = exc
            except PlatformError as exc:
                raise self._failure(exc) from exc
            if not isinstance(cause, RateLimited):
                settled = await self._settle()
                if settled is not None:
                    return settled
            await self._publisher._pause(attempt)
        raise self._failure(cause) from cause

    async def _settle(self) -> Accepted | None:
        """Find out by reading whether the write took effect.

        Returns
        -------
        Accepted or None
            None when the store still holds the base: the same write may be sent
            again. Should a late copy of it take effect first, the compare-and-swap
            refuses the second one, and the write id tells that it is ours.
        """
        try:
            current = await self._publisher._read()
        except PlatformError as exc:
            raise self._failure(exc) from exc
        if current.cfg is not None and current.cfg.write_id == self._cfg.write_id:
            return Accepted(self._cfg)
        if current.version == self._base.version:
            return None
        if self._lost and await self._was_replaced(current):
            return Accepted(self._cfg, superseded_by=current.cfg)
        raise RevisionConflict(self._base.revision, current.cfg)

    async def _was_replaced(self, current: Published) -> bool:
        """Tell whether the write took effect and a later sheet replaced it."""
        if current.revision <= self._cfg.revision:
            return False
        try:
            summary = await self._publisher._patiently(
                lambda: self._publisher.history.find(self._cfg.revision)
            )
        except PlatformError as exc:
            raise self._failure(exc) from exc
        if summary is None:
            raise UnsettledWrite(
                self._cfg.revision,
                self._cfg.write_id,
                "the history no longer has that revision",
            )
        return summary.write_id == self._cfg.write_id

    def _failure(self, cause: PlatformError | None) -> Exception:
        """Return the error for a write that did not get through."""
        if self._lost:
            return UnsettledWrite(self._cfg.revision, self._cfg.write_id, str(cause))
        return StoreUnreachable(
            f"the store did not take the write ({cause}); nothing was written, "
            "try again"
        )
