"""Measures the speeds of targets' machines before the targets get keys.

Machines of one service differ by a factor of three. The first assignment gives each
target keys in proportion to its speed; otherwise the slow ones have queues from the
first request until enough answers have shown how slow they are.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.errors import TargetReplaced

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.targets import Target

# Reports taken of each target, of which the lowest slowdown counts: neighbours slow a
# machine for 0.4 s at a time and a fifth of all time, so that three reports half a
# second apart all fall into slow periods for one target in a hundred.
REPORTS = 3
REPORT_INTERVAL_SECONDS = 0.5
# Time limit of a report, which targets give without waiting for a slot.
REPORT_TIMEOUT_SECONDS = 0.25

log = Logger(__name__)


class MachineSpeeds:
    """Asks targets for load reports, once for each incarnation.

    Parameters
    ----------
    protocol : TargetProtocol
    """

    def __init__(self, protocol: TargetProtocol):
        self._protocol = protocol
        self._tasks: dict[tuple[str, int], asyncio.Task] = {}
        self._asked: set[tuple[str, int]] = set()

    def measure(
        self, target: Target, health_path: str, on_result: Callable[[str, float], None]
    ) -> None:
        """Measure a target that has not been measured yet.

        Parameters
        ----------
        target : Target
        health_path : str
        on_result : callable
            Called with the target's name and its machine's slowdown, once it is known.
        """
        if target.identity in self._asked:
            return
        self._asked.add(target.identity)
        self._tasks[target.identity] = asyncio.create_task(
            self._measure(target, health_path, on_result)
        )

    def stop(self) -> None:
        """Cancel the measurements that are not complete."""
        for task in self._tasks.values():
            task.cancel()

    async def _measure(
        self, target: Target, health_path: str, on_result: Callable[[str, float], None]
    ) -> None:
        slowdowns = []
        try:
            for _ in range(REPORTS):
                report = await self._protocol.probe(
                    target, health_path, REPORT_TIMEOUT_SECONDS
                )
                if report is not None:
                    slowdowns.append(report.machine_slowdown)
                await asyncio.sleep(REPORT_INTERVAL_SECONDS)
        except (CallFailed, TargetReplaced) as exc:
            # Its speed is learned from its answers instead.
            log.info(
                "speed of target not measured",
                extra={"target": target.name, "cause": str(exc)},
            )
        finally:
            self._tasks.pop(target.identity, None)
        if slowdowns:
            on_result(target.name, min(slowdowns))
