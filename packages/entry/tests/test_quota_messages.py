"""Tests of the datagrams of the quota protocol and of confirmations."""

from __future__ import annotations

import pytest
from berylstage_entry.confirmation_messages import (
    ConfirmationReply,
    ConfirmationRequest,
)
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.notice_messages import LimitNotice, RestNotice
from berylstage_entry.quota_messages import (
    Loan,
    LoanReply,
    Stamp,
    TargetTokenRequest,
    TokenReply,
    TokenRequest,
)


class TestDatagrams:
    def test_loan(self):
        found = Loan.decode(Loan(Stamp.at(9, 12.3456), 0b101, 77).encode())
        assert (found.stamp.incarnation, found.groups, found.lender) == (9, 5, 77)
        assert found.stamp.seconds == 12.345

    def test_loan_reply(self):
        found = LoanReply.decode(LoanReply(Stamp(9, 5), 77, True, False).encode())
        assert (found.lender, found.is_accepted, found.is_closed) == (77, True, False)

    def test_token_request_is_capped(self):
        assert TokenRequest.decode(TokenRequest(1, 2, 10**9).encode()).count == 65535

    def test_token_request_of_a_target(self):
        found = TargetTokenRequest.decode(TargetTokenRequest(1, 2, 10**9, 3.1).encode())
        assert (found.number, found.quota) == (1, 2)
        assert (found.count, found.rate) == (65535, 3.1)

    @pytest.mark.parametrize("rate", [None, 0.0, 3.1])
    def test_limit_notice(self, rate):
        found = LimitNotice.decode(LimitNotice(1, 1 << 41, rate).encode())
        assert (found.target, found.incarnation, found.rate) == (1, 1 << 41, rate)

    @pytest.mark.parametrize("rate", [-1.0, float("nan"), float("-inf")])
    def test_rate_that_is_no_rate(self, rate):
        messages = (
            LimitNotice(1, 2, rate),
            RestNotice(1, 2, rate),
            TargetTokenRequest(1, 2, 3, rate),
        )
        for message in messages:
            with pytest.raises(InvalidRecord):
                type(message).decode(message.encode())

    def test_token_reply(self):
        found = TokenReply.decode(TokenReply(1, 2, 0.0501, False).encode())
        assert (found.count, found.retry_after, found.is_served) == (2, 0.051, False)

    def test_age_of_a_confirmation_is_rounded_up(self):
        # Guards against a configuration that seems more recent than it is.
        assert ConfirmationReply.decode(
            ConfirmationReply(1, 7, 1.0001).encode()
        ).age == (1.001)

    @pytest.mark.parametrize(
        "kind",
        [
            LimitNotice,
            Loan,
            LoanReply,
            RestNotice,
            TargetTokenRequest,
            TokenRequest,
            TokenReply,
            ConfirmationRequest,
            ConfirmationReply,
        ],
    )
    @pytest.mark.parametrize("data", [b"", b"\x1a", b"\x1a" + 40 * b"x"])
    def test_other_bytes_are_invalid(self, kind, data):
        with pytest.raises(InvalidRecord):
            kind.decode(data)
