"""Tests of the generated tables in the documentation."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def write_tables(*args: str) -> subprocess.CompletedProcess:
    """Run ``tools/write_tables.py`` with the given arguments."""
    tool = str(ROOT / "tools" / "write_tables.py")
    return subprocess.run(
        [sys.executable, tool, *args], capture_output=True, text=True, timeout=60
    )


class TestTables:
    def test_pages_agree_with_the_code(self):
        # Guards against a change in the code, such as a new column of the sheet, that
        # is missing from its page.
        done = write_tables("--check")
        assert done.returncode == 0, done.stdout

    def test_drift_is_found_and_mended(self, tmp_path):
        # Guards against manual edits of a generated table that go unnoticed.
        shutil.copytree(ROOT / "docs", tmp_path / "docs")
        page = tmp_path / "docs" / "operating" / "sheet.md"
        page.write_text(page.read_text().replace("| `shards` |", "| `shard` |"))
        done = write_tables("--check", "--root", str(tmp_path))
        assert done.returncode == 1
        assert "docs/operating/sheet.md: table 'sections' differs" in done.stdout
        assert write_tables("--root", str(tmp_path)).returncode == 0
        assert write_tables("--check", "--root", str(tmp_path)).returncode == 0
