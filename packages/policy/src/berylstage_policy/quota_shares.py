"""Division of the workspaces' quotas among VMs that may lose touch with each other.

Each VM owns an equal share of every quota and lends it to the quota server of the
workspace, which hands out tokens from the shares that it has been lent. A share is used
by one VM at a time, so that the sum never exceeds the quota, whichever VMs reach which:

- A VM that lends its share does not use or lend it again before the loan has expired,
  counted from the sending of its last renewal.
- A quota server counts a loan from a stamp of its own that the renewal repeats. The
  stamp is older than the renewal, so a renewal that was late, or a server that stood
  still, uses the share no longer than its owner expects.

Workspaces are divided into groups, and a VM lends its shares of a whole group.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of groups; a bit mask of them fits into two bytes.
GROUPS = 16
# Duration of a loan, and the interval of its renewals. After the loss of a quota server
# the shares lent to it are unused for the rest of the loan.
LOAN_SECONDS = 0.6
RENEWAL_SECONDS = 0.2
# Deducted from a loan by the borrower, for clocks that run unequally fast and for the
# time for which it uses a count of its loans.
LOAN_MARGIN_SECONDS = 0.05
COUNT_SECONDS = 0.02
# VMs for each quota server, and the least number of quota servers.
VMS_PER_SERVER = 32
MIN_SERVERS = 2
# Parts of the tolerance of a quota that a bucket may hold beyond its burst, because
# requests that were sent evenly may arrive together, and that a new bucket holds. The
# rest covers several successors in a window, and VMs that count the others differently.
JITTER_SHARE = 0.25
START_SHARE = 0.1


class QuotaBounds:
    """Tolerance within which the quotas of workspaces are kept.

    Parameters
    ----------
    window : float
        Seconds over which requests are counted.
    overshoot : float
        Tolerated share of the requests allowed in a window.
    slack : float
        Further requests tolerated in a window.
    """

    __slots__ = ("overshoot", "slack", "window")

    def __init__(self, window: float, overshoot: float, slack: float):
        self.window = window
        self.overshoot = overshoot
        self.slack = slack

    def tolerance(self, rate: float, burst: float) -> float:
        """Return the requests tolerated in a window beyond a quota."""
        return self.overshoot * (rate * self.window + burst) + self.slack


def group_of(workspace: str) -> int:
    """Return the number of the group of a workspace."""
    return crc32(workspace.encode()) % GROUPS


def choose_servers(hosts: Iterable[str], vms: int) -> list[str]:
    """Return the quota servers.

    Parameters
    ----------
    hosts : iterable of str
        VMs with enough capacity.
    vms : int
        Number of all VMs.
    """
    ranked = sorted(hosts, key=lambda host: crc32(f"quota {host}".encode()))
    return ranked[: max(MIN_SERVERS, ceil(vms / VMS_PER_SERVER))]


def rank_for_group(group: int, servers: Iterable[str]) -> list[str]:
    """Return the quota servers in the order of preference for a group."""
    return sorted(servers, key=lambda host: crc32(f"{group} {host}".encode()))


class ShareLender:
    """To whom a VM has lent its shares.

    Parameters
    ----------
    now : float
        Monotonic seconds. An earlier process of the VM may have lent the shares until a
        moment ago, so they are free only after the duration of a loan.
    """

    __slots__ = ("_borrowers", "_free_at")

    def __init__(self, now: float):
        self._borrowers = [""] * GROUPS
        self._free_at = [now + LOAN_SECONDS] * GROUPS

    def borrower(self, group: int) -> str:
        """Return the VM that was lent a group last; empty if it was returned."""
        return self._borrowers[group]

    def is_free(self, group: int, now: float) -> bool:
        """Return whether no other VM can use the shares of a group any more."""
        return now >= self._free_at[group]

    def renew(self, wanted: list[str], now: float) -> dict[str, int]:
        """Lend the free groups as wanted, and renew the loans that stay.

        Parameters
        ----------
        wanted : list of str
            Borrower for each group; empty for none.
        now : float
            Monotonic seconds, at the sending of the renewals.

        Returns
        -------
        dict of str to int
            Bit mask of the groups to lend, by borrower.
        """
        masks: dict[str, int] = {}
        for group, host in enumerate(wanted):
            if host and (self._borrowers[group] == host or self.is_free(group, now)):
                self._borrowers[group] = host
                self._free_at[group] = now + LOAN_SECONDS
                masks[host] = masks.get(host, 0) | 1 << group
        return masks

    def has_lent(self, host: str) -> bool:
        """Return whether a VM was lent a group and has not returned it."""
        return host in self._borrowers

    def free_unlent(self, now: float) -> None:
        """Record that no VM can use what an earlier process of this VM had lent."""
        for group, borrower in enumerate(self._borrowers):
            if not borrower:
                self._free_at[group] = min(self._free_at[group], now)

    def take_back(self, host: str, now: float) -> None:
        """Record that a borrower will not use any share of this VM again."""
        for group in range(GROUPS):
            if self._borrowers[group] == host:
                self._borrowers[group] = ""
                self._free_at[group] = now


class _Loan:
    """Groups that a VM has lent."""

    __slots__ = ("expires_at", "groups")

    def __init__(self, groups: int, expires_at: float):
        self.groups = groups
        self.expires_at = expires_at


class SharePool:
    """Shares that other VMs have lent to this one."""

    __slots__ = ("_counted_at", "_counts", "_held_since", "_loans", "is_closed")

    def __init__(self) -> None:
        self._loans: dict[str, _Loan] = {}
        # Number of lenders of each group, and when they were counted.
        self._counts = [0] * GROUPS
        self._counted_at = float("-inf")
        # Time since which each group has had a lender without a break.
        self._held_since = [float("inf")] * GROUPS
        # Whether this VM stops and uses no share any more.
        self.is_closed = False

    def renew(self, host: str, groups: int, stamp: float, now: float) -> bool:
        """Take, renew or end the loan of a VM.

        Parameters
        ----------
        host : str
        groups : int
            Bit mask of all groups that the VM lends.
        stamp : float
            Monotonic seconds of this VM when it wrote the stamp that the VM repeats.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether it is in force, rather than a newer one.
        """
        if stamp > now or self.is_closed:
            # The stamp of an earlier process, before the machine's last start.
            return False
        loan = self._loans.get(host)
        expires_at = stamp + LOAN_SECONDS - LOAN_MARGIN_SECONDS
        if loan is not None and loan.expires_at > expires_at:
            return False
        self._count(now)
        self._loans[host] = _Loan(groups, expires_at)
        for group in range(GROUPS):
            if groups & 1 << group and not self._counts[group]:
                self._held_since[group] = now
                self._counts[group] = 1
        return True

    def lenders(self, group: int, now: float) -> int:
        """Return the number of VMs that have lent a group."""
        if now - self._counted_at > COUNT_SECONDS:
            self._count(now)
        return self._counts[group]

    def held_since(self, group: int) -> float:
        """Return the time since which a group has had a lender without a break."""
        return self._held_since[group]

    def _count(self, now: float) -> None:
        self._counted_at = now
        masks = [loan.groups for loan in self._loans.values() if loan.expires_at > now]
        for group in range(GROUPS):
            self._counts[group] = sum(mask >> group & 1 for mask in masks)

    def hosts(self) -> list[str]:
        """Return the VMs that have lent anything, some of it perhaps expired."""
        return list(self._loans)

    def close(self) -> None:
        """Use no share any more."""
        self.is_closed = True
        self._loans.clear()
        self._counts = [0] * GROUPS
