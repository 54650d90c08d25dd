"""Check that packages import only the packages below them."""

from __future__ import annotations

import ast
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# Packages that each package may import. The product never imports the stand-ins or the
# bench, because these are not installed on an entry VM.
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
    "cli": {"settings", "sheet", "platform", "policy", "transfers"},
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

# Packages that the platform adapter may import: types, settings and the HTTP client.
# The adapter makes no routing decisions, so it needs no policy.
ADAPTER = ROOT / "platform"
ADAPTER_ALLOWED = {"adapter", "entry", "settings", "transfers"}
# Names of the platform's interface. Using them outside the adapter would tie the
# product to one platform.
PLATFORM_NAMES = re.compile(
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


def print_wrong_adapter_imports() -> int:
    """Print each import that the adapter must not have and return their count."""
    faults = 0
    for path in sorted(ADAPTER.rglob("*.py")):
        for other in sorted(imported_packages(path) - ADAPTER_ALLOWED):
            faults += 1
            print(f"{path.relative_to(ROOT)}: the adapter must not import {other}")
    return faults


def print_platform_names() -> int:
    """Print each platform name used outside the adapter and return their count."""
    faults = 0
    for path in sorted((ROOT / "packages").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                faults += 1
                print(f"{path.relative_to(ROOT)}:{number}: a word of the platform")
    return faults


def main() -> int:
    """Print all violations and return the exit status."""
    faults = 0
    for package, allowed in ALLOWED.items():
        for path in sorted((ROOT / "packages" / package / "src").rglob("*.py")):
            for other in sorted(imported_packages(path) - allowed - {package}):
                faults += 1
                where = path.relative_to(ROOT)
                print(f"{where}: {package} must not import {other}")
    faults += print_wrong_adapter_imports() + print_platform_names()
    print(f"imports: {faults} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
