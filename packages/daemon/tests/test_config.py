"""Tests of the daemon's settings."""

from __future__ import annotations

import pytest
from berylstage_daemon.config import SETTINGS, read_settings
from berylstage_settings.errors import FaultySettings

GOOD = {"vm": "almaty-a-1", "data-centre": "almaty-a", "platform": "127.0.0.1:9000"}


class TestReadSettings:
    def test_defaults_fill_what_is_not_given(self):
        cfg = read_settings(GOOD, {})
        assert cfg.http == "127.0.0.1:8080"
        assert cfg.statsd is None
        assert cfg.shutdown_limit == 30.0

    def test_flag_goes_before_variable(self):
        env = {"BERYLSTAGE_VM": "taraz-a-1", "BERYLSTAGE_CELL": "cell-7"}
        cfg = read_settings(GOOD, env)
        assert cfg.vm == "almaty-a-1"
        assert cfg.cell == "cell-7"

    @pytest.mark.parametrize(
        "name, text",
        [
            ("vm", "two words"),
            ("http", "localhost:8080"),
            ("peer", "127.0.0.1"),
            ("peer", "127.0.0.1:70000"),
            ("platform", "127.0.0.1:0"),
            ("body-limit", "-1"),
            ("store-timeout", "soon"),
            ("request-log", "some"),
        ],
    )
    def test_bad_value_names_flag_and_remedy(self, name, text):
        # Somebody mistypes a setting of a new VM. Without the check the daemon would
        # start and fail at the first request that needs the setting.
        with pytest.raises(FaultySettings) as caught:
            read_settings({**GOOD, name: text}, {})
        (fault,) = caught.value.faults
        assert fault.name == name
        assert "use " in str(fault)
        meaning = next(s.meaning for s in SETTINGS if s.name == name)
        assert meaning in str(fault)

    def test_all_faults_are_reported_at_once(self):
        # A new VM lacks several settings. Reported one by one, each would cost the
        # person who sets it up another start.
        with pytest.raises(FaultySettings) as caught:
            read_settings({"http": "x"}, {})
        flags = {fault.name for fault in caught.value.faults}
        assert flags == {"vm", "data-centre", "platform", "http"}
