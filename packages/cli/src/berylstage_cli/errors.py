"""Errors of the command line, each with its exit code and its remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration


class OperatorError(Exception):
    """Something that the operator is told instead of a result."""

    exit_code = ExitCode.DEFECT


class BadSetting(OperatorError):
    """A setting is missing or cannot be used."""

    exit_code = ExitCode.USAGE


class FileFault(OperatorError):
    """A file cannot be read or written."""

    exit_code = ExitCode.USAGE


class NoLineOfRequest(OperatorError):
    """No log line names a request."""

    exit_code = ExitCode.NO_ANSWER

    def __init__(self, request: str, unreadable: int):
        super().__init__(
            f"no log line names {request} ({unreadable} lines are no log lines); give "
            "the lines of all VMs, and mind that lines are bounded: `left_out` in "
            "others counts those that were not written"
        )


class NothingAccepted(OperatorError):
    """No sheet was ever accepted."""

    exit_code = ExitCode.NO_ANSWER

    def __init__(self):
        super().__init__("no sheet was ever accepted; run `berylstage apply SHEET`")


class NoVmAnswers(OperatorError):
    """No VM answered a question."""

    exit_code = ExitCode.NO_ANSWER


class StoreUnreachable(OperatorError):
    """The platform gave no answer or refused the call; nothing was written."""

    exit_code = ExitCode.STORE_UNREACHABLE


class Declined(OperatorError):
    """The operator answered no."""

    exit_code = ExitCode.DECLINED

    def __init__(self):
        super().__init__("nothing was written; apply again when you have decided")


class RevisionConflict(OperatorError):
    """Another sheet was accepted since the revision that this one is based on.

    Parameters
    ----------
    based_on : int
        Revision that the refused sheet is based on.
    winner : Configuration or None
        The configuration in force; None when the store holds none.
    """

    exit_code = ExitCode.CONFLICT

    def __init__(self, based_on: int, winner: Configuration | None):
        self.based_on = based_on
        self.winner = winner
        super().__init__(self._message())

    def _message(self) -> str:
        """Return who won and what to do."""
        revision = self.winner.revision if self.winner else 0
        if revision < self.based_on:
            return (
                f"the sheet is based on revision {self.based_on}, but the store is at "
                f"{revision}; check that --platform names the right platform"
            )
        author = self.winner.author if self.winner else ""
        return (
            f"the sheet is based on revision {self.based_on}, but "
            f"{author or 'somebody'} got revision {revision} accepted since; export "
            "that one, make your changes there and apply again"
        )


class UnsettledWrite(OperatorError):
    """The answer to the write was lost, and reading back did not settle it.

    Parameters
    ----------
    revision : int
        Revision that was written or not.
    write_id : str
        Id by which `history` shows it if it took effect.
    cause : str
        Why reading back did not settle it.
    """

    exit_code = ExitCode.UNSETTLED

    def __init__(self, revision: int, write_id: str, cause: str):
        self.revision = revision
        self.write_id = write_id
        super().__init__(
            f"whether revision {revision} was accepted is unknown ({cause}); look for "
            f"write id {write_id} in `berylstage history`, or apply the sheet again"
        )
