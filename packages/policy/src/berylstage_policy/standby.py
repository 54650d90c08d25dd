"""Which VMs stand by to take a duty over as soon as it becomes vacant.

The load it answers: a watch of one key by every VM costs a call of each of them
whenever it changes or has waited its time, and a duty that becomes vacant brings all of
them to the store in the same moment. So one VM in each data centre watches; the rest
find a vacancy by their paced reading, which is soon enough for the case that those that
stand by are lost along with the holder.

The duty is more work than a small VM can do beside its requests: its orders are
answered late, targets count as silent, and their keys move for nothing. So the VMs that
have what it takes come first, and others wait a moment for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.candidates import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_policy.candidates import Candidate

# Seconds that a VM with nothing of what the duty takes waits before it tries to take
# it: in this time one that has it all reads that it is vacant and writes its name, and
# with the lease (2 s) it is over before holds of 3 s end.
LONGEST_WAIT = 0.6
# Power of the best VM, over the holder's, from which the holder gives the duty up.
MUCH_BETTER = 2.0


def wait_of(power: float) -> float:
    """Return the seconds that a VM leaves a vacant duty to better ones.

    Parameters
    ----------
    power : float
        As of :class:`Candidate`.
    """
    return LONGEST_WAIT * (1 - power)


def should_give_up(power: float, best: float) -> bool:
    """Tell whether the holder of a duty had better leave it to the best VM.

    Parameters
    ----------
    power, best : float
        Of the holder and of the best known VM.
    """
    return best >= MUCH_BETTER * power


def stands_by(vm: str, neighbours: Iterable[Candidate]) -> bool:
    """Tell whether a VM is the one of its data centre that stands by.

    All VMs that know the same neighbours name the same one. When one goes, another
    takes its place only if it was the one.

    Parameters
    ----------
    vm : str
    neighbours : iterable of Candidate
        Known VMs of the same data centre, the asking one included once it is known. A
        VM that is not among them yet stands by: it may be the first.

    Returns
    -------
    bool
    """
    names = [candidate.name for candidate in ranked(neighbours)]
    return vm not in names or vm == names[0]
