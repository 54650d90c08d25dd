"""Adds the platform adapter to the import path, as the start script does.

The adapter's tests are in this folder: in the adapter's own folder, pytest would create
a module named ``platform`` that hides the one of the standard library.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))
