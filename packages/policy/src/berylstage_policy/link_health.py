"""Decides which targets a VM cannot reach itself, although other VMs may.

It answers the load of a VM that has lost its links to some or all targets while callers
still reach it. Such a VM must neither take the targets for down nor hold requests until
their deadlines: others reach the targets and can be asked to pass requests on.

A target that no VM reaches is down, and a target that is slow, full or silent still
accepts connections, so neither counts as a lost link.
"""

from __future__ import annotations

from enum import Enum
from math import inf

# Targets that must have failed without any sign of life of any target, and the seconds
# without one, before the VM counts as cut off from all of them. Where several targets
# crash at once, requests to them fail within milliseconds, between answers of others.
MIN_FAILED_TARGETS = 3
CUT_OFF_SECONDS = 0.3
# Seconds without a sign of life of any target after which a failed link makes the VM
# look at links that have not failed.
SUSPICION_SECONDS = 0.2
# Seconds for which a failure counts that no other VM has confirmed, and for which the
# word of another VM that a target is down keeps requests on the direct way.
UNCONFIRMED_SECONDS = 2.0
DOWN_SECONDS = 1.0
# Seconds before the first check of a failed target, and the longest interval between
# two checks; the interval doubles in between.
FIRST_CHECK_SECONDS = 0.1
MAX_CHECK_INTERVAL_SECONDS = 1.0
# Seconds between two checks of any targets: while the VM is cut off, when each check is
# likely to fail, and otherwise, when many targets may have to be taken back.
CUT_OFF_CHECK_GAP_SECONDS = 0.25
CHECK_GAP_SECONDS = 0.05


class Way(Enum):
    """How a VM should send requests to a target."""

    DIRECT = "direct"
    # Through another VM.
    RELAY = "relay"
    # Neither this VM nor another one that was asked reaches it.
    NONE = "none"


class _FailedLink:
    """A target that has failed and shown no sign of life since."""

    __slots__ = ("check_at", "check_interval", "down_at", "failed_at", "is_confirmed")

    def __init__(self, moment: float):
        self.failed_at = moment
        # Whether another VM has reached the target in the meantime, and when another
        # VM has said that it cannot either.
        self.is_confirmed = False
        self.down_at = -inf
        self.check_at = moment + FIRST_CHECK_SECONDS
        self.check_interval = FIRST_CHECK_SECONDS


