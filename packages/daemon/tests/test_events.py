"""Tests of named events."""

from __future__ import annotations

import pytest
from berylstage_daemon.events import EventManager, UnknownEvent


class TestEventManager:
    def test_listeners_are_called_in_order(self):
        events = EventManager()
        heard = []
        events.connect("target-up", lambda name: heard.append(("first", name)))
        events.connect("target-up", lambda name: heard.append(("second", name)))
        events.emit("target-up", "field-log-01")
        assert heard == [("first", "field-log-01"), ("second", "field-log-01")]

    def test_unknown_event_is_refused(self):
        # Somebody misspells an event when connecting a listener. Without the check
        # the listener would never be called, and nothing would say so.
        events = EventManager()
        with pytest.raises(UnknownEvent, match=r"events\.py"):
            events.connect("target-upp", print)
