"""Tests of workspaces and of finding them by API key."""

from __future__ import annotations

import pytest
from berylstage_entry.workspaces import Workspace, WorkspaceDirectory


class TestWorkspaceDirectory:
    def test_finds_the_workspace_of_each_of_its_keys(self):
        north = Workspace("north", ["k1", "k2"])
        directory = WorkspaceDirectory([north, Workspace("south", ["k3"])])
        assert directory.find("k2") is north
        assert directory.find("k3").name == "south"

    @pytest.mark.parametrize("key", ["", "K1", "k1 ", "k1, k2", "k4"])
    def test_does_not_find_other_keys(self, key):
        assert WorkspaceDirectory([Workspace("north", ["k1", "k2"])]).find(key) is None

    def test_rejects_a_key_of_two_workspaces_without_repeating_it(self):
        pair = [Workspace("north", ["secret"]), Workspace("south", ["secret"])]
        with pytest.raises(ValueError, match="north and south") as caught:
            WorkspaceDirectory(pair)
        assert "secret" not in str(caught.value)

    def test_rejects_a_name_that_is_listed_twice(self):
        with pytest.raises(ValueError, match="listed twice"):
            WorkspaceDirectory([Workspace("north", ["a"]), Workspace("north", ["b"])])


class TestWorkspace:
    @pytest.mark.parametrize("rate", [-1, float("nan"), float("inf"), "5", True, None])
    def test_rejects_an_invalid_rate(self, rate):
        with pytest.raises(ValueError, match="the rate must be a number"):
            Workspace("north", [], rate=rate)

    @pytest.mark.parametrize("priority", [-1, 1.5, "1", True])
    def test_rejects_an_invalid_priority(self, priority):
        with pytest.raises(ValueError, match="priority"):
            Workspace("north", [], priority)

    @pytest.mark.parametrize("key", ["", 7, None])
    def test_rejects_an_invalid_key_without_repeating_the_others(self, key):
        with pytest.raises(ValueError, match="API key") as caught:
            Workspace("north", ["secret", key])
        assert "secret" not in str(caught.value)

    def test_rate_of_zero_is_no_limit(self):
        assert not Workspace("north", []).is_limited
        assert Workspace("north", [], rate=0.5).is_limited
