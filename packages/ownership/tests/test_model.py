"""The protocol under arbitrary interleavings of faults."""

from __future__ import annotations

from ownership_model import explore


class TestModel:
    def test_no_interleaving_breaks_ownership(self):
        # VMs pause, restart with empty memory, are cut off one way; messages are lost,
        # late and out of order; targets freeze; the store fails; operators edit.
        # A user would notice a fault here as one visit history with two versions.
        explore(examples=60, steps=25)
