"""One configuration on its way into the store, and what became of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_platform.errors import (
    PlatformError,
    RateLimited,
    StoreUnavailable,
    VersionConflict,
)
from berylstage_sheet.configuration import CONFIGURATION_KEY, Configuration

from berylstage_cli.errors import RevisionConflict, StoreUnreachable, UnsettledWrite

if TYPE_CHECKING:
    from berylstage_platform.store import Store

    from berylstage_cli.history import History
    from berylstage_cli.retries import Retries

# Five writes over about 3 s, for the same reason as the reads.
WRITE_ATTEMPTS = 5


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


async def read_published(store: Store, retries: Retries) -> Published:
    """Return the configuration in force.

    Parameters
    ----------
    store : Store
    retries : Retries

    Returns
    -------
    Published

    Raises
    ------
    PlatformError
        The store did not answer.
    """
    entry = await retries.read(lambda: store.read(CONFIGURATION_KEY))
    cfg = Configuration.from_json(entry.value) if entry.version else None
    return Published(cfg, entry.version)


class ConfigurationWrite:
    """The write of one configuration.

    Parameters
    ----------
    store : Store
    history : History
    retries : Retries
    cfg : Configuration
        With its revision and write id.
    base : Published
        What it replaces.
    """

    def __init__(
        self,
        store: Store,
        history: History,
        retries: Retries,
        cfg: Configuration,
        base: Published,
    ):
        self._store = store
        self._history = history
        self._retries = retries
        self._cfg = cfg
        self._base = base
        # Whether the answer to an attempt was lost. From then on a conflict may be
        # with our own write, and silence is not proof that nothing was written.
        self._lost = False

    async def run(self) -> Accepted:
        """Write until the outcome is known or the attempts are spent.

        Returns
        -------
        Accepted

        Raises
        ------
        RevisionConflict, StoreUnreachable, UnsettledWrite
        """
        raw = self._cfg.to_json()
        for attempt in range(1, WRITE_ATTEMPTS + 1):
            try:
                await self._store.write(CONFIGURATION_KEY, raw, self._base.version)
                return Accepted(self._cfg)
            except PlatformError as exc:
                settled = await self._after(exc)
                if settled is not None:
                    return settled
                if attempt == WRITE_ATTEMPTS:
                    raise self._failure(exc) from exc
            await self._retries.pause(attempt)
        raise AssertionError("the last attempt returns or raises")

    async def _after(self, exc: PlatformError) -> Accepted | None:
        """Find out what an attempt that failed did; None when it may be repeated."""
        if isinstance(exc, RateLimited):
            return None
        if isinstance(exc, StoreUnavailable):
            self._lost = True
        elif not isinstance(exc, VersionConflict):
            raise self._failure(exc) from exc
        return await self._settle()

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
            current = await read_published(self._store, self._retries)
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
            summary = await self._retries.read(
                lambda: self._history.find(self._cfg.revision)
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

    def _failure(self, cause: PlatformError) -> Exception:
        """Return the error for a write that did not get through."""
        if self._lost:
            return UnsettledWrite(self._cfg.revision, self._cfg.write_id, str(cause))
        return StoreUnreachable(
            f"the store did not take the write ({cause}); nothing was written, "
            "try again"
        )
