"""In-process store for tests that need no network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_platform.errors import RateLimited, StoreUnavailable
from berylstage_platform.store import Entry, Store

if TYPE_CHECKING:
    from berylstage_standins.platform import Platform


class FakeStore(Store):
    """Store that accesses a simulated platform's state without HTTP.

    It obeys the fault switches of :mod:`berylstage_standins.platform_server`, except
    that ``slow_ms`` and ``slow_answer_ms`` always cause a missing answer.

    Parameters
    ----------
    platform : Platform
    """

    def __init__(self, platform: Platform):
        self.platform = platform

    async def read(self, key: str) -> Entry:  # noqa: D102
        self._begin("read", key)
        return self.platform.values.read(key)

    async def write(  # noqa: D102
        self, key: str, value: bytes, expected_version: int
    ) -> int:
        self._begin("write", key)
        version = self.platform.values.write(key, value, expected_version)
        faults = self.platform.faults
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            raise _no_answer("write", key)
        if faults.slow_answer_ms:
            raise _no_answer("write", key)
        return version

    async def watch(  # noqa: D102
        self, key: str, after_version: int, timeout: float
    ) -> Entry | None:
        self._begin("watch", key)
        changed = await self.platform.values.changed(key, after_version, timeout)
        if self.platform.faults.watch_silent or self._is_down(key):
            raise _no_answer("watch", key)
        return self.platform.values.read(key) if changed else None

    def _begin(self, kind: str, key: str) -> None:
        admitted = self.platform.count(kind)
        if self._is_down(key) or self.platform.faults.slow_ms:
            raise _no_answer(kind, key)
        if not admitted:
            raise RateLimited(
                f"{kind} {key}: rate limited without effect; call again later"
            )

    def _is_down(self, key: str) -> bool:
        faults = self.platform.faults
        return bool(faults.down) and f"/kv/{key}".startswith(faults.down_for)


def _no_answer(kind: str, key: str) -> StoreUnavailable:
    """Return the error for a call that got no answer."""
    return StoreUnavailable(
        f"{kind} {key}: the store did not answer; read the key to learn the result"
    )
