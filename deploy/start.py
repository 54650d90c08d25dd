"""Start the program of an entry VM from a checkout, without installed packages."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("settings", "policy", "transfers", "entry")

sys.path[:0] = [str(ROOT / "packages" / name / "src") for name in PACKAGES]
sys.path.insert(0, str(ROOT / "platform"))

if __name__ == "__main__":
    from berylstage_adapter.program import main

    sys.exit(main())