class LinkHealth:
    """Health of the links from one VM to all targets.

    Times are monotonic seconds.
    """

    __slots__ = (
        "_alive_at",
        "_failed",
        "_failed_since_alive",
        "_is_cut_off",
        "_known_targets",
        "_next_check_at",
    )

    def __init__(self) -> None:
        self._failed: dict[str, _FailedLink] = {}
        # Targets that have failed since the last sign of life of any target.
        self._failed_since_alive: set[str] = set()
        self._known_targets = MIN_FAILED_TARGETS
        self._is_cut_off = False
        self._alive_at = -inf
        self._next_check_at = -inf

    @property
    def alive_at(self) -> float:
        """Time of the last sign of life of any target."""
        return self._alive_at

    @property
    def has_failed_links(self) -> bool:
        """Whether any target needs a check."""
        return bool(self._failed)

    @property
    def is_cut_off(self) -> bool:
        """Whether the VM has lost its links to all targets, as far as it can tell."""
        return self._is_cut_off

    @property
    def lost_links(self) -> int:
        """Number of targets that other VMs reach and this one does not."""
        if self.is_cut_off:
            return self._known_targets
        return sum(link.is_confirmed for link in self._failed.values())

    def is_suspect(self, moment: float) -> bool:
        """Tell whether links have failed and nothing shows that others work."""
        return (
            bool(self._failed_since_alive)
            and not self.is_cut_off
            and moment - self._alive_at >= SUSPICION_SECONDS
        )

    def has_failed(self, target: str) -> bool:
        """Tell whether a target has shown no sign of life since its link failed."""
        return target in self._failed

    def is_reached_by_others(self, target: str) -> bool:
        """Tell whether another VM reaches a target that this one does not."""
        link = self._failed.get(target)
        return link is not None and link.is_confirmed

    def retain(self, targets: set[str]) -> None:
        """Forget all targets except the given ones."""
        self._known_targets = len(targets)
        for name in [name for name in self._failed if name not in targets]:
            del self._failed[name]
        self._failed_since_alive &= targets
        self._is_cut_off &= self._has_enough_failures()

    def record_alive(self, target: str, moment: float) -> None:
        """Record an answer of a target, or a connection that it has accepted."""
        self._alive_at = moment
        self._failed_since_alive.clear()
        self._is_cut_off = False
        if self._failed.pop(target, None) is None:
            return
        # The other links may work again as well.
        for link in self._failed.values():
            link.check_at = min(link.check_at, moment)
            link.check_interval = FIRST_CHECK_SECONDS

    def record_failure(self, target: str, moment: float) -> None:
        """Record that a target could not be reached.

        Its machine has not accepted a connection or not acknowledged any byte. A
        connection that is reset or an answer that does not come is no failure of the
        link: targets that are full or slow do the same.
        """
        self._failed_since_alive.add(target)
        link = self._failed.get(target)
        if link is None:
            self._failed[target] = _FailedLink(moment)
        else:
            link.failed_at = moment
        self._judge(moment)

    def record_reached_by_other(self, target: str) -> None:
        """Record that another VM has reached a target that this VM does not."""
        link = self._failed.get(target)
        if link is not None:
            link.is_confirmed = True
            link.down_at = -inf

    def record_down(self, target: str, moment: float) -> None:
        """Record that another VM, which reaches other targets, does not reach it."""
        link = self._failed.get(target)
        if link is not None:
            link.is_confirmed = False
            link.down_at = moment

    def choose_way(self, target: str, moment: float) -> Way:
        """Return how requests should be sent to a target."""
        link = self._failed.get(target)
        is_down = link is not None and moment - link.down_at < DOWN_SECONDS
        if self.is_cut_off:
            return Way.NONE if is_down else Way.RELAY
        if link is None or is_down:
            return Way.DIRECT
        is_recent = moment - link.failed_at < UNCONFIRMED_SECONDS
        return Way.RELAY if link.is_confirmed or is_recent else Way.DIRECT

    def take_due_check(self, moment: float) -> str:
        """Return a target that is to be checked now, or an empty string.

        One target at a time is checked, so that neither a cut nor its end makes a VM
        open connections to hundreds of targets at once.
        """
        self._judge(moment)
        if moment < self._next_check_at:
            return ""
        self._forget_expired(moment)
        due = [(link.check_at, name) for name, link in self._failed.items()]
        check_at, name = min(due, default=(inf, ""))
        if check_at > moment:
            return ""
        link = self._failed[name]
        link.check_interval = min(2 * link.check_interval, MAX_CHECK_INTERVAL_SECONDS)
        link.check_at = moment + link.check_interval
        gap = CUT_OFF_CHECK_GAP_SECONDS if self.is_cut_off else CHECK_GAP_SECONDS
        self._next_check_at = moment + gap
        return name

    def _judge(self, moment: float) -> None:
        """Decide whether the VM is cut off; only a sign of life ends that."""
        is_silent = moment - self._alive_at >= CUT_OFF_SECONDS
        if is_silent and self._has_enough_failures():
            self._is_cut_off = True

    def _has_enough_failures(self) -> bool:
        needed = min(MIN_FAILED_TARGETS, self._known_targets)
        return bool(needed) and len(self._failed_since_alive) >= needed

    def _forget_expired(self, moment: float) -> None:
        """Forget failures that nobody has confirmed, unless all targets have failed."""
        if self.is_cut_off:
            return
        for name, link in list(self._failed.items()):
            if (
                not link.is_confirmed
                and moment - link.failed_at >= UNCONFIRMED_SECONDS
                and moment - link.down_at >= DOWN_SECONDS
            ):
                del self._failed[name]
                self._failed_since_alive.discard(name)
