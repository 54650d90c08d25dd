"""Workspaces: whose request it is, by its API key, and the limits of each workspace."""

from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING

from berylstage_entry.errors import OverQuota
from berylstage_entry.permit_messages import checksum
from berylstage_entry.quota_messages import TokenRequest
from berylstage_entry.quotas import Quota

if TYPE_CHECKING:
    from collections.abc import Iterable


class Workspace(Quota):
    """A workspace of the operators' configuration.

    Parameters
    ----------
    name : str
    api_keys : iterable of str
        Keys whose requests belong to the workspace; none if all were taken away.
    priority : int, optional
        Replaces the priority of the route; 0 is the most urgent.
    rate : float
        Requests per second over all VMs; 0 for no limit.
    burst : float
        Requests that may come at once beyond the rate.

    Raises
    ------
    ValueError
        A field is invalid; the message never contains an API key.
    """

    __slots__ = ("api_keys", "burst", "name", "priority", "rate")

    def __init__(
        self,
        name: str,
        api_keys: Iterable[str],
        priority: int | None = None,
        rate: float = 0.0,
        burst: float = 0.0,
    ):
        if not isinstance(name, str) or not name:
            raise ValueError("a workspace has no name; give it one")
        self.name = name
        self.api_keys = frozenset(api_keys)
        if not all(isinstance(key, str) and key for key in self.api_keys):
            raise ValueError(
                f"workspace {name}: an API key is empty or not text; replace it"
            )
        if priority is not None and (type(priority) is not int or priority < 0):
            raise ValueError(
                f"workspace {name}: the priority must be a whole number from 0"
            )
        self.priority = priority
        self.rate = _parse_limit(name, "rate", rate)
        self.burst = _parse_limit(name, "burst", burst)

    @property
    def identity(self) -> str:  # noqa: D102
        return self.name

    def encode_request(self, number: int, count: int) -> bytes:  # noqa: D102
        return TokenRequest(number, checksum(self.name), count).encode()

    def build_refusal(self, retry_after: float, version: int) -> OverQuota:  # noqa: D102
        detail = (
            f"workspace {self.name} rate {self.rate:g} burst {self.burst:g} "
            f"configuration {version}"
        )
        return OverQuota(retry_after, detail)


class WorkspaceDirectory:
    """Finds workspaces by API key, in constant time.

    Parameters
    ----------
    workspaces : iterable of Workspace

    Raises
    ------
    ValueError
        Two workspaces have the same name or the same API key.
    """

    __slots__ = ("_by_key", "by_name")

    def __init__(self, workspaces: Iterable[Workspace]):
        self.by_name: dict[str, Workspace] = {}
        self._by_key: dict[str, Workspace] = {}
        for workspace in workspaces:
            if workspace.name in self.by_name:
                raise ValueError(f"workspace {workspace.name} is listed twice")
            self.by_name[workspace.name] = workspace
            for key in workspace.api_keys:
                other = self._by_key.setdefault(key, workspace)
                if other is not workspace:
                    raise ValueError(
                        f"workspaces {other.name} and {workspace.name} have an API key "
                        "in common; take it from one of them"
                    )

    def find(self, api_key: str) -> Workspace | None:
        """Return the workspace that has an API key, or None."""
        return self._by_key.get(api_key)


def _parse_limit(workspace: str, name: str, value: float) -> float:
    if type(value) not in (int, float) or not isfinite(value) or value < 0:
        raise ValueError(f"workspace {workspace}: the {name} must be a number from 0")
    return float(value)
