"""Check that packages import only the packages below them."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# Each package and those it may import. The product never imports the stand-ins or
# the bench: a daemon that needed them could not run on an entry VM.
ALLOWED = {
    "settings": set(),
    "sheet": set(),
    "policy": set(),
    "messages": set(),
    "ownership": {"sheet", "messages", "policy"},
    "transfers": set(),
    "platform": {"transfers"},
    "targets": {"transfers"},
    "daemon": {"settings", "sheet", "policy", "messages", "ownership"}
    | {"platform", "targets"},
    "cli": {"settings", "sheet", "platform", "policy"},
    "standins": {"sheet", "platform", "targets", "transfers"},
    "bench": {"sheet", "policy", "messages", "ownership", "platform", "targets"}
    | {"standins", "daemon", "transfers"},
}


def imported_packages(path: Path) -> set[str]:
    """Return the workspace packages that a source file imports.

    Parameters
    ----------
    path : Path
        A Python source file.

    Returns
    -------
    set of str
        Short package names, without the ``berylstage_`` prefix.
    """
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    tops = {name.split(".")[0] for name in names}
    prefix = "berylstage_"
    return {top.removeprefix(prefix) for top in tops if top.startswith(prefix)}


def main() -> int:
    """Print each wrong import and return the exit status."""
    faults = 0
    for package, allowed in ALLOWED.items():
        for path in sorted((ROOT / "packages" / package / "src").rglob("*.py")):
            for other in sorted(imported_packages(path) - allowed - {package}):
                faults += 1
                where = path.relative_to(ROOT)
                print(f"{where}: {package} must not import {other}")
    print(f"imports: {faults} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
