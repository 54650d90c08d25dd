"""Tests of what the daemon reads from callers' requests."""

from __future__ import annotations

import pytest
from berylstage_daemon.errors import RequestError
from berylstage_daemon.requests import read_issue_time, read_timeout_ms
from berylstage_sheet.configuration import Kind, RequestClass

KIND = Kind("dispatch", RequestClass.INTERACTIVE, False, 5000)
UUID7 = "019aef3c-8c00-7000-8000-000000000001"


class TestTimeout:
    def test_kind_gives_the_default(self):
        assert read_timeout_ms(None, KIND) == 5000

    def test_caller_may_ask_for_less(self):
        assert read_timeout_ms("250", KIND) == 250

    @pytest.mark.parametrize("text", ["0", "-1", "1.5", "soon", "", "9999999"])
    def test_bad_timeout_is_refused_with_the_range(self, text):
        # A caller writes seconds or a word. Taken for zero the request would always
        # time out; the caller reads the range instead, and nothing ran.
        with pytest.raises(RequestError, match="1 to 120000") as caught:
            read_timeout_ms(text, KIND)
        assert caught.value.status == 400


class TestIssueTime:
    def test_uuid7_carries_its_time(self):
        assert read_issue_time(UUID7, None) == 0x019AEF3C8C00

    def test_header_goes_before_the_key(self):
        assert read_issue_time("order-7", "1700000000000") == 1_700_000_000_000

    @pytest.mark.parametrize(
        "key, issued_at, reason",
        [
            ("", None, "no-idempotency-key"),
            (None, "1700000000000", "no-idempotency-key"),
            ("order-7", None, "no-issue-time"),
            ("3f2504e0-4f89-41d3-9a0c-0305e82c3301", None, "no-issue-time"),
            ("order-7", "yesterday", "bad-issue-time"),
        ],
    )
    def test_unprovable_request_is_refused(self, key, issued_at, reason):
        # A client sends a dispatch without a usable key. Were it let through, its
        # retry could not be told from a second order, and two motors would be shipped.
        with pytest.raises(RequestError) as caught:
            read_issue_time(key, issued_at)
        assert caught.value.reason == reason
