"""Requests that are suspected of ending the targets that run them.

A request that ends its target is sent to the next one by retries of its VM and of its
caller, and ends one target after the other. One VM keeps the evidence of the fleet
against such requests. While a request is suspected, only one attempt of it, its trial,
is sent at a time; an attempt that is answered clears it. Requests that were at the same
targets are suspected with it, so the trials that decide run apart from each other.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from typing import NamedTuple

# Ends of targets after which a request is convicted, if the last was that of a trial
# which no other suspect's met.
CONVICTING_ENDS = 3
# Ends from which on the trials of a request are exclusive.
EXCLUSIVE_ENDS = CONVICTING_ENDS - 1
# Seconds for which a convicted request is refused before its next trial: at first,
# which outlasts the patience of a caller, and at most. Each conviction doubles them.
CONVICTION_SECONDS = 10.0
MAX_CONVICTION_SECONDS = 640.0
# Convictions of a request up to which the end of one of its targets without it earns it
# another trial. Without a limit, fatal requests would earn each other trials for ever.
MAX_DOUBTED_CONVICTIONS = 2
# Seconds after which a suspect without further evidence is forgotten. A convicted one
# is remembered as long after its conviction, for its next trial.
SUSPICION_SECONDS = 60.0
# Suspects that are remembered; the oldest are forgotten first.
MAX_SUSPECTS = 2000
# Lanes above which those without trials are forgotten.
MAX_IDLE_LANES = 1000
# Seconds for which an exclusive trial that must wait keeps others from starting.
CLAIM_SECONDS = 0.15
# Seconds after its deadline at which a trial without an outcome counts as over.
TRIAL_GRACE_SECONDS = 0.1


class TargetEnd(NamedTuple):
    """The end of one incarnation of a target.

    Attributes
    ----------
    target : int
        Checksum of the target's name.
    incarnation : int
    """

    target: int
    incarnation: int


class TrialId(NamedTuple):
    """Identifies a trial by the VM that asked for it and that VM's number."""

    host: str
    number: int


class TrialStatus(IntEnum):
    """Decision about a trial."""

    GRANTED = 1
    WAIT = 2
    # The request is not suspected; it may be sent without a trial.
    CLEARED = 3
    CONVICTED = 4


class TrialDecision(NamedTuple):
    """Decision about a trial.

    Attributes
    ----------
    status : TrialStatus
    seconds : float
        Seconds until the next trial of a convicted request; 0 otherwise.
    """

    status: TrialStatus
    seconds: float = 0.0


class TrialRequest(NamedTuple):
    """Request for a trial.

    Attributes
    ----------
    fingerprint : int
    trial_id : TrialId
    lane : int
        Checksum of the name of the service or, for a request with a key, of the owner.
        Trials in one lane may meet at a target.
    seconds : float
        Seconds until the deadline of the request.
    is_keyed : bool
        Whether the lane is that of an owner, to which all attempts are sent.
    """

    fingerprint: int
    trial_id: TrialId
    lane: int
    seconds: float
    is_keyed: bool = False


class SuspectState(NamedTuple):
    """What all VMs are told of a suspect.

    Attributes
    ----------
    fingerprint : int
    ends : tuple of TargetEnd
        The last ``CONVICTING_ENDS`` of them; empty once the request is cleared.
    convictions : int
    seconds : float
        Seconds for which it is still refused.
    """

    fingerprint: int
    ends: tuple[TargetEnd, ...] = ()
    convictions: int = 0
    seconds: float = 0.0


