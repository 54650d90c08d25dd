"""Adds this folder and the platform adapter to the import path.

The adapter is added as the start script does. Its tests are in this folder: in the
adapter's own folder, pytest would create a module named ``platform`` that hides the one
of the standard library.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from soak.ledger import Ledger


@pytest.fixture
def ledger():
    """Return the record of a soak in which nothing has happened yet."""
    return Ledger()
