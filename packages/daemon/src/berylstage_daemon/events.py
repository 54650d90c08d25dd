"""Named events of the daemon and the listeners connected to them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from berylstage_daemon.errors import DaemonError

if TYPE_CHECKING:
    from collections.abc import Callable

# Every event with the arguments its listeners get.
EVENTS = {
    "started": "app",
    "configuration-adopted": "cfg",
    "assignment-adopted": "assignment",
    "lease-gained": "node status",
    "lease-lost": "node status",
    "target-down": "target name",
    "target-up": "target name",
    "target-restarted": "target name",
    "grant-answered": "target name",
    "shard-activated": "shard name",
    "shard-released": "shard name",
    "request-finished": "request, answer, seconds",
    "stopping": "app",
}


class UnknownEvent(DaemonError):
    """Somebody named an event that does not exist."""


class EventManager:
    """Connects listeners to events and calls them in order of connection."""

    def __init__(self):
        self._listeners: dict[str, list[Callable]] = defaultdict(list)

    def connect(self, name: str, listener: Callable) -> None:
        """Call a listener at each later emission of an event.

        Parameters
        ----------
        name : str
            One of :data:`EVENTS`.
        listener : callable
            Gets what :data:`EVENTS` says for the event.

        Raises
        ------
        UnknownEvent
            The name is not in the table.
        """
        self._check(name)
        self._listeners[name].append(listener)

    def emit(self, name: str, *args: object) -> None:
        """Call all listeners of an event.

        Parameters
        ----------
        name : str
        *args : object
            What the listeners get.

        Raises
        ------
        ExceptionGroup
            Some listeners failed, after all of them were called.
        """
        self._check(name)
        faults = []
        for listener in self._listeners[name]:
            # A listener that fails must not keep the news from the others: a sheet
            # would be in force in one part of the daemon and not in the next.
            try:
                listener(*args)
            except Exception as exc:
                faults.append(exc)
        if faults:
            raise ExceptionGroup(f"listeners of {name!r} failed; see each", faults)

    def _check(self, name: str) -> None:
        if name not in EVENTS:
            raise UnknownEvent(f"no event {name!r}; add it to the table in events.py")
