"""Extracts the log lines that an entry VM may write from its source code."""

from __future__ import annotations

import ast
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

LEVELS = ("debug", "info", "warning", "error", "exception")
# Callables whose first string argument is the reason for which a request ended.
REASON_CALLS = ("Refused", "build_error", "Unanswered")


class LogLine:
    """A log line that the code may write.

    Parameters
    ----------
    message, level, module : str
    fields : list of str
        Names of the line's own fields, without those that all lines have.
    """

    __slots__ = ("fields", "level", "message", "module")

    def __init__(self, message: str, level: str, module: str, fields: list[str]):
        self.message = message
        self.level = level
        self.module = module
        self.fields = fields


def find_log_lines(folder: Path) -> list[LogLine]:
    """Return the log lines of all modules in a folder, sorted by message.

    Parameters
    ----------
    folder : Path

    Returns
    -------
    list of LogLine
    """
    found = [
        line
        for path in sorted(folder.rglob("*.py"))
        for line in _parse_log_lines(path.stem, ast.parse(path.read_text()))
    ]
    return sorted(found, key=lambda line: (line.message, line.module))


def find_end_reasons(folder: Path) -> set[str]:
    """Return the reasons for which requests end without a target's answer."""
    return {
        reason
        for path in sorted(folder.rglob("*.py"))
        for reason in _parse_reasons(ast.parse(path.read_text()))
    }


def _parse_log_lines(module: str, tree: ast.AST) -> Iterator[LogLine]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if not isinstance(owner, ast.Name) or owner.id != "log":
            continue
        message = _get_string_constant(node.args[0]) if node.args else ""
        # Entry VMs do not write debug lines.
        if message and node.func.attr in LEVELS[1:]:
            yield LogLine(message, node.func.attr, module, _parse_extra_fields(node))


def _parse_extra_fields(node: ast.Call) -> list[str]:
    for keyword in node.keywords:
        if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
            return [
                _get_string_constant(key)
                for key in keyword.value.keys
                if key is not None
            ]
    return []


def _parse_reasons(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        if name in REASON_CALLS:
            yield from filter(None, map(_get_string_constant, node.args[:2]))


def _get_string_constant(node: ast.expr) -> str:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    return ""
