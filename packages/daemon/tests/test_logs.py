"""Tests of the JSON lines."""

from __future__ import annotations

import io
import json
import logging

import pytest
from berylstage_daemon.answers import REASONS, reason_label
from berylstage_daemon.logs import library_logs, make_handler
from logbook import Logger

log = Logger("leader")


@pytest.fixture
def lines():
    """Return a list to which each line that is logged is added when it is read."""
    stream = io.StringIO()
    with make_handler("almaty-a-1", stream).applicationbound():
        yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]


class TestJsonLines:
    def test_line_names_vm_level_and_fields(self, lines):
        log.info("sent", extra={"target": "field-log-01"})
        (line,) = lines()
        assert line["vm"] == "almaty-a-1"
        assert line["level"] == "info"
        assert line["target"] == "field-log-01"

    def test_field_does_not_replace_what_each_line_has(self, lines):
        # A field happens to be named like one that each line has. Whoever searches by
        # level would miss the line.
        log.error("lost", extra={"level": "low", "vm": "other"})
        (line,) = lines()
        assert line["level"] == "error"
        assert line["vm"] == "almaty-a-1"

    def test_exception_is_one_line(self, lines):
        try:
            raise KeyError("field-log-01")
        except KeyError:
            log.exception("failed")
        (line,) = lines()
        assert "KeyError" in line["exception"]

    def test_error_of_a_library_is_a_line_too(self, lines):
        # A task of the HTTP library fails. As plain text on another stream nobody who
        # searches the JSON lines would find it.
        with library_logs():
            logging.getLogger("asyncio").error("a task failed")
        (line,) = lines()
        assert line["message"] == "a task failed"
        assert line["logger"] == "asyncio"


class TestReasons:
    def test_reason_of_ours_is_a_metric(self):
        assert all(reason_label(reason) == reason for reason in REASONS)

    def test_reason_that_a_target_made_up_is_none(self):
        # A target puts a request id into its refusals. A metric for each of them would
        # fill the metrics' server.
        assert reason_label("busy-with-request-4711") == "other"
