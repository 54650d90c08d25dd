"""Tests of links in the documentation and of page paths in the code."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGES = [ROOT / "README.md", ROOT / "CHANGES.md", *(ROOT / "docs").rglob("*.md")]
CODE = [path for path in (ROOT / "packages").rglob("*.py") if "src" in path.parts]


class TestLinks:
    def test_each_link_target_exists(self):
        # Guards against links to pages that were renamed or removed.
        broken = [
            f"{page.name}: {link}"
            for page in PAGES
            for link in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text())
            if not (page.parent / link).exists()
        ]
        assert broken == []

    def test_each_page_that_code_names_exists(self):
        # Guards against comments and error messages that refer to a missing page.
        named = {
            (path.name, name)
            for path in CODE
            for name in re.findall(r"docs/[A-Za-z/_-]+\.md", path.read_text())
        }
        assert [pair for pair in named if not (ROOT / pair[1]).exists()] == []
