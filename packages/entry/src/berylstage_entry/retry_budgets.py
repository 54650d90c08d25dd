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
    """

    def __init__(self, bounds: Bounds):
        self._bounds = bounds
        self._by_service: dict[str, RetryBudget] = {}
        self._vm_count = INITIAL_VM_COUNT

    @property
    def vm_count(self) -> int:
        """Number of known VMs, plus some that may be starting."""
        return self._vm_count

    @vm_count.setter
    def vm_count(self, count: int) -> None:
        """Resize all budgets: a VM that starts knows the others only after a while."""
        self._vm_count = count
        for budget in self._by_service.values():
            budget.resize(self._reserve)

    def record_request(self, service: str) -> None:
        """Add the tokens of one request."""
        self._find(service).deposit()

    def try_withdraw(self, service: str) -> bool:
        """Take the token of a retry; return False if the budget is exhausted."""
        return self._find(service).try_withdraw()

    def refund(self, service: str) -> None:
        """Return the token of a retry that was not made."""
        self._find(service).refund()

    @property
    def _allowance(self) -> float:
        """Retries that this VM may make beyond the share of its requests."""
        return self._bounds.retry_allowance / (2 * self._vm_count)

    @property
    def _reserve(self) -> float:
        return max(1.0, self._allowance)

    def _find(self, service: str) -> RetryBudget:
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = self._create()
            log.info(
                "retry budget created",
                extra={
                    "service": service,
                    "vms": self._vm_count,
                    "reserve": round(budget.reserve, 2),
                },
            )
        return budget

    def _create(self) -> RetryBudget:
        """Return a budget with one token at the most.

        A VM that starts does not know how many others start with it, and with full
        buckets they would exceed the bound together.
        """
        share = self._bounds.retry_ratio * RETRY_BUDGET_SHARE
        return RetryBudget(share, self._reserve, min(1.0, self._allowance))