class _Trial:
    """An attempt of a suspect that is under way, or several at the same owner."""

    __slots__ = ("expires_at", "is_alone", "is_exclusive", "is_keyed", "lane", "ids")

    def __init__(self, request: TrialRequest, is_exclusive: bool, expires_at: float):
        self.ids = {request.trial_id}
        self.lane = request.lane
        self.is_keyed = request.is_keyed
        # Whether no other trial may begin beside it.
        self.is_exclusive = is_exclusive
        # Whether none has been under way beside it.
        self.is_alone = True
        self.expires_at = expires_at

    def may_be_joined(self, request: TrialRequest) -> bool:
        """Tell whether another attempt would go to the same target."""
        is_at_owner = self.is_keyed and request.is_keyed and request.lane == self.lane
        return is_at_owner and not self.is_exclusive

    def join(self, request: TrialRequest, expires_at: float) -> None:
        """Add an attempt."""
        self.ids.add(request.trial_id)
        self.expires_at = max(self.expires_at, expires_at)


class _Lane:
    """Suspects on trial that may meet at a target."""

    __slots__ = ("claimed_until", "claimant", "on_trial")

    def __init__(self) -> None:
        # Fingerprints of suspects on trial.
        self.on_trial: set[int] = set()
        # Suspect whose exclusive trial waits for the others to end.
        self.claimant = 0
        self.claimed_until = float("-inf")


class _Suspect:
    """Evidence against one request."""

    __slots__ = ("changed_at", "convicted_until", "convictions", "ends")

    def __init__(self, moment: float):
        # The last ends of targets under it.
        self.ends: tuple[TargetEnd, ...] = ()
        self.convictions = 0
        self.convicted_until = float("-inf")
        self.changed_at = moment

    @property
    def needs_exclusive_trial(self) -> bool:
        """Whether the next trial must run apart from those of other suspects."""
        return len(self.ends) >= EXCLUSIVE_ENDS or self.convictions > 0

    def add(self, end: TargetEnd) -> None:
        """Add an end, unless it is known."""
        if end not in self.ends:
            self.ends = (*self.ends, end)[-CONVICTING_ENDS:]

    def is_doubted_by(self, end: TargetEnd) -> bool:
        """Tell whether an end without it is like those for which it was convicted."""
        return self.convictions <= MAX_DOUBTED_CONVICTIONS and any(
            known.target == end.target and known.incarnation < end.incarnation
            for known in self.ends
        )

    def adopt(self, state: SuspectState, moment: float) -> None:
        """Take over what another VM has found out."""
        for end in state.ends:
            self.add(end)
        self.convictions = max(self.convictions, state.convictions)
        self.convicted_until = moment + state.seconds

    def convict(self, moment: float) -> None:
        """Refuse the request for some time, longer with each conviction."""
        seconds = CONVICTION_SECONDS * 2**self.convictions
        self.convictions += 1
        self.convicted_until = moment + min(MAX_CONVICTION_SECONDS, seconds)


