"""Check that packages import only the packages below them."""

from __future__ import annotations

import ast
import re
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
    "entry": {"policy", "transfers"},
    "daemon": {"settings", "sheet", "policy", "messages", "ownership"}
    | {"platform", "targets", "entry"},
    "cli": {"settings", "sheet", "platform", "policy"},
    "standins": {"sheet", "platform", "targets", "transfers"},
    "bench": {
        "sheet",
        "policy",
        "entry",
        "messages",
        "ownership",
        "platform",
        "targets",
    }
    | {"standins", "daemon", "transfers"},
}

# What the adapter to the users' platform may import: types, settings and the client of
# calls. It decides nothing, so it needs no policy.
ADAPTER = ROOT / "platform"
ADAPTER_ALLOWED = {"adapter", "entry", "settings", "transfers"}
# Words that only the platform's pages use. Outside the adapter they would tie the
# product to one platform.
PLATFORM_WORDS = re.compile(
    r"berylstage-(attempt|deadline|backend|expected|not-executed|shard|warmup)"
    r"|kv-(txn|range|watch|lease|keep|key)|op/config|op/evacuate|warmup_left_ms"
    r"|BERYLSTAGE_NODE_FILE",
    re.IGNORECASE,
)


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


def adapter_faults() -> int:
    """Print each import of the adapter that brings in decisions; return their count."""
    faults = 0
    for path in sorted(ADAPTER.rglob("*.py")):
        for other in sorted(imported_packages(path) - ADAPTER_ALLOWED):
            faults += 1
            print(f"{path.relative_to(ROOT)}: the adapter must not import {other}")
    return faults


def word_faults() -> int:
    """Print each word of the platform outside the adapter; return their count."""
    faults = 0
    for path in sorted((ROOT / "packages").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_WORDS.search(line):
                faults += 1
                print(f"{path.relative_to(ROOT)}:{number}: a word of the platform")
    return faults


def main() -> int:
    """Print each wrong import and return the exit status."""
    faults = 0
    for package, allowed in ALLOWED.items():
        for path in sorted((ROOT / "packages" / package / "src").rglob("*.py")):
            for other in sorted(imported_packages(path) - allowed - {package}):
                faults += 1
                where = path.relative_to(ROOT)
                print(f"{where}: {package} must not import {other}")
    faults += adapter_faults() + word_faults()
    print(f"imports: {faults} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
