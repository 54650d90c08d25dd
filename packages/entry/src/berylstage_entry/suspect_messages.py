"""Datagrams about requests that are suspected of ending targets."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import TYPE_CHECKING

from berylstage_policy.suspects import (
    CONVICTING_ENDS,
    SuspectState,
    TargetEnd,
    TrialStatus,
)

from berylstage_entry.errors import InvalidRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

# First byte of each kind of datagram.
OUTCOME_REPORT_TYPE = 40
TRIAL_REQUEST_TYPE = 41
TRIAL_REPLY_TYPE = 42
SUSPECT_NEWS_TYPE = 43
_MILLISECONDS = 1000
_MAX_BYTE = 255
_MAX_SHORT = 65535
_MAX_LONG = (1 << 32) - 1
# Type, outcome, fingerprint, number of the trial, checksum and incarnation of the
# target.
_REPORT = struct.Struct("<BBQIIQ")
# Type, number, checksum of the lane, milliseconds to the deadline, whether it has a
# key; the state follows.
_REQUEST = struct.Struct("<BIIHB")
# Type, number, status, milliseconds until the next trial.
_REPLY = struct.Struct("<BIBI")
# Checksum and incarnation of a target, for each end; zeros where there are fewer.
_ENDS = "IQ" * CONVICTING_ENDS
# Fingerprint, convictions, milliseconds for which it is refused, ends.
_STATE = struct.Struct("<QBI" + _ENDS)
# States in one datagram, which stays below the size of an Ethernet frame.
STATES_PER_DATAGRAM = 25
# Stands for no end.
NO_END = TargetEnd(0, 0)
# Stands for an attempt that was no trial.
NO_TRIAL = 0


def _unpack(layout: struct.Struct, data: bytes) -> tuple:
    try:
        return layout.unpack(data)
    except struct.error as exc:
        raise InvalidRecord(f"invalid datagram about suspects: {exc}") from exc


class Outcome(IntEnum):
    """What an attempt has shown of a request."""

    TARGET_ENDED = 1
    ANSWERED = 2
    NOTHING = 3


class OutcomeReport:
    """What an attempt of a suspect has shown.

    Parameters
    ----------
    outcome : Outcome
    fingerprint : int
    number : int
        Number of its trial, counted by the reporting VM; ``NO_TRIAL`` if it had none.
    end : TargetEnd
        The target that has ended, if any.
    """

    __slots__ = ("end", "fingerprint", "number", "outcome")

    def __init__(
        self,
        outcome: Outcome,
        fingerprint: int,
        number: int = NO_TRIAL,
        end: TargetEnd = NO_END,
    ):
        self.outcome = outcome
        self.fingerprint = fingerprint
        self.number = number
        self.end = end

    def encode(self) -> bytes:
        """Return the datagram."""
        return _REPORT.pack(
            OUTCOME_REPORT_TYPE,
            self.outcome,
            self.fingerprint,
            self.number,
            self.end.target,
            self.end.incarnation,
        )

    @classmethod
    def decode(cls, data: bytes) -> OutcomeReport:
        """Parse a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, outcome, fingerprint, number, target, incarnation = _unpack(_REPORT, data)
        try:
            known = Outcome(outcome)
        except ValueError as exc:
            raise InvalidRecord(f"invalid datagram about suspects: {exc}") from exc
        return cls(known, fingerprint, number, TargetEnd(target, incarnation))


class TrialRequestMessage:
    """Request for the trial of a suspect.

    Parameters
    ----------
    number : int
        Number of the trial, counted by the requesting VM.
    lane : int
        As in :class:`berylstage_policy.suspects.TrialRequest`.
    seconds : float
        Seconds until the deadline of the request.
    is_keyed : bool
        Whether the lane is that of the owner of its key.
    state : SuspectState
        What the requesting VM knows of the suspect.
    """

    __slots__ = ("is_keyed", "lane", "number", "seconds", "state")

    def __init__(
        self,
        number: int,
        lane: int,
        seconds: float,
        is_keyed: bool,
        state: SuspectState,
    ):
        self.number = number
        self.lane = lane
        self.seconds = seconds
        self.is_keyed = is_keyed
        self.state = state

    def encode(self) -> bytes:
        """Return the datagram."""
        ms = max(0, min(_MAX_SHORT, round(self.seconds * _MILLISECONDS)))
        head = _REQUEST.pack(
            TRIAL_REQUEST_TYPE, self.number, self.lane, ms, self.is_keyed
        )
        return head + _pack_state(self.state)

    @classmethod
    def decode(cls, data: bytes) -> TrialRequestMessage:
        """Parse a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, number, lane, ms, is_keyed = _unpack(_REQUEST, data[: _REQUEST.size])
        state = _unpack_state(data[_REQUEST.size :])
        return cls(number, lane, ms / _MILLISECONDS, bool(is_keyed), state)


class TrialReply:
    """Decision about a trial.

    Parameters
    ----------
    number : int
    status : TrialStatus
    seconds : float
        Seconds until the next trial of a convicted request.
    """

    __slots__ = ("number", "seconds", "status")

    def __init__(self, number: int, status: TrialStatus, seconds: float = 0.0):
        self.number = number
        self.status = status
        self.seconds = seconds

    def encode(self) -> bytes:
        """Return the datagram."""
        ms = min(_MAX_LONG, round(self.seconds * _MILLISECONDS))
        return _REPLY.pack(TRIAL_REPLY_TYPE, self.number, self.status, ms)

    @classmethod
    def decode(cls, data: bytes) -> TrialReply:
        """Parse a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, number, status, ms = _unpack(_REPLY, data)
        try:
            known = TrialStatus(status)
        except ValueError as exc:
            raise InvalidRecord(f"invalid datagram about suspects: {exc}") from exc
        return cls(number, known, ms / _MILLISECONDS)


def encode_news(states: Sequence[SuspectState]) -> list[bytes]:
    """Return the datagrams that tell all VMs the states of suspects."""
    datagrams = []
    for first in range(0, len(states), STATES_PER_DATAGRAM):
        part = states[first : first + STATES_PER_DATAGRAM]
        packed = b"".join(_pack_state(state) for state in part)
        datagrams.append(bytes([SUSPECT_NEWS_TYPE]) + packed)
    return datagrams


def decode_news(data: bytes) -> list[SuspectState]:
    """Parse a datagram that tells the states of suspects.

    Raises
    ------
    InvalidRecord
    """
    packed = data[1:]
    starts = range(0, len(packed), _STATE.size)
    return [_unpack_state(packed[start : start + _STATE.size]) for start in starts]


def _pack_state(state: SuspectState) -> bytes:
    missing = CONVICTING_ENDS - len(state.ends)
    ends = (*state.ends, *(NO_END,) * missing)
    return _STATE.pack(
        state.fingerprint,
        min(_MAX_BYTE, state.convictions),
        min(_MAX_LONG, round(state.seconds * _MILLISECONDS)),
        *(number for end in ends for number in end),
    )


def _unpack_state(data: bytes) -> SuspectState:
    fingerprint, convictions, ms, *numbers = _unpack(_STATE, data)
    pairs = zip(numbers[::2], numbers[1::2], strict=True)
    ends = tuple(end for end in map(TargetEnd._make, pairs) if end != NO_END)
    return SuspectState(fingerprint, ends, convictions, ms / _MILLISECONDS)
