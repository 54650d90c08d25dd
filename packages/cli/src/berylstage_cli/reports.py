"""What the commands with a sheet print, for a person or as JSON for a script."""

from __future__ import annotations

from abc import ABC, abstractmethod
from itertools import groupby
from typing import TYPE_CHECKING

from berylstage_sheet.difference import Altered, Change, compare

from berylstage_cli.errors import OperatorError, RevisionConflict, UnsettledWrite
from berylstage_cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from berylstage_sheet.configuration import Configuration
    from berylstage_sheet.errors import FaultySheet

    from berylstage_cli.rollout import Rollout
    from berylstage_cli.write import Accepted


class Report(ABC):
    """The outcome of a command."""

    exit_code = ExitCode.OK

    @abstractmethod
    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""

    @abstractmethod
    def document(self) -> dict:
        """Return what ``--json`` prints; the exit code is added to it."""


class TextReport(Report):
    """A report that is one text.

    Parameters
    ----------
    text : str
    fields : dict
        The same for ``--json``.
    """

    def __init__(self, text: str, fields: dict):
        self.text = text
        self.fields = fields

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        yield from self.text.splitlines()

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return self.fields


class FaultsReport(Report):
    """The faults of a sheet."""

    exit_code = ExitCode.FAULTY_SHEET

    def __init__(self, faults: FaultySheet):
        self.faults = faults.faults

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        yield from map(str, self.faults)
        yield f"{len(self.faults)} faults; nothing was written"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        faults = [
            {
                "kind": type(fault).__name__,
                "row": fault.row,
                "column": fault.column,
                "problem": fault.problem,
                "remedy": fault.remedy,
            }
            for fault in self.faults
        ]
        return {"faults": faults}


class ErrorReport(Report):
    """Errors that take the place of a result."""

    def __init__(self, errors: Sequence[OperatorError]):
        self.errors = errors
        self.exit_code = errors[0].exit_code

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        yield from map(str, self.errors)

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        doc: dict = {"errors": [str(exc) for exc in self.errors]}
        first = self.errors[0]
        if isinstance(first, UnsettledWrite):
            doc |= {"revision": first.revision, "write_id": first.write_id}
        return doc


class ConflictReport(ErrorReport):
    """A sheet that lost against another one.

    Parameters
    ----------
    conflict : RevisionConflict
    mine : Configuration
        The sheet that was refused.
    """

    def __init__(self, conflict: RevisionConflict, mine: Configuration):
        super().__init__([conflict])
        self.winner = conflict.winner
        # From theirs to ours: what applying the sheet would have undone or changed.
        self.difference = DifferenceReport(
            self.winner, mine, compare(self.winner, mine)
        )

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        yield from super().lines()
        if self.winner is not None:
            yield f"from revision {self.winner.revision} to your sheet:"
            yield from self.difference.change_lines()

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        winner = self.winner
        return {
            **super().document(),
            "winner": {
                "revision": winner.revision if winner else 0,
                "author": winner.author if winner else "",
            },
            "changes": self.difference.document()["changes"],
        }


class DifferenceReport(Report):
    """What a sheet would change."""

    def __init__(
        self,
        before: Configuration | None,
        after: Configuration,
        changes: list[Change],
    ):
        self.revision = before.revision if before else 0
        self.after = after
        self.changes = changes

    def change_lines(self) -> Iterator[str]:
        """Yield the changes under a heading for each weight."""
        for weight, changes in groupby(self.changes, key=lambda c: c.weight):
            yield f"{weight.label}:"
            yield from (f"  {change}" for change in changes)

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        if self.changes:
            yield f"changes to revision {self.revision}: {len(self.changes)}"
            yield from self.change_lines()
        else:
            yield f"no changes to revision {self.revision}"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return {
            "revision": self.revision,
            "changes": [change_document(change) for change in self.changes],
        }


def change_document(change: Change) -> dict:
    """Return a change as JSON takes it."""
    doc = {
        "weight": change.weight.label,
        "kind": type(change).__name__.lower(),
        "section": change.section.name,
        "name": list(change.identity),
    }
    if isinstance(change, Altered):
        doc |= {
            "column": change.column,
            "before": change.before,
            "after": change.after,
        }
    return doc


class RolloutReport(Report):
    """On which VMs a revision is in force."""

    def __init__(self, rollout: Rollout):
        self.rollout = rollout
        complete = rollout.complete
        self.exit_code = ExitCode.OK if complete else ExitCode.NOT_IN_FORCE

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        rollout = self.rollout
        if rollout.problem:
            yield rollout.problem
        for vm in rollout.missing:
            yield f"not in force on {vm.name} ({vm.data_centre}): {vm.problem}"
        for name in rollout.unlisted:
            yield f"not waited for: {name}, which the platform does not list"
        yield (
            f"revision {rollout.revision} is in force on {len(rollout.in_force)} of "
            f"{len(rollout.vms)} VMs"
        )
        if not rollout.complete:
            yield "it stays accepted; run `berylstage status` to see it arrive"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        rollout = self.rollout
        return {
            "revision": rollout.revision,
            "in_force": rollout.in_force,
            "missing": [
                {"vm": vm.name, "problem": vm.problem} for vm in rollout.missing
            ],
            "unlisted": rollout.unlisted,
            "problem": rollout.problem,
        }


class AppliedReport(RolloutReport):
    """An accepted sheet and how far it has got.

    Parameters
    ----------
    accepted : Accepted
    changes : list of Change
        Empty when the sheet was in force already.
    rollout : Rollout
    """

    def __init__(self, accepted: Accepted, changes: list[Change], rollout: Rollout):
        super().__init__(rollout)
        self.accepted = accepted
        self.changes = changes

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        cfg = self.accepted.cfg
        later = self.accepted.superseded_by
        if later is not None:
            yield (
                f"revision {cfg.revision} was accepted, then {later.author} got "
                f"revision {later.revision} accepted; run `berylstage diff` to compare"
            )
        if not self.accepted.recorded:
            yield "the history could not be written; the next apply completes it"
        yield from super().lines()
        if self.changes:
            yield f"before the next change, set 'based on' to {cfg.revision}"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        cfg = self.accepted.cfg
        later = self.accepted.superseded_by
        return {
            **super().document(),
            "accepted": cfg.revision,
            "write_id": cfg.write_id,
            "changes": [change_document(change) for change in self.changes],
            "superseded_by": later.revision if later else None,
            "recorded": self.accepted.recorded,
        }
