"""Tests of the connections to targets."""

from __future__ import annotations

import pytest
from berylstage_entry.senders import Senders


class TestSenders:
    @pytest.mark.parametrize(
        ("accepted", "vms"), [(50, 13), (120, 12), (95, 67), (520, 78)]
    )
    def test_all_vms_together_stay_within_what_a_target_accepts(self, accepted, vms):
        # A target resets connections beyond what it accepts from all VMs, and with them
        # requests of which nobody knows whether they ran.
        senders = Senders(None)
        senders.vms = vms
        assert 1 <= senders.share(accepted) * vms <= 0.75 * accepted