class SuspectRegistry:
    """Evidence against requests, and their trials.

    Moments are monotonic seconds. The load is a request that callers repeat through
    many VMs at once, beside many others that are lost with the targets that it ends.
    """

    __slots__ = ("_convicted", "_lanes", "_suspects", "_trials")

    def __init__(self) -> None:
        # The one whose evidence is oldest comes first.
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self._trials: dict[int, _Trial] = {}
        self._lanes: dict[int, _Lane] = {}
        # Requests that were convicted here and are refused.
        self._convicted: set[int] = set()

    def __len__(self) -> int:
        return len(self._suspects)

    def record_end(
        self, fingerprint: int, end: TargetEnd, trial_id: TrialId | None, moment: float
    ) -> bool:
        """Record that a target has ended while it ran a request.

        Targets that end at once, as with their machine, take many requests with them,
        and a popular one is at most of them. So only the end of a trial convicts, and
        only if no other suspect was on trial beside it.

        Parameters
        ----------
        fingerprint : int
        end : TargetEnd
        trial_id : TrialId or None
            Trial in which it ended; None if it was sent before it was suspected.
        moment : float

        Returns
        -------
        bool
            Whether the request is convicted by this.
        """
        suspect = self._touch(fingerprint, moment)
        suspect.add(end)
        trial = self._trials.get(fingerprint)
        if trial is not None and suspect.needs_exclusive_trial:
            # Reports of attempts that were under way arrive after the trial has begun.
            trial.is_exclusive = True
        is_convicted = False
        if trial is not None and trial_id in trial.ids:
            self._end_trial(fingerprint)
            has_enough = len(suspect.ends) >= CONVICTING_ENDS
            is_convicted = has_enough and trial.is_alone
        if is_convicted:
            suspect.convict(moment)
            self._convicted.add(fingerprint)
        else:
            self._doubt_convictions(fingerprint, end, moment)
        self._forget_oldest()
        return is_convicted

    def record_answer(self, fingerprint: int) -> bool:
        """Record that a target has answered a request; return whether it was suspect.

        Parameters
        ----------
        fingerprint : int
        """
        return self._remove(fingerprint)

    def release(self, fingerprint: int, trial_id: TrialId) -> None:
        """End an attempt that has shown nothing.

        Parameters
        ----------
        fingerprint : int
        trial_id : TrialId
        """
        trial = self._trials.get(fingerprint)
        if trial is not None:
            trial.ids.discard(trial_id)
            if not trial.ids:
                self._end_trial(fingerprint)

    def adopt(self, state: SuspectState, moment: float) -> None:
        """Take over what another VM has told of a suspect.

        Parameters
        ----------
        state : SuspectState
        moment : float
        """
        if not state.ends:
            self._remove(state.fingerprint)
            return
        self._touch(state.fingerprint, moment).adopt(state, moment)
        self._forget_oldest()

    def add_ends(
        self, fingerprint: int, ends: tuple[TargetEnd, ...], moment: float
    ) -> bool:
        """Add ends that another VM knows of; return False if there is none new.

        Parameters
        ----------
        fingerprint : int
        ends : tuple of TargetEnd
        moment : float
        """
        known = self.describe(fingerprint, moment).ends
        if set(ends) <= set(known):
            return False
        suspect = self._touch(fingerprint, moment)
        for end in ends:
            suspect.add(end)
        self._forget_oldest()
        return True

    def request_trial(self, request: TrialRequest, moment: float) -> TrialDecision:
        """Decide whether an attempt of a suspect may be sent now.

        Parameters
        ----------
        request : TrialRequest
        moment : float

        Returns
        -------
        TrialDecision
        """
        self._forget_expired(moment)
        suspect = self._suspects.get(request.fingerprint)
        if suspect is None:
            return TrialDecision(TrialStatus.CLEARED)
        if suspect.convicted_until > moment:
            seconds = suspect.convicted_until - moment
            return TrialDecision(TrialStatus.CONVICTED, seconds)
        trial = self._find_trial(request.fingerprint, moment)
        expires_at = moment + request.seconds + TRIAL_GRACE_SECONDS
        if trial is None and self._claim_lane(request, suspect, moment):
            self._begin_trial(request, suspect.needs_exclusive_trial, expires_at)
        elif trial is not None and trial.may_be_joined(request):
            trial.join(request, expires_at)
        elif trial is None or request.trial_id not in trial.ids:
            return TrialDecision(TrialStatus.WAIT)
        return TrialDecision(TrialStatus.GRANTED)

    def describe(self, fingerprint: int, moment: float) -> SuspectState:
        """Return the state of a request, which has no ends if it is not suspected.

        Parameters
        ----------
        fingerprint : int
        moment : float
        """
        self._forget_expired(moment)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return SuspectState(fingerprint)
        seconds = max(0.0, suspect.convicted_until - moment)
        return SuspectState(fingerprint, suspect.ends, suspect.convictions, seconds)

    def list_grave(self, limit: int, moment: float) -> list[SuspectState]:
        """Return the suspects with the latest evidence whose trials are exclusive.

        Parameters
        ----------
        limit : int
            Most suspects to return.
        moment : float
        """
        self._forget_expired(moment)
        grave = [
            fingerprint
            for fingerprint, suspect in reversed(self._suspects.items())
            if suspect.needs_exclusive_trial
        ]
        return [self.describe(fingerprint, moment) for fingerprint in grave[:limit]]

    def _touch(self, fingerprint: int, moment: float) -> _Suspect:
        """Return a suspect, as the one with the latest evidence."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect(moment)
        suspect.changed_at = moment
        self._suspects.move_to_end(fingerprint)
        return suspect

    def _claim_lane(
        self, request: TrialRequest, suspect: _Suspect, moment: float
    ) -> bool:
        """Tell whether a trial may begin beside the others in its lane.

        An exclusive trial that waits keeps others from starting: where targets end
        again and again, there are always some under way.
        """
        lane = self._find_lane(request.lane)
        running = [
            trial
            for other in list(lane.on_trial)
            if (trial := self._find_trial(other, moment)) is not None
        ]
        is_claimed_by_other = (
            lane.claimed_until > moment and lane.claimant != request.fingerprint
        )
        if is_claimed_by_other or any(trial.is_exclusive for trial in running):
            return False
        if suspect.needs_exclusive_trial and running:
            lane.claimant = request.fingerprint
            lane.claimed_until = moment + CLAIM_SECONDS
            return False
        lane.claimed_until = float("-inf")
        return True

    def _begin_trial(
        self, request: TrialRequest, is_exclusive: bool, expires_at: float
    ) -> None:
        trial = _Trial(request, is_exclusive, expires_at)
        on_trial = self._lanes[request.lane].on_trial
        for other in on_trial:
            trial.is_alone = self._trials[other].is_alone = False
        self._trials[request.fingerprint] = trial
        on_trial.add(request.fingerprint)

    def _doubt_convictions(
        self, fingerprint: int, end: TargetEnd, moment: float
    ) -> None:
        """Allow a trial of each request that is refused while its targets end."""
        for other in list(self._convicted):
            suspect = self._suspects.get(other)
            if suspect is None or suspect.convicted_until <= moment:
                self._convicted.discard(other)
            elif other != fingerprint and suspect.is_doubted_by(end):
                suspect.convicted_until = moment
                self._convicted.discard(other)

    def _find_lane(self, number: int) -> _Lane:
        lane = self._lanes.get(number)
        if lane is None:
            if len(self._lanes) >= MAX_IDLE_LANES:
                used = {n: lane for n, lane in self._lanes.items() if lane.on_trial}
                self._lanes = used
            lane = self._lanes[number] = _Lane()
        return lane

    def _find_trial(self, fingerprint: int, moment: float) -> _Trial | None:
        """Return the trial of a suspect, unless its VM has not told the outcome."""
        trial = self._trials.get(fingerprint)
        if trial is not None and trial.expires_at <= moment:
            self._end_trial(fingerprint)
            return None
        return trial

    def _end_trial(self, fingerprint: int) -> None:
        trial = self._trials.pop(fingerprint, None)
        if trial is not None:
            self._lanes[trial.lane].on_trial.discard(fingerprint)

    def _remove(self, fingerprint: int) -> bool:
        """Forget a suspect and its trial; return False if it is unknown."""
        self._end_trial(fingerprint)
        return self._suspects.pop(fingerprint, None) is not None

    def _forget_expired(self, moment: float) -> None:
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            last = max(suspect.changed_at, suspect.convicted_until)
            if last + SUSPICION_SECONDS > moment:
                return
            self._remove(fingerprint)

    def _forget_oldest(self) -> None:
        """Keep the number of suspects bounded; convicted ones go last."""
        while len(self._suspects) > MAX_SUSPECTS:
            oldest = next(iter(self._suspects))
            candidates = (f for f, s in self._suspects.items() if not s.convictions)
            self._remove(next(candidates, oldest))
