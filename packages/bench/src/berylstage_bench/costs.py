"""Where a profiled process spent its time, by library."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pstats import Stats

# Parts of a profile's file or function names, in the order in which they are looked
# for, and what the time there counts as. Waiting and starting up count as nothing.
GROUPS = (
    ("select.epoll", None),
    ("importlib", None),
    ("builtins.compile", None),
    ("marshal", None),
    ("posix", None),
    ("pycurl", "libcurl, call to the target"),
    ("berylstage_transfers", "libcurl, call to the target"),
    ("_socket", "system calls on sockets"),
    ("/h2/", "HTTP/2 between VMs"),
    ("/hpack/", "HTTP/2 between VMs"),
    ("/hyperframe/", "HTTP/2 between VMs"),
    ("/grpclib/", "HTTP/2 between VMs"),
    ("/multidict/", "HTTP/2 between VMs"),
    ("/google/", "message coding"),
    ("/tornado/", "HTTP towards callers"),
    ("/asyncio/", "event loop"),
    ("_contextvars", "event loop"),
    ("berylstage_policy", "decisions"),
    ("berylstage_ownership", "protocol core"),
    ("berylstage_daemon", "daemon"),
)
OTHER = "built-in functions and the rest"


def costs(stats: Stats) -> Counter[str]:
    """Return the seconds that a profile shows for each group.

    Parameters
    ----------
    stats : Stats

    Returns
    -------
    Counter of str
    """
    found: Counter[str] = Counter()
    for (file, _, function), values in stats.stats.items():  # type: ignore[attr-defined]
        group = _group(f"{file} {function}")
        if group is not None:
            found[group] += values[2]
    return found


def _group(name: str) -> str | None:
    """Return what the time in a function counts as."""
    for part, group in GROUPS:
        if part in name:
            return group
    return OTHER
