"""The commands that show what is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_platform.errors import PlatformError
from cleo.helpers import argument

from berylstage_cli.command import ConnectedCommand
from berylstage_cli.errors import NothingAccepted, NoVmAnswers, StoreUnreachable
from berylstage_cli.history import RevisionSummary
from berylstage_cli.publication import Publisher
from berylstage_cli.rollout import look
from berylstage_cli.view_reports import (
    ConfigurationReport,
    HistoryReport,
    OwnerReport,
    StatusReport,
)
from berylstage_cli.vms import UnknownKey, VmFault

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration

    from berylstage_cli.connections import Connections
    from berylstage_cli.reports import Report
    from berylstage_cli.settings import Settings
    from berylstage_cli.write import Published


async def accepted_configuration(conns: Connections) -> Configuration:
    """Return the configuration in force.

    Raises
    ------
    NothingAccepted
        There is none yet.
    StoreUnreachable
        The store did not answer.
    """
    current = await Publisher(conns.store, conns.sleep).current()
    if current.cfg is None:
        raise NothingAccepted
    return current.cfg


class ShowCommand(ConnectedCommand):
    """Shows the configuration in force."""

    name = "show"
    description = "Show the configuration in force"

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Read the configuration."""
        return ConfigurationReport(await accepted_configuration(conns))


class HistoryCommand(ConnectedCommand):
    """Shows the last revisions."""

    name = "history"
    description = "Show the last revisions with their authors and changes"

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Read the history, and the revision in force if it is not there yet."""
        publisher = Publisher(conns.store, conns.sleep)
        current = await publisher.current()
        if current.cfg is None:
            raise NothingAccepted
        try:
            summaries = await publisher.history.summaries()
        except PlatformError as exc:
            raise StoreUnreachable(f"the history cannot be read ({exc})") from exc
        return HistoryReport(_with_current(summaries, current))


def _with_current(
    summaries: list[RevisionSummary], current: Published
) -> list[RevisionSummary]:
    """Return the summaries with the revision in force among them."""
    cfg = current.cfg
    if cfg is None or any(s.revision == cfg.revision for s in summaries):
        return summaries
    return [RevisionSummary(cfg.revision, cfg.author, cfg.write_id), *summaries]


class StatusCommand(ConnectedCommand):
    """Shows what each VM says of itself."""

    name = "status"
    description = "Show each VM with its revision, readiness and lease"

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Ask every VM once."""
        return StatusReport(await look(conns, await accepted_configuration(conns)))


class OwnerCommand(ConnectedCommand):
    """Shows who answers for a key."""

    name = "owner"
    description = "Show which target owns a key, and which VM leads it"
    arguments = [
        argument("service", "name of the service"),
        argument("key", "the key as callers name it, before percent-encoding"),
    ]

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Ask one VM after the other until one answers."""
        try:
            records = await conns.vm_list.vms()
        except PlatformError as exc:
            raise StoreUnreachable(
                f"the list of VMs cannot be read ({exc}); check --platform"
            ) from exc
        service, key = self.argument("service"), self.argument("key")
        problems = []
        for record in sorted(records, key=lambda record: record.leaving):
            try:
                return OwnerReport(await conns.vms.owner(record, service, key))
            except UnknownKey as exc:
                raise NoVmAnswers(f"{record.name} names no owner: {exc}") from exc
            except VmFault as exc:
                problems.append(f"{record.name}: {exc}")
        raise NoVmAnswers(
            f"no VM answered ({'; '.join(problems) or 'none is listed'}); run "
            "`berylstage status`"
        )
