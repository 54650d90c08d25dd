"""To which VMs a VM tells what it has heard, so that messages grow with the VMs.

The load it answers: news that every VM hears a little of and every VM wants. If each
tells each, the messages grow with the square of the VMs: 76 of them, at up to 25 a
second to each of 18 nearby and 6 to each other one, would send 60,000 datagrams a
second about targets that get 700 requests. So a large data centre has one VM that
gathers and tells the rest, its relay, and data centres tell each other through their
relays only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

# VMs of a data centre up to which each tells each: one hop is faster than two, and with
# six it costs 30 datagrams a round where a relay needs 10.
MESH = 6
# VMs of other data centres up to which each VM tells each of them itself. Over relays a
# word is up to 0.1 s older, by two more periods in which it is gathered; with few VMs
# they save few datagrams.
FAR_MESH = 16
# Seconds without an answer after which a relay that was told something counts as lost:
# several rounds, so that a lost datagram or a slow moment does not count.
SILENCE = 0.5
# Seconds for which a lost relay is passed over before it is tried again.
PASSED_OVER = 3.0
# VMs of another data centre that are told in turn: nobody answers from there, and of
# two that are lost seldom at once every other telling arrives.
FAR_RELAYS = 2


class Neighbour:
    """What a VM knows of another one of its data centre as a relay."""

    __slots__ = ("lost_until", "told_since")

    def __init__(self) -> None:
        # When it was first told something since it was last heard; 0 for not at all.
        self.told_since = 0.0
        self.lost_until = float("-inf")

    def told(self, now: float) -> None:
        """Note that it was told something."""
        self.told_since = self.told_since or now
        if now - self.told_since > SILENCE:
            self.lost_until = now + PASSED_OVER
            self.told_since = 0.0

    def heard(self) -> None:
        """Note that it told something."""
        self.told_since = 0.0
        self.lost_until = float("-inf")


def ranked(hosts: Iterable[str]) -> list[str]:
    """Return VMs in the order in which they are to be relays.

    Parameters
    ----------
    hosts : iterable of str

    Returns
    -------
    list of str
        The same order on all VMs that know the same ones.
    """
    return sorted(hosts, key=lambda host: (crc32(host.encode()), host))


class Relays:
    """Chooses relays for one VM.

    Parameters
    ----------
    own : str
        This VM's host.
    """

    __slots__ = ("_far", "_far_hosts", "_near", "_neighbours", "_own", "_turn")

    def __init__(self, own: str):
        self._own = own
        self._near: list[str] = []
        self._far: list[list[str]] = []
        self._far_hosts: list[str] = []
        self._neighbours: dict[str, Neighbour] = {}
        self._turn = 0

    def know(self, near: Iterable[str], far: Iterable[Iterable[str]]) -> None:
        """Take over which VMs there are.

        Parameters
        ----------
        near : iterable of str
            Hosts of the same data centre, with or without this VM.
        far : iterable of iterable of str
            Hosts of each other data centre.
        """
        self._near = ranked({*near, self._own})
        everyone = [list(hosts) for hosts in far]
        self._far_hosts = [host for hosts in everyone for host in hosts]
        self._far = [ranked(hosts)[:FAR_RELAYS] for hosts in everyone]
        known = self._neighbours
        self._neighbours = {
            host: known.get(host) or Neighbour()
            for host in self._near
            if host != self._own
        }

    @property
    def neighbours(self) -> list[str]:
        """The other VMs of the data centre."""
        return list(self._neighbours)

    @property
    def is_mesh(self) -> bool:
        """Whether each VM of the data centre tells each."""
        return len(self._near) <= MESH

    @property
    def is_far_mesh(self) -> bool:
        """Whether each VM tells each VM of the other data centres."""
        return len(self._far_hosts) <= FAR_MESH

    @property
    def far_hosts(self) -> list[str]:
        """All VMs of the other data centres."""
        return self._far_hosts

    def relay(self, now: float) -> str:
        """Return the relay of this data centre, which may be this VM itself.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for host in self._near:
            if host == self._own or self._neighbours[host].lost_until <= now:
                return host
        return self._own

    def far_relays(self) -> list[str]:
        """Return the VM of each other data centre that is to be told this time."""
        self._turn += 1
        return [hosts[self._turn % len(hosts)] for hosts in self._far if hosts]

    def told(self, host: str, now: float) -> None:
        """Note that a VM was told something that it will pass on to this one."""
        neighbour = self._neighbours.get(host)
        if neighbour is not None:
            neighbour.told(now)

    def told_all(self, now: float) -> None:
        """Note that all neighbours were told something.

        One that has nothing to tell counts as lost for a while; that costs nothing, as
        the next one does as well.
        """
        for neighbour in self._neighbours.values():
            neighbour.told(now)

    def heard(self, host: str) -> None:
        """Note that a VM told something."""
        neighbour = self._neighbours.get(host)
        if neighbour is not None:
            neighbour.heard()
