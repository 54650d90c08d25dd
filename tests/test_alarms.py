"""Tests of the alarms page."""

from __future__ import annotations

import re
from pathlib import Path

from berylstage_daemon.answers import REASONS
from berylstage_daemon.metrics import METRICS

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "operating" / "alarms.md").read_text()
SOURCES = (ROOT / "packages" / "daemon" / "src").rglob("*.py")


def first_cells(heading):
    """Return the code spans in the first column of a section's table."""
    section = PAGE.split(f"## {heading}\n")[1].split("\n## ")[0]
    rows = [line for line in section.splitlines() if line.startswith("| ")][1:]
    return [name for row in rows for name in re.findall("`(.+?)`", row.split("|")[1])]


class TestAlarms:
    def test_metrics_exist(self):
        # Guards against renaming a metric so that its alarm never fires again.
        known = {name for name in METRICS if "<reason>" not in name}
        known |= {f"refused.{reason}" for reason in REASONS}
        assert set(first_cells("From metrics")) <= known

    def test_messages_exist(self):
        # Guards against rewording a log message so that its alarm never fires again.
        code = "".join(path.read_text() for path in SOURCES)
        missing = [m for m in first_cells("From logs") if m not in code]
        assert missing == []
