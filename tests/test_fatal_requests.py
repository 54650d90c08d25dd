"""Tests with real processes of requests that end each target that runs them."""

from __future__ import annotations

import pytest
from fatal_load import (
    CONVICTING_ENDS,
    FatalLoad,
    Persistence,
    PopularLoad,
    play_load,
)

# Least share of other requests that are served meanwhile.
MIN_SERVED_SHARE = 0.95


@pytest.mark.failures
@pytest.mark.failures_ci
class TestFatalRequests:
    @pytest.mark.parametrize(
        ("is_keyed", "persistence"),
        [
            (False, Persistence(3, 4, 0.3)),
            (True, Persistence(3, 4, 0.2)),
            (False, Persistence(6, 6, 0.3)),
        ],
        ids=["without-key", "with-key", "many-callers"],
    )
    def test_request_that_ends_targets_is_given_up(
        self, tmp_path, is_keyed, persistence
    ):
        # Guards against a request that ends one target after the other, for as long as
        # its callers repeat it through other VMs.
        load = play_load(tmp_path, lambda x: FatalLoad(x, is_keyed, persistence))
        # All callers may have sent it before the first target has ended.
        assert len(load.end_times) <= max(CONVICTING_ENDS, persistence.callers + 1)
        assert load.late_runs == 0
        assert load.served_share >= MIN_SERVED_SHARE

    @pytest.mark.parametrize("is_keyed", [False, True])
    def test_popular_request_is_not_blamed_for_other_ends(self, tmp_path, is_keyed):
        # Guards against refusing the busiest request, which most ended targets ran.
        load = play_load(tmp_path, lambda x: PopularLoad(x, is_keyed))
        assert load.count_convictions(tmp_path) == 0
