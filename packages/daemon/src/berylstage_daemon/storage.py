"""Calls of the store, each of which ends with a result for the protocol core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.events import (
    StoreConflict,
    StoreLost,
    StoreRead,
    StoreRefused,
    StoreWritten,
)
from berylstage_platform.errors import (
    PlatformError,
    RateLimited,
    ValueTooLarge,
    VersionConflict,
)
from logbook import Logger

if TYPE_CHECKING:
    from berylstage_ownership.actions import ReadStore, WriteStore
    from berylstage_platform.store import Store

log = Logger("storage")


async def read(store: Store, action: ReadStore) -> StoreRead | StoreLost:
    """Read the store.

    Parameters
    ----------
    store : Store
    action : ReadStore

    Returns
    -------
    StoreRead or StoreLost
    """
    try:
        entry = await store.read(action.key)
    except PlatformError as exc:
        log.warning("a read got no answer", extra={"cause": str(exc)})
        return StoreLost()
    except Exception:
        log.exception("a read failed")
        return StoreLost()
    return StoreRead(entry.key, entry.value, entry.version)


async def write(
    store: Store, action: WriteStore
) -> StoreWritten | StoreConflict | StoreRefused | StoreLost:
    """Write to the store.

    Parameters
    ----------
    store : Store
    action : WriteStore

    Returns
    -------
    StoreWritten, StoreConflict, StoreRefused or StoreLost
        Lost when nobody can tell whether it took effect.
    """
    try:
        version = await store.write(action.key, action.value, action.expected_version)
    except VersionConflict:
        return StoreConflict()
    except (RateLimited, ValueTooLarge) as exc:
        log.warning("the store refused a write", extra={"cause": str(exc)})
        return StoreRefused()
    except PlatformError as exc:
        log.warning("a write got no answer", extra={"cause": str(exc)})
        return StoreLost()
    except Exception:
        # Whether it took effect is settled by reading back. With no result at all the
        # core would wait for one, and write nothing else.
        log.exception("a write failed")
        return StoreLost()
    return StoreWritten(version)
