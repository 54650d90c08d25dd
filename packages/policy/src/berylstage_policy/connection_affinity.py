"""Choice of a target to which the asking VM already has a connection.

The load: 84 VMs send 312 requests a second to 46 targets that any VM may use, so a pair
of a VM and a target is used once in 12 s, its connection has been closed meanwhile, and
most requests open a new one. Among targets that are expected to finish at about the
same time, each VM keeps to a few, so that fewer pairs are used more often.

A VM's few targets follow from rendezvous hashing of the names alone. All permit servers
compute the same ones, so the connections of a service stay in use when its queue moves
to another VM, and a VM or target that joins or ends changes only its own pairs. Which
pairs have a connection is learned from the permits and is lost with the permit server.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil, expm1, inf
from typing import TYPE_CHECKING, NamedTuple

from berylstage_policy.rates import DecayedRate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

# Targets whose expected times differ by at most this share of the median service time
# of the free ones count as equal. At the load above, a tenth leaves 0.53 of the new
# connections, and a share of the fastest one's service time instead leaves 0.6.
EQUAL_SHARE = 0.13
# Time for which an unused connection is expected to stay open.
CONNECTION_SECONDS = 7.0
# A VM uses as many targets as receive one of its requests in this time each. It is well
# below CONNECTION_SECONDS because requests do not arrive evenly.
USE_INTERVAL_SECONDS = 2.0
# Time constant of the request rates.
RATE_WINDOW_SECONDS = 5.0
# Shortest time over which the first requests are counted. Without it, the rate after a
# start would seem too low for the pairs of any installation.
MIN_RATE_SECONDS = 0.05
# VMs that have sent nothing for this long are forgotten.
VM_TTL_SECONDS = 60.0


class ChoiceCounts(NamedTuple):
    """Choices among equal targets, by what the target is to the asking VM."""

    # With an open connection that is not in use.
    connected: int
    # Without one, but among the few targets of the VM.
    subset: int
    # Any other target.
    other: int


class _Pairs:
    """Connections of one VM, as far as its permits show them."""

    __slots__ = ("data_centre", "idle_since", "ranking", "rate")

    def __init__(self) -> None:
        self.rate = DecayedRate(RATE_WINDOW_SECONDS)
        # When each unused connection was used last, by target, oldest first; without
        # empty lists.
        self.idle_since: dict[str, list[float]] = {}
        # Position of each target in the VM's order of preference, and the data centre
        # of the VM that it was computed for.
        self.ranking: dict[str, int] = {}
        self.data_centre = ""

    def has_idle(self, target: str, now: float) -> bool:
        """Tell whether a connection to a target is open and not in use."""
        idle_since = self.idle_since.get(target)
        return idle_since is not None and now - idle_since[-1] < CONNECTION_SECONDS

    def take_idle(self, target: str) -> None:
        """Use the connection that was used last."""
        idle_since = self.idle_since[target]
        idle_since.pop()
        if not idle_since:
            del self.idle_since[target]


class ConnectionAffinity:
    """Prefers, for each VM, targets to which it has or should have connections.

    Parameters
    ----------
    find_data_centre : callable
        Returns the data centre of a target, by name.
    """

    __slots__ = (
        "_counts",
        "_find_data_centre",
        "_first_at",
        "_rate",
        "_targets",
        "_vms",
    )

    def __init__(self, find_data_centre: Callable[[str], str]):
        self._find_data_centre = find_data_centre
        self._targets: frozenset[str] = frozenset()
        self._vms: dict[str, _Pairs] = {}
        self._rate = DecayedRate(RATE_WINDOW_SECONDS)
        # Time of the first request.
        self._first_at = inf
        self._counts = [0, 0, 0]

    def set_targets(self, names: Iterable[str]) -> None:
        """Replace the set of targets.

        Parameters
        ----------
        names : iterable of str
        """
        targets = frozenset(names)
        if targets == self._targets:
            return
        self._targets = targets
        for pairs in self._vms.values():
            pairs.ranking = {}
            for gone in pairs.idle_since.keys() - targets:
                del pairs.idle_since[gone]

    def is_active(self, now: float) -> bool:
        """Tell whether there are more pairs than the requests keep connected.

        Parameters
        ----------
        now : float
        """
        pairs = len(self._vms) * len(self._targets)
        age = max(MIN_RATE_SECONDS, now - self._first_at)
        # Part of the time constant that has been observed.
        observed = -expm1(-age / RATE_WINDOW_SECONDS)
        return pairs > self._rate.rate(now) / observed * CONNECTION_SECONDS

    def subset_size(self, vm: str, now: float) -> int:
        """Return the number of targets that a VM should use at its present rate.

        Parameters
        ----------
        vm : str
        now : float
        """
        pairs = self._vms.get(vm)
        rate = pairs.rate.rate(now) if pairs is not None else 0.0
        return max(1, ceil(rate * USE_INTERVAL_SECONDS))

    def subset(self, vm: str, data_centre: str, now: float) -> list[str]:
        """Return the targets that a VM should use, the most preferred first.

        Parameters
        ----------
        vm, data_centre : str
            The VM and its data centre.
        now : float
        """
        ranking = self._ranking(vm, data_centre)
        return sorted(ranking, key=ranking.__getitem__)[: self.subset_size(vm, now)]

    def has_idle_connection(self, vm: str, target: str, now: float) -> bool:
        """Tell whether a VM has a connection to a target that is open and not in use.

        Parameters
        ----------
        vm, target : str
        now : float
        """
        pairs = self._vms.get(vm)
        return pairs is not None and pairs.has_idle(target, now)

    def choose(
        self, vm: str, data_centre: str, equal: Sequence[str], now: float
    ) -> str:
        """Return the target for a request.

        Parameters
        ----------
        vm, data_centre : str
            The VM that asks, and its data centre.
        equal : sequence of str
            Targets that are expected to finish at about the same time, the earliest
            first. Must not be empty.
        now : float

        Returns
        -------
        str
            A target with an unused connection, the most preferred first; else one of
            the VM's few targets; else the first.
        """
        ranking = self._ranking(vm, data_centre)
        size = self.subset_size(vm, now)
        return min(
            equal,
            key=lambda name: (
                not self.has_idle_connection(vm, name, now),
                min(size, ranking.get(name, size)),
            ),
        )

    def record_granted(self, vm: str, target: str, now: float) -> None:
        """Record that a request of a VM is sent to a target.

        Parameters
        ----------
        vm, target : str
        now : float
        """
        pairs = self._vms.get(vm)
        if pairs is None:
            self._forget_silent(now)
            pairs = self._vms[vm] = _Pairs()
        self._first_at = min(self._first_at, now)
        self._rate.add(1.0, now)
        pairs.rate.add(1.0, now)
        if pairs.has_idle(target, now):
            pairs.take_idle(target)
            self._counts[0] += 1
            return
        pairs.idle_since.pop(target, None)
        size = self.subset_size(vm, now)
        self._counts[1 if pairs.ranking.get(target, size) < size else 2] += 1

    def record_answered(self, vm: str, target: str, now: float) -> None:
        """Record that a target has answered a request of a VM.

        Parameters
        ----------
        vm, target : str
        now : float
        """
        pairs = self._vms.get(vm)
        if pairs is not None and target in self._targets:
            pairs.idle_since.setdefault(target, []).append(now)

    @property
    def vm_count(self) -> int:
        """Number of VMs that have sent requests."""
        return len(self._vms)

    def take_counts(self) -> ChoiceCounts:
        """Return and reset the counts of choices."""
        counts, self._counts = ChoiceCounts(*self._counts), [0, 0, 0]
        return counts

    def _ranking(self, vm: str, data_centre: str) -> dict[str, int]:
        """Return the position of each target in a VM's order of preference."""
        pairs = self._vms.get(vm)
        if pairs is not None and pairs.ranking and pairs.data_centre == data_centre:
            return pairs.ranking
        names = sorted(
            self._targets,
            key=lambda name: (
                self._find_data_centre(name) != data_centre,
                _score(vm, name),
            ),
        )
        ranking = {name: position for position, name in enumerate(names)}
        if pairs is not None:
            pairs.ranking, pairs.data_centre = ranking, data_centre
        return ranking

    def _forget_silent(self, now: float) -> None:
        for vm in [
            vm
            for vm, pairs in self._vms.items()
            if now - pairs.rate.updated_at > VM_TTL_SECONDS
        ]:
            del self._vms[vm]


def _score(vm: str, target: str) -> bytes:
    # A checksum such as crc32 is linear: the orders of two VMs would differ by a
    # constant only, and their subsets would be blocks of the same targets.
    return blake2b(f"{vm} {target}".encode(), digest_size=8).digest()
