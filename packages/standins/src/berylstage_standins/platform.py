"""Simulated platform: its state and the process that serves it."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import Counter, deque
from typing import TYPE_CHECKING

from berylstage_standins.faults import PlatformFaults
from berylstage_standins.key_values import KeyValues
from berylstage_standins.platform_server import make_server
from berylstage_standins.process import listen, run_until_signal

if TYPE_CHECKING:
    from collections.abc import Callable

# The platform accepts several hundred writes and about two thousand reads per second.
WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
# Interval between two checks for expired leases.
LEASE_CHECK_INTERVAL_SECONDS = 0.05


class RateLimit:
    """Limits the number of calls in any one second.

    Parameters
    ----------
    per_second : int
        Largest number of calls in any one second.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, per_second: int, clock: Callable[[], float]):
        self.per_second = per_second
        self._clock = clock
        self._calls: deque[float] = deque()

    def admit(self) -> bool:
        """Count a call if it is within the limit and return whether it is."""
        now = self._clock()
        while self._calls and self._calls[0] <= now - 1.0:
            self._calls.popleft()
        if len(self._calls) >= self.per_second:
            return False
        self._calls.append(now)
        return True


class VmChange:
    """Change of a VM's entry in the VM list.

    Parameters
    ----------
    time : float
        Monotonic time in seconds.
    name : str
    doc : dict or None
        VM as shown by ``GET /vms``; None if the VM was removed.
    """

    __slots__ = ("doc", "name", "time")

    def __init__(self, time: float, name: str, doc: dict | None):
        self.time = time
        self.name = name
        self.doc = doc


class VmLog:
    """VM list that lags behind the actual changes.

    Parameters
    ----------
    lag : float
        Seconds by which the list lags behind.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, lag: float, clock: Callable[[], float]):
        self.lag = lag
        self._clock = clock
        self._changes: deque[VmChange] = deque()
        self._visible: dict[str, dict] = {}

    def record(self, name: str, doc: dict | None) -> None:
        """Record an added, changed or removed VM."""
        self._changes.append(VmChange(self._clock(), name, doc))

    def vms(self) -> list[dict]:
        """Return the list as of ``lag`` seconds ago, sorted by name."""
        horizon = self._clock() - self.lag
        while self._changes and self._changes[0].time <= horizon:
            change = self._changes.popleft()
            self._visible.pop(change.name, None)
            if change.doc is not None:
                self._visible[change.name] = change.doc
        return [self._visible[name] for name in sorted(self._visible)]


class Platform:
    """State of the simulated platform.

    Parameters
    ----------
    vm_lag : float
        Seconds by which the VM list lags behind.
    writes_per_second, reads_per_second : int
        Rate limits; a watch counts as a read.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        vm_lag: float = 0.0,
        writes_per_second: int = WRITES_PER_SECOND,
        reads_per_second: int = READS_PER_SECOND,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.faults = PlatformFaults()
        self.values = KeyValues(clock)
        self.vm_log = VmLog(vm_lag, clock)
        self.counts: Counter[str] = Counter()
        writes = RateLimit(writes_per_second, clock)
        reads = RateLimit(reads_per_second, clock)
        self._limits = {"write": writes, "read": reads, "watch": reads}

    def count(self, kind: str) -> bool:
        """Count a call and return whether it is within the rate limit.

        Parameters
        ----------
        kind : str
            ``read``, ``write`` or ``watch``. A watch counts once, however long it
            waits.

        Returns
        -------
        bool
        """
        self.counts[kind] += 1
        admitted = self._limits[kind].admit()
        if not admitted:
            self.counts["rate limited"] += 1
        return admitted

    async def delete_expired_keys(self) -> None:
        """Delete the keys of expired leases until the task is cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
            self.values.expire_due_leases()


async def _serve(args: argparse.Namespace) -> None:
    platform = Platform(
        vm_lag=args.vm_lag,
        writes_per_second=args.writes_per_second,
        reads_per_second=args.reads_per_second,
    )
    server = make_server(platform)
    address = listen(server, args.host, args.port)
    lease_expiry = asyncio.ensure_future(platform.delete_expired_keys())
    await run_until_signal(f"platform listening on {address}")
    lease_expiry.cancel()
    server.stop()


def main() -> None:
    """Run the simulated platform until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--vm-lag", type=float, default=2.0, help="seconds")
    parser.add_argument("--writes-per-second", type=int, default=WRITES_PER_SECOND)
    parser.add_argument("--reads-per-second", type=int, default=READS_PER_SECOND)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
