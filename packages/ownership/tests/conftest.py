"""Makes the shared fakes importable and builds worlds of them."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from ownership_model import explore
from ownership_setting import build_world


@pytest.fixture
def build():
    """Return a function that builds a world of a few VMs, settled."""
    return build_world


@pytest.fixture
def caught():
    """Return a function that tells whether the model finds a fault."""

    def run(examples=400, steps=25):
        try:
            explore(examples, steps)
        except AssertionError:
            return True
        return False

    return run
