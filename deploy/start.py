"""Start the program of an entry VM from a checkout, without installed packages."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("settings", "policy", "transfers", "entry")

# The application handles it once it runs; until then it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path[:0] = [str(ROOT / "packages" / name / "src") for name in PACKAGES]
sys.path.insert(0, str(ROOT / "platform"))

if __name__ == "__main__":
    from berylstage_adapter.program import main

    sys.exit(main())
