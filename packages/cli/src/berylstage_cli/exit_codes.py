"""Exit codes of the command line; the operators' pages are made from them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code tells a script."""

    OK = 0
    FAULTY_SHEET = 1
    USAGE = 2
    CONFLICT = 3
    STORE_UNREACHABLE = 4
    NOT_IN_FORCE = 5
    UNSETTLED = 6
    NO_ANSWER = 7
    DECLINED = 8
    DEFECT = 70
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: "Done. For `apply`: accepted and in force on every VM.",
    ExitCode.FAULTY_SHEET: "The sheet has faults, all of which are printed. "
    "Nothing was written.",
    ExitCode.USAGE: "A command, flag, setting or file name is wrong. "
    "Nothing was written.",
    ExitCode.CONFLICT: "Somebody else's sheet was accepted first; their difference is "
    "printed. Nothing was written.",
    ExitCode.STORE_UNREACHABLE: "The platform gave no answer or refused the call. "
    "Nothing was written.",
    ExitCode.NOT_IN_FORCE: "The revision is accepted, but not in force on every VM; "
    "those that lack it are named.",
    ExitCode.UNSETTLED: "The store's answer to the write was lost, and reading back "
    "did not settle whether it took effect. Run `history`, or the same `apply` again.",
    ExitCode.NO_ANSWER: "There is nothing to show: no sheet was ever accepted, or no "
    "VM answered.",
    ExitCode.DECLINED: "The operator answered no. Nothing was written.",
    ExitCode.DEFECT: "A defect of the command line itself; report the trace.",
    ExitCode.INTERRUPTED: "Interrupted by the operator. After `apply`, `history` tells "
    "whether the sheet was accepted.",
}
