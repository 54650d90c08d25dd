"""Puts the adapter on the path, as the start script does.

Its tests stand here: under its own folder pytest would make a module of the folder's
name, and so hide the standard library's.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))
