"""Parts of a soak for tests of its checks."""

from __future__ import annotations


class FakeTarget:
    """The attributes of a target that the ledger reads."""

    def __init__(self, name, holds=()):
        self.name = name
        self.incarnation = 1
        self.holds = list(holds)
