"""Interfaces that a platform adapter implements for callers, targets and records."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from berylstage_entry.targets import TargetNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from berylstage_transfers.call import Answer
    from berylstage_transfers.errors import CallFailed

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
        The path includes the query, as sent.
    headers : dict of str to str
        Headers that are forwarded to the target; decoded on each use.
    body : bytes
    time_left : float
        Seconds until the caller stops waiting, counted from the arrival of the request.
    key : int or None
        Key, in a service whose targets own keys.
    api_key : str
        API key of the caller; empty if it sent none.

    Attributes
    ----------
    workspace : str
        Name of the workspace that has the API key; empty until it has been found.
    waited : float
        Seconds that it has waited for earlier requests of its connection.
    """

    __slots__ = (
        "api_key",
        "body",
        "_header_lines",
        "host",
        "key",
        "method",
        "path",
        "request_id",
        "time_left",
        "waited",
        "workspace",
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
        api_key: str = "",
    ):
        self.request_id = request_id
        self.method = method
        self.host = host
        self.path = path
        # As dozens of objects, the headers of a request that waits would take twenty
        # times their size.
        self._header_lines = "\n".join(f"{n}:{v}" for n, v in headers.items())
        self.body = b""
        self.time_left = time_left
        self.waited = 0.0
        self.key = key
        self.api_key = api_key
        self.workspace = ""

    @property
    def headers(self) -> dict[str, str]:
        """Headers that are forwarded to the target."""
        lines = self._header_lines.split("\n") if self._header_lines else []
        rows = (line.partition(":") for line in lines)
        return {name: value for name, _, value in rows}


class TargetAnswer:
    """A target's answer to a request.

    Parameters
    ----------
    status : int
    headers : list of tuple
        Names and values of the headers that are forwarded to the caller.
    body : bytes
    not_run : bool
        Whether the target states that it has not executed the request.
    misdirected : bool
        Whether another target than the requested one answered, or one that does not own
        the key.
    is_from_target : bool
        Whether the answer carries the header that only targets set.
    load : LoadReport or None
    closing : bool
        Whether the target closes the connection.
    notice : TargetNotice, optional
        What the target says of itself; nothing by default.
    """

    __slots__ = (
        "body",
        "closing",
        "is_from_target",
        "headers",
        "load",
        "misdirected",
        "not_run",
        "notice",
        "status",
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        not_run: bool,
        misdirected: bool,
        is_from_target: bool,
        load: LoadReport | None,
        closing: bool,
        notice: TargetNotice | None = None,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.not_run = not_run
        self.misdirected = misdirected
        self.is_from_target = is_from_target
        self.load = load
        self.closing = closing
        self.notice = notice or TargetNotice()


class CallerProtocol(ABC):
    """Protocol between callers and the entry VM."""

    ready_path = "/ready"

    @abstractmethod
    def parse_request(
        self, method: str, uri: str, headers: Iterable[tuple[str, str]]
    ) -> CallerRequest:
        """Interpret a request head.

        Raises
        ------
        BadRequest
            The request cannot be served.
        """

    @abstractmethod
    def retry_after_headers(self, retry_after: float) -> list[tuple[str, str]]:
        """Return the headers that tell a rejected caller when to retry."""


class GrantRequest:
    """Grant of a range of keys to a target.

    Parameters
    ----------
    first, last : int
        First and last key, both included.
    fence : int
        Fence token of the grant.
    seconds : float
        Seconds for which the grant is valid after its arrival.
    handover : str
        State that the previous owner handed over; empty if none.
    sets_fence : bool
        Whether its answer proves that the target has seen the fence. No answer to
        another call may pass for it then.
    """

    __slots__ = ("fence", "first", "handover", "last", "seconds", "sets_fence")

    def __init__(
        self,
        first: int,
        last: int,
        fence: int,
        seconds: float,
        handover: str = "",
        sets_fence: bool = False,
    ):
        self.first = first
        self.last = last
        self.fence = fence
        self.seconds = seconds
        self.handover = handover
        self.sets_fence = sets_fence


class TargetProtocol(ABC):
    """Protocol between the entry VM and targets.

    Attributes
    ----------
    request_id_header : bytes
        Lower-case name of the header by which an answer names its request.
    unique_headers : frozenset of bytes
        Lower-case names of headers of which an answer with two values is refused.
    """

    request_id_header = b"request-id"
    unique_headers: frozenset[bytes] = frozenset()

    def __init__(self) -> None:
        # Called with the target and its notice after each grant, release and probe.
        self.on_control_answer: Callable[[Target, TargetNotice], None] = (
            lambda target, notice: None
        )
        # Called with the target and the error after one that has failed.
        self.on_control_failure: Callable[[Target, CallFailed], None] = (
            lambda target, exc: None
        )

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
            Seconds that the target may work on the request.
        """

    @abstractmethod
    def parse_answer(self, answer: Answer) -> TargetAnswer:
        """Interpret a target's answer."""

    @abstractmethod
    async def grant(self, target: Target, order: GrantRequest, timeout: float) -> bool:
        """Grant keys; return False if the target has seen a higher fence token.

        Raises
        ------
        CallFailed
            It is unknown whether the grant takes effect.
        TargetReplaced
            The target no longer exists and owns no keys.
        """

    @abstractmethod
    async def release(
        self, target: Target, first: int, last: int, fence: int, timeout: float
    ) -> str:
        """Revoke keys after work on them has ended, and return the handover state.

        Raises
        ------
        CallFailed
            It is unknown whether the release takes effect.
        TargetReplaced
            The target no longer exists and owns no keys.
        """

    @abstractmethod
    async def probe(
        self, target: Target, path: str, timeout: float
    ) -> LoadReport | None:
        """Ask a target for its load; return None if it reports none.

        Parameters
        ----------
        target : Target
        path : str
            Health check path of the target's service.
        timeout : float
            Seconds.

        Raises
        ------
        CallFailed
            The target did not answer.
        TargetReplaced
            Another target answers at the address.
        """


class Record:
    """A decoded record of the store; exactly one field is set.

    Parameters
    ----------
    configuration : Configuration, optional
    target : Target, optional
    removed_target : str
        Name of a target whose record has been removed.
    closed_data_centre : str
        Name of a data centre that receives no more requests.
    reopened_data_centre : str
        Name of a data centre that receives requests again.
    """

    __slots__ = (
        "closed_data_centre",
        "configuration",
        "removed_target",
        "reopened_data_centre",
        "target",
    )

    def __init__(
        self,
        configuration: Configuration | None = None,
        target: Target | None = None,
        removed_target: str = "",
        closed_data_centre: str = "",
        reopened_data_centre: str = "",
    ):
        self.configuration = configuration
        self.target = target
        self.removed_target = removed_target
        self.closed_data_centre = closed_data_centre
        self.reopened_data_centre = reopened_data_centre


class RecordReader(ABC):
    """Decoder of the records that operators and targets keep in the store."""

    @abstractmethod
    def read(self, item: Item) -> Record | None:
        """Decode a record; return None if the key belongs to neither.

        Raises
        ------
        InvalidRecord
            The record contains nothing usable.
        """
