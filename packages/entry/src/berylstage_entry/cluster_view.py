"""The VM's view of the cluster: configuration, targets and closed data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from berylstage_entry.protocols import Record
    from berylstage_entry.services import Configuration
    from berylstage_entry.targets import Target

# Time after the store's recovery within which a live target renews a record that
# expired in the outage. A VM that alone was cut off waits as long, since it cannot
# distinguish the two cases. It must drop a target that left meanwhile within 3 s after
# it has reconnected.
EXPIRY_GRACE_SECONDS = 2.1
# Tolerated shift of the end of a target's cold start. It is longer than a report waits
# to be read (0.45 s) and shorter than the report interval (0.87 s), so that a target
# which stays cold for longer than reported is noticed.
COLD_END_TOLERANCE_SECONDS = 0.6


# Number of leaving targets that are remembered after their records are gone: a record
# may come back after an outage of the store.
MAX_LEAVING_TARGETS = 1000


class KnownTarget:
    """A target, with the end of its cold start and the expiry of its record.

    Parameters
    ----------
    target : Target
    now : float
        Monotonic seconds.
    """

    __slots__ = ("cold_until", "expired_at", "target")

    def __init__(self, target: Target, now: float):
        self.target = target
        self.cold_until = (
            now + target.cold_seconds_left if target.cold_seconds_left else 0.0
        )
        # When its record was removed, if an outage may be the cause; otherwise 0.
        self.expired_at = 0.0

    def differs(self, target: Target, now: float) -> bool:
        """Return whether a report changes what is known of the target.

        A cold target reports each time how long it will stay cold. A target that warms
        up as reported has not changed: publishing each report of dozens of cold targets
        would leave no room for anything else on slow links.

        Parameters
        ----------
        target : Target
            The target as reported.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        reported_cold_until = now + target.cold_seconds_left
        if (
            self.expired_at
            or abs(reported_cold_until - max(now, self.cold_until))
            > COLD_END_TOLERANCE_SECONDS
        ):
            return True
        fields = (
            "incarnation",
            "service",
            "address",
            "data_centre",
            "slots",
            "is_draining",
        )
        return any(getattr(target, f) != getattr(self.target, f) for f in fields)


