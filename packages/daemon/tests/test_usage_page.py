"""The callers' page: its examples are run as they stand."""

from __future__ import annotations

import asyncio
import os
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[3]
PAGE = ROOT / "docs" / "usage" / "index.md"
EXAMPLES = re.findall(r"```sh\n(.*?)```", PAGE.read_text(), re.DOTALL)
# Status and outcome of each example, in the order of the page.
EXPECTED = [
    ("200", "answered"),
    ("400", "not-run"),
    ("200", "answered"),
]


async def run_example(path, text):
    """Run an example in a shell and return what it prints."""
    process = await asyncio.create_subprocess_shell(
        text,
        env={**os.environ, "VM": path.base},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    out, _ = await process.communicate()
    return out.decode()


class TestExamples:
    def test_each_is_checked(self):
        assert len(EXAMPLES) == len(EXPECTED)

    @pytest.mark.parametrize("number", range(len(EXPECTED)))
    def test_example_does_what_the_page_says(self, path, number):
        # Somebody copies an example from the page. When the interface has changed
        # under it, they take berylstage for broken.
        printed = path.run(run_example(path, EXAMPLES[number]))
        status, outcome = EXPECTED[number]
        assert printed.split()[1] == status, printed
        assert f"Berylstage-Outcome: {outcome}" in printed
