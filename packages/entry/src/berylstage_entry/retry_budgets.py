"""Shares of one VM in the retry budgets that all VMs have for each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.retries import RetryBudget
from logbook import Logger

if TYPE_CHECKING:
    from berylstage_entry.settings import Bounds

# Share of the retry bound that is used. The rest allows for the VMs' clocks, which do
# not divide time into the same windows.
RETRY_BUDGET_SHARE = 0.8
# Number of VMs that is assumed until any is known.
INITIAL_VM_COUNT = 10

log = Logger(__name__)


class RetryBudgets:
    """Retry budgets of all services.

    Parameters
    ----------
    bounds : Bounds

    Attributes
    ----------
    vm_count : int
        Number of known VMs, plus some that may be starting.
    """

    def __init__(self, bounds: Bounds):
        self._bounds = bounds
        self._by_service: dict[str, RetryBudget] = {}
        self.vm_count = INITIAL_VM_COUNT

    def record_request(self, service: str) -> None:
        """Add the tokens of one request."""
        self._find(service).deposit()

    def try_withdraw(self, service: str) -> bool:
        """Take the token of a retry; return False if the budget is exhausted."""
        return self._find(service).try_withdraw()

    def _find(self, service: str) -> RetryBudget:
        budget = self._by_service.get(service)
        if budget is None:
            share = self._bounds.retry_ratio * RETRY_BUDGET_SHARE
            reserve = self._bounds.retry_allowance / (2 * self.vm_count)
            budget = RetryBudget(share, max(1.0, reserve))
            self._by_service[service] = budget
            log.info(
                "retry budget created",
                extra={
                    "service": service,
                    "vms": self.vm_count,
                    "reserve": round(budget.reserve, 2),
                },
            )
        return budget