class ClusterView:
    """Configuration, targets and closed data centres, as far as this VM knows them.

    The view never goes back: a configuration older than the current one is ignored,
    whatever its source.
    """

    __slots__ = (
        "_by_service",
        "_leaving",
        "_names_by_checksum",
        "_checksums_revision",
        "closed_data_centres",
        "configuration",
        "known",
        "revision",
    )

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.known: dict[str, KnownTarget] = {}
        self.closed_data_centres: set[str] = set()
        # Incremented at each change of the usable targets.
        self.revision = 0
        self._by_service: dict[str, list[str]] | None = None
        # Incarnations of targets that say in their answers that they are leaving.
        self._leaving: dict[str, int] = {}
        # Names of targets by checksum, and the revision of the view they belong to.
        self._names_by_checksum: dict[int, str] = {}
        self._checksums_revision = -1

    def apply(self, record: Record, now: float, outage: bool) -> str:
        """Apply one record.

        Parameters
        ----------
        record : Record
        now : float
            Monotonic seconds.
        outage : bool
            Whether the store is or has just been unavailable, so that a removed record
            may have expired although its target lives.

        Returns
        -------
        str
            Kind of the change; empty if nothing has changed.
        """
        if record.configuration is not None:
            return self._apply_configuration(record.configuration)
        if record.target is not None:
            return self._apply_target(record.target, now)
        if record.removed_target:
            return self._apply_removal(record.removed_target, now, outage)
        if (
            record.closed_data_centre
            and record.closed_data_centre not in self.closed_data_centres
        ):
            self.closed_data_centres.add(record.closed_data_centre)
            return self._mark_changed("closed")
        if record.reopened_data_centre in self.closed_data_centres:
            self.closed_data_centres.discard(record.reopened_data_centre)
            return self._mark_changed("opened")
        return ""

    def drop_missing(
        self, names: set[str], closed: set[str], now: float, outage: bool
    ) -> list[str]:
        """Drop what a full read of the store did not return.

        Parameters
        ----------
        names : set of str
            Targets that have a record.
        closed : set of str
            Closed data centres.
        now : float
            Monotonic seconds.
        outage : bool
            As for :meth:`apply`.

        Returns
        -------
        list of str
            Known targets that have no record any more.
        """
        missing = [name for name in self.known if name not in names]
        for name in missing:
            self._apply_removal(name, now, outage)
        if closed != self.closed_data_centres:
            self.closed_data_centres = set(closed)
            self._mark_changed("closed")
        return missing

    def drop_expired(self, now: float, no_more_renewals: bool = False) -> list[str]:
        """Drop the targets whose expired records were not renewed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        no_more_renewals : bool
            Whether the store is known to have been available for long enough that no
            expired record will be renewed any more.

        Returns
        -------
        list of str
            Names of the dropped targets.
        """
        expired = [
            name
            for name, known in self.known.items()
            if known.expired_at
            and (no_more_renewals or now - known.expired_at > EXPIRY_GRACE_SECONDS)
        ]
        for name in expired:
            del self.known[name]
            self._mark_changed("gone")
        return expired

    def has_expired_records(self) -> bool:
        """Return whether an expired record may still be renewed."""
        return any(known.expired_at for known in self.known.values())

    def restart_expiry_grace(self, now: float) -> None:
        """Restart the grace period of expired records during an outage."""
        for known in self.known.values():
            if known.expired_at:
                known.expired_at = now

    def target_name(self, checksum: int) -> str:
        """Return the name of the target with a checksum; empty if there is none."""
        if self._checksums_revision != self.revision:
            self._checksums_revision = self.revision
            self._names_by_checksum = {
                crc32(name.encode()): name for name in self.known
            }
        return self._names_by_checksum.get(checksum, "")

    def find_target(self, checksum: int, incarnation: int) -> Target | None:
        """Return the target with a checksum, if it is this incarnation of it."""
        known = self.known.get(self.target_name(checksum))
        if known is None or known.target.incarnation != incarnation:
            return None
        return known.target

    def is_current(self, identity: tuple[str, int]) -> bool:
        """Return whether a target is known under its name and incarnation."""
        known = self.known.get(identity[0])
        return known is not None and known.target.identity == identity

    def usable_targets(self, service: str) -> list[str]:
        """Return the targets of a service that accept new requests."""
        if self._by_service is None:
            self._by_service = {}
            for name, known in self.known.items():
                if self._accepts_requests(known.target):
                    by_service = self._by_service.setdefault(known.target.service, [])
                    by_service.append(name)
        return self._by_service.get(service, [])

    def is_usable(self, name: str) -> bool:
        """Return whether a target accepts new requests."""
        known = self.known.get(name)
        return known is not None and self._accepts_requests(known.target)

    def mark_leaving(self, target: Target) -> bool:
        """Record that a target says that it is leaving; return whether that is news.

        It stays so for the rest of its incarnation, unless its record says that it was
        draining and is ready again.
        """
        if self._leaving.get(target.name) == target.incarnation:
            return False
        self._leaving[target.name] = target.incarnation
        if len(self._leaving) > MAX_LEAVING_TARGETS:
            del self._leaving[next(iter(self._leaving))]
        self._mark_changed("leaving")
        return True

    def _accepts_requests(self, target: Target) -> bool:
        return (
            not target.is_draining
            and self._leaving.get(target.name) != target.incarnation
            and target.data_centre not in self.closed_data_centres
        )

    def _apply_configuration(self, cfg: Configuration) -> str:
        old = self.configuration
        if old is not None and cfg.version <= old.version:
            return ""
        self.configuration = cfg
        return self._mark_changed("configuration")

    def _apply_target(self, target: Target, now: float) -> str:
        old = self.known.get(target.name)
        if old is not None and old.target.incarnation > target.incarnation:
            return ""
        self.known[target.name] = KnownTarget(target, now)
        if old is None or old.target.incarnation != target.incarnation:
            return self._mark_changed("target")
        before = old.target
        if before.is_draining and not target.is_draining:
            self._leaving.pop(target.name, None)
        if before.is_draining != target.is_draining or before.address != target.address:
            return self._mark_changed("target")
        return ""

    def _apply_removal(self, name: str, now: float, outage: bool) -> str:
        known = self.known.get(name)
        if known is None:
            return ""
        if outage:
            known.expired_at = known.expired_at or now
            return ""
        del self.known[name]
        return self._mark_changed("gone")

    def _mark_changed(self, what: str) -> str:
        self.revision += 1
        self._by_service = None
        return what
