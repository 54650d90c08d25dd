"""The protocol core's answers to the data path, as the daemon's own types."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.refusals import Refusal, TargetClosed

from berylstage_daemon.answers import Answer, not_run
from berylstage_daemon.clock import now
from berylstage_daemon.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_ownership.node import Node
    from berylstage_ownership.routing import Permit, Route
    from berylstage_sheet.configuration import Configuration

# A key at a closed target waits for the store or for an open target; neither comes
# back within a quarter of a second, and callers would ask in vain eight times as often.
CLOSED_RETRY_AFTER = 2.0


class Routes:
    """Where requests go, and whether this VM may send them now.

    Parameters
    ----------
    node : Node
    configuration : callable
        Returns the configuration in force here.
    """

    def __init__(self, node: Node, configuration: Callable[[], Configuration]):
        self._node = node
        self._configuration = configuration

    def shard(self, service: str, key: str) -> str:
        """Return the shard of a key; empty where keys are not owned or unknown."""
        return self._node.shard_of(service, key) or ""

    def route(self, service: str, shard: str) -> Route | None:
        """Return the target and VM of a shard, or None while there is none."""
        return _reachable(self._node.route(service, shard))

    def lead_route(self, target: str) -> Route | None:
        """Return the VM that leads a target, or None while there is none."""
        return _reachable(self._node.leader_of(target))

    def permit(self, service: str, shard: str) -> Permit | Answer:
        """Return leave to send a request of a shard now, or the refusal."""
        return _or_answer(self._node.admission(now(), service, shard))

    def lead_permit(self, target: str) -> Permit | Answer:
        """Return leave to send any request to a led target, or the refusal."""
        return _or_answer(self._node.free_admission(now(), target))

    def willing(self, service: str) -> list[str]:
        """Return the targets of a service that operators let take work."""
        cfg = self._configuration()
        return [
            target.name
            for target in cfg.targets_of(service)
            if cfg.takes_work(target) and self.lead_route(target.name)
        ]

    def owner(self, service: str, key: str) -> dict:
        """Return who owns a key, as the document of the owner page.

        Raises
        ------
        RequestError
            The service is unknown, or nobody owns the key.
        """
        cfg = self._configuration()
        if service not in cfg.services:
            names = ", ".join(sorted(cfg.services))
            raise RequestError(404, "no-service", f"no {service!r}; there are {names}")
        shard = self.shard(service, key)
        route = self.route(service, shard)
        if route is None:
            raise RequestError(
                404,
                "no-owner",
                f"keys of {service} are not owned, or the shard has no owner yet; see "
                "the sheet's column 'keys'",
            )
        return {
            "service": service,
            "key": key,
            "shard": shard,
            "target": route.target,
            "vm": route.vm,
            "fence": self._node.fence_of(shard),
        }


def _reachable(route: Route | None) -> Route | None:
    """Return a route unless its VM has left the cell, which another takes over."""
    return route if route is not None and route.peer_address else None


def _or_answer(leave: Permit | Refusal) -> Permit | Answer:
    """Return a permit, or the answer that a refusal of the core means."""
    if isinstance(leave, TargetClosed):
        answer = not_run(leave.reason, CLOSED_RETRY_AFTER)
        answer.message = (
            "operators have closed the target of this key and the key cannot move yet; "
            "come back after Retry-After, and tell them if this lasts"
        )
        return answer
    if isinstance(leave, Refusal):
        return not_run(leave.reason)
    return leave
