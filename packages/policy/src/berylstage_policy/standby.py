"""Selects the standby VMs, which take over at once if the coordinator fails.

If every VM watched the coordinator's key, each of them would make a call whenever the
key changes or the watch times out, and all would call the store at the same moment if
there is no coordinator. Therefore one VM per data centre watches the key. The others
notice a vacancy by their periodic read, which is soon enough for the case that the
standby VMs fail together with the coordinator.

The coordinator has more work than a small VM can do besides its requests: its grants
would be late, targets would count as unresponsive, and keys would move without need.
Therefore VMs with sufficient resources have precedence, and others wait a moment for
them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.candidates import rank_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_policy.candidates import Candidate

# Longest delay before a VM tries to become coordinator, for one with no resources to
# spare. Within it, a VM with sufficient resources reads that there is no coordinator
# and writes its name; together with the lease (2 s) it is shorter than grants of
# 3 s.
MAX_ELECTION_DELAY_SECONDS = 0.6
# Ratio between the capacities of the best VM and the coordinator from which the
# coordinator steps down.
MIN_CAPACITY_RATIO_TO_YIELD = 2.0


def election_delay(relative_capacity: float) -> float:
    """Return the seconds for which a VM defers to better ones before it takes over.

    Parameters
    ----------
    relative_capacity : float
        Relative capacity, as for :class:`Candidate`.
    """
    return MAX_ELECTION_DELAY_SECONDS * (1 - relative_capacity)


def should_yield(relative_capacity: float, best: float) -> bool:
    """Tell whether the coordinator should step down in favour of the best VM.

    Parameters
    ----------
    relative_capacity, best : float
        Relative capacities of the coordinator and of the best known VM.
    """
    return best >= MIN_CAPACITY_RATIO_TO_YIELD * relative_capacity


def is_standby(vm: str, neighbours: Iterable[Candidate]) -> bool:
    """Tell whether a VM is the standby VM of its data centre.

    All VMs that know the same neighbours select the same one. If a VM disappears, the
    selection changes only if it was the selected one.

    Parameters
    ----------
    vm : str
    neighbours : iterable of Candidate
        Known VMs of the same data centre, including `vm` once it is known. A VM that is
        not among them yet counts as standby, since it may be the first.

    Returns
    -------
    bool
    """
    names = [candidate.name for candidate in rank_candidates(neighbours)]
    return vm not in names or vm == names[0]
