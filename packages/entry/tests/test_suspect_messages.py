"""Tests of the datagrams about requests that end targets."""

from __future__ import annotations

import pytest
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.suspect_messages import (
    STATES_PER_DATAGRAM,
    Outcome,
    OutcomeReport,
    TrialReply,
    TrialRequestMessage,
    decode_news,
    encode_news,
)
from berylstage_policy.suspects import SuspectState, TargetEnd, TrialStatus
from hypothesis import given
from hypothesis import strategies as st

MAX_FRAME_BYTES = 1472
FINGERPRINTS = st.integers(1, (1 << 64) - 1)
ENDS = st.builds(
    TargetEnd, st.integers(1, (1 << 32) - 1), st.integers(0, (1 << 64) - 1)
)
STATES = st.builds(
    SuspectState,
    FINGERPRINTS,
    st.lists(ENDS, max_size=3).map(tuple),
    st.integers(0, 255),
    st.integers(0, 640_000).map(lambda ms: ms / 1000),
)


class TestSuspectMessages:
    @given(st.lists(STATES, max_size=60))
    def test_news_arrive_as_sent(self, states):
        datagrams = encode_news(states)
        assert [s for data in datagrams for s in decode_news(data)] == states
        assert all(len(data) <= MAX_FRAME_BYTES for data in datagrams)
        assert len(datagrams) == -(-len(states) // STATES_PER_DATAGRAM)

    @given(STATES, st.integers(1, (1 << 32) - 1), st.integers(0, 60_000), st.booleans())
    def test_trial_request_arrives_as_sent(self, state, number, ms, is_keyed):
        sent = TrialRequestMessage(number, 5, ms / 1000, is_keyed, state)
        got = TrialRequestMessage.decode(sent.encode())
        seen = got.number, got.lane, got.seconds, got.is_keyed, got.state
        assert seen == (number, 5, ms / 1000, is_keyed, state)

    @given(st.sampled_from(TrialStatus), st.integers(0, 640_000))
    def test_reply_arrives_as_sent(self, status, ms):
        got = TrialReply.decode(TrialReply(7, status, ms / 1000).encode())
        assert (got.number, got.status, got.seconds) == (7, status, ms / 1000)

    @given(st.sampled_from(Outcome), FINGERPRINTS, ENDS)
    def test_report_arrives_as_sent(self, outcome, fingerprint, end):
        sent = OutcomeReport(outcome, fingerprint, 9, end)
        got = OutcomeReport.decode(sent.encode())
        assert (got.outcome, got.fingerprint, got.number, got.end) == (
            outcome,
            fingerprint,
            9,
            end,
        )

    @pytest.mark.parametrize(
        "decode",
        [
            OutcomeReport.decode,
            TrialRequestMessage.decode,
            TrialReply.decode,
            decode_news,
        ],
    )
    @given(data=st.binary(max_size=80))
    def test_malformed_datagrams_are_rejected(self, decode, data):
        # Guards against a VM that fails on a datagram of another version.
        try:
            decode(data)
        except InvalidRecord:
            return
