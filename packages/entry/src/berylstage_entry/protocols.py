"""The interfaces to callers and targets, as some platform words them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_transfers.call import Answer

    from berylstage_entry.services import Configuration
    from berylstage_entry.store import Item
    from berylstage_entry.targets import LoadReport, Target


class CallerRequest:
    """A caller's request.

    Parameters
    ----------
    request_id : str
        Unique for each attempt of a caller.
    method, host, path : str
        The path with its query, as sent.
    headers : dict of str to str
        What goes on to the target.
    body : bytes
    time_left : float
        Seconds that the caller waits.
    key : int or None
        Key in a service that owns keys.

    Attributes
    ----------
    waited : float
        Seconds that it has waited here for others of its connection.
    """

    __slots__ = (
        "body",
        "headers",
        "host",
        "key",
        "method",
        "path",
        "request_id",
        "time_left",
        "waited",
    )

    def __init__(
        self,
        request_id: str,
        method: str,
        host: str,
        path: str,
        headers: dict[str, str],
        time_left: float,
        key: int | None,
    ):
        self.request_id = request_id
        self.method = method
        self.host = host
        self.path = path
        self.headers = headers
        self.body = b""
        self.time_left = time_left
        self.waited = 0.0
        self.key = key


class TargetAnswer:
    """A target's answer to a request.

    Parameters
    ----------
    status : int
    headers : list of tuple
        Name and value of what goes on to the caller.
    body : bytes
    not_run : bool
        Whether the target says that it has not run the request.
    misdirected : bool
        Whether it is another target than the one asked for, or does not hold the key.
    genuine : bool
        Whether it bears the mark of a target.
    load : LoadReport or None
    closing : bool
        Whether the target ends the connection.
    """

    __slots__ = (
        "body",
        "closing",
        "genuine",
        "headers",
        "load",
        "misdirected",
        "not_run",
        "status",
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        not_run: bool,
        misdirected: bool,
        genuine: bool,
        load: LoadReport | None,
        closing: bool,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.not_run = not_run
        self.misdirected = misdirected
        self.genuine = genuine
        self.load = load
        self.closing = closing


class CallerProtocol(ABC):
    """How callers word their requests."""

    ready_path = "/ready"

    @abstractmethod
    def request(
        self, method: str, uri: str, headers: Iterable[tuple[str, str]]
    ) -> CallerRequest:
        """Read a request's head.

        Raises
        ------
        BadRequest
            It cannot be served.
        """

    @abstractmethod
    def refusal_headers(self, retry_after: float) -> list[tuple[str, str]]:
        """Return the headers that tell when to come back."""


class GrantRequest:
    """Keys that a target is to hold.

    Parameters
    ----------
    first, last : int
        Keys, both included.
    fence : int
    hold : float
        Seconds from its arrival.
    handover : str
        What the former holder handed over; empty for none.
    """

    __slots__ = ("fence", "first", "handover", "hold", "last")

    def __init__(
        self, first: int, last: int, fence: int, hold: float, handover: str = ""
    ):
        self.first = first
        self.last = last
        self.fence = fence
        self.hold = hold
        self.handover = handover


class TargetProtocol(ABC):
    """How targets are spoken to."""

    echo_header = b"request-id"

    @abstractmethod
    def request_headers(
        self, req: CallerRequest, target: Target, seconds: float
    ) -> dict[str, str]:
        """Return the headers of a request to a target.

        Parameters
        ----------
        req : CallerRequest
        target : Target
        seconds : float
            For which its work may go on.
        """

    @abstractmethod
    def answer(self, answer: Answer) -> TargetAnswer:
        """Read a target's answer."""

    @abstractmethod
    async def grant(self, target: Target, order: GrantRequest, timeout: float) -> bool:
        """Grant keys; False when the target has seen a higher fence.

        Raises
        ------
        CallFailed
            Nobody knows whether it is or will be done.
        TargetEnded
            The target is no more, and holds nothing.
        """

    @abstractmethod
    async def release(
        self, target: Target, first: int, last: int, fence: int, timeout: float
    ) -> str:
        """Take keys back once work on them has ended, and return the handover.

        Raises
        ------
        CallFailed
            Nobody knows whether it is or will be done.
        TargetEnded
            The target is no more, and holds nothing.
        """

    @abstractmethod
    async def probe(
        self, target: Target, path: str, timeout: float
    ) -> LoadReport | None:
        """Ask a target for its load; None when it tells none.

        Parameters
        ----------
        target : Target
        path : str
            At which targets of its service tell how they are.
        timeout : float
            Seconds.

        Raises
        ------
        CallFailed
            No answer came.
        TargetEnded
            Another target answers at the address.
        """


class Record:
    """One record of the store, read. Every part but one is None.

    Parameters
    ----------
    configuration : Configuration, optional
    target : Target, optional
    gone : str
        Name of a target whose record was removed.
    closed : str
        A data centre that gets nothing more.
    opened : str
        A data centre that was taken back.
    """

    __slots__ = ("closed", "configuration", "gone", "opened", "target")

    def __init__(
        self,
        configuration: Configuration | None = None,
        target: Target | None = None,
        gone: str = "",
        closed: str = "",
        opened: str = "",
    ):
        self.configuration = configuration
        self.target = target
        self.gone = gone
        self.closed = closed
        self.opened = opened


class RecordReader(ABC):
    """How operators and targets word their records in the store."""

    @abstractmethod
    def read(self, item: Item) -> Record | None:
        """Read one record; None when the key is none of theirs.

        Raises
        ------
        UnreadableRecord
            It names nothing that could be used.
        """
