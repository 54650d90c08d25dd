"""What this VM believes: the configuration, the targets and the closed data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from berylstage_entry.protocols import Record
    from berylstage_entry.services import Configuration
    from berylstage_entry.targets import Target

# Seconds after the store's return within which records that lapsed in an outage come
# back if their targets live. A VM that was cut off alone waits as long, since it cannot
# tell the two apart, and must have dropped a target that left meanwhile 3 s after it is
# back in touch.
LAPSE_GRACE = 2.1


# Seconds by which the end of a target's cold time may differ from what was reckoned
# with: more than its reports wait to be read (0.45 s), less than lies between two of
# them (0.87 s), so that one that stays cold for longer than it said is noticed.
COLD_DRIFT = 0.6


class KnownTarget:
    """A target with what this VM has learned of it.

    Parameters
    ----------
    target : Target
    now : float
        Monotonic seconds.
    """

    __slots__ = ("cold_until", "lapsed_at", "target")

    def __init__(self, target: Target, now: float):
        self.target = target
        self.cold_until = now + target.cold_left if target.cold_left else 0.0
        # When its record went in a way that may be an outage's doing; 0 for not.
        self.lapsed_at = 0.0

    def differs(self, target: Target, now: float) -> bool:
        """Tell whether a report of a target changes what is known of it.

        A cold target says in each report how long it stays so. That it goes on as it
        said is no news: told of dozens of cold targets each time, VMs with small links
        would get nothing else.

        Parameters
        ----------
        target : Target
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        stays_cold = now + target.cold_left
        if self.lapsed_at or abs(stays_cold - max(now, self.cold_until)) > COLD_DRIFT:
            return True
        fields = ("life", "service", "address", "data_centre", "slots", "leaving")
        return any(getattr(target, f) != getattr(self.target, f) for f in fields)


class ClusterView:
    """Configuration, targets and closed data centres, as far as this VM knows them.

    Nothing in it goes back: an older configuration than the one in force is passed
    over, whoever brings it.
    """

    __slots__ = (
        "_by_service",
        "_numbers",
        "_numbers_of",
        "closed",
        "configuration",
        "known",
        "revision",
    )

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.known: dict[str, KnownTarget] = {}
        self.closed: set[str] = set()
        # Grows with each change of the targets that may be used.
        self.revision = 0
        self._by_service: dict[str, list[str]] | None = None
        # Names of targets by their checksums, and the revision that they are from.
        self._numbers: dict[int, str] = {}
        self._numbers_of = -1

    def apply(self, record: Record, now: float, outage: bool) -> str:
        """Take in one record and return a word for what has changed, or nothing.

        Parameters
        ----------
        record : Record
        now : float
            Monotonic seconds.
        outage : bool
            Whether the store is or has just been away, so that a record which is gone
            may have lapsed although its target lives.

        Returns
        -------
        str
        """
        if record.configuration is not None:
            return self._configure(record.configuration)
        if record.target is not None:
            return self._report(record.target, now)
        if record.gone:
            return self._gone(record.gone, now, outage)
        if record.closed and record.closed not in self.closed:
            self.closed.add(record.closed)
            return self._changed("closed")
        if record.opened in self.closed:
            self.closed.discard(record.opened)
            return self._changed("opened")
        return ""

    def restrict(
        self, names: set[str], closed: set[str], now: float, outage: bool
    ) -> list[str]:
        """Drop what a whole reading of the store did not show.

        Parameters
        ----------
        names : set of str
            Targets with a record.
        closed : set of str
            Closed data centres.
        now : float
        outage : bool
            As for :meth:`apply`.

        Returns
        -------
        list of str
            Targets that are without a record now.
        """
        missing = [name for name in self.known if name not in names]
        for name in missing:
            self._gone(name, now, outage)
        if closed != self.closed:
            self.closed = set(closed)
            self._changed("closed")
        return missing

    def expire(self, now: float, settled: bool = False) -> list[str]:
        """Drop the targets whose records did not come back, and return their names.

        Parameters
        ----------
        now : float
        settled : bool
            Whether the store is known to have been there for long enough, so that no
            record that lapsed is still to come back.

        Returns
        -------
        list of str
        """
        over = [
            name
            for name, known in self.known.items()
            if known.lapsed_at and (settled or now - known.lapsed_at > LAPSE_GRACE)
        ]
        for name in over:
            del self.known[name]
            self._changed("gone")
        return over

    def has_lapsed(self) -> bool:
        """Tell whether a record has lapsed and may yet come back."""
        return any(known.lapsed_at for known in self.known.values())

    def postpone_expiry(self, now: float) -> None:
        """Let lapsed records keep their whole time, since the store is still away."""
        for known in self.known.values():
            if known.lapsed_at:
                known.lapsed_at = now

    def named(self, number: int) -> str:
        """Return the name of a target by its checksum; empty when it is not known."""
        if self._numbers_of != self.revision:
            self._numbers_of = self.revision
            self._numbers = {crc32(name.encode()): name for name in self.known}
        return self._numbers.get(number, "")

    def usable(self, service: str) -> list[str]:
        """Return the targets of a service that may get new work."""
        if self._by_service is None:
            self._by_service = {}
            for name, known in self.known.items():
                target = known.target
                if not target.leaving and target.data_centre not in self.closed:
                    self._by_service.setdefault(target.service, []).append(name)
        return self._by_service.get(service, [])

    def may_use(self, name: str) -> bool:
        """Tell whether a target may get new work."""
        known = self.known.get(name)
        if known is None or known.target.leaving:
            return False
        return known.target.data_centre not in self.closed

    def _configure(self, cfg: Configuration) -> str:
        old = self.configuration
        if old is not None and cfg.version <= old.version:
            return ""
        self.configuration = cfg
        return self._changed("configuration")

    def _report(self, target: Target, now: float) -> str:
        old = self.known.get(target.name)
        if old is not None and old.target.life > target.life:
            return ""
        self.known[target.name] = KnownTarget(target, now)
        if old is None or old.target.life != target.life:
            return self._changed("target")
        before = old.target
        if before.leaving != target.leaving or before.address != target.address:
            return self._changed("target")
        return ""

    def _gone(self, name: str, now: float, outage: bool) -> str:
        known = self.known.get(name)
        if known is None:
            return ""
        if outage:
            known.lapsed_at = known.lapsed_at or now
            return ""
        del self.known[name]
        return self._changed("gone")

    def _changed(self, what: str) -> str:
        self.revision += 1
        self._by_service = None
        return what
