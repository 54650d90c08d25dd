"""Tests of the import directions between packages."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class TestImports:
    def test_no_import_crosses_the_wrong_way(self):
        # A product module that imports a stand-in works on a development machine but
        # fails at startup on an entry VM, where stand-ins are not installed.
        done = subprocess.run(
            [sys.executable, str(ROOT / "tools" / "check_imports.py")],
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stdout
