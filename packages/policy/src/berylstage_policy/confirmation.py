"""Proof of how recent a VM's configuration is.

An API key that operators take away must stop working within a fixed time at every VM,
also at one that is cut off, paused or served by other VMs alone. Each VM therefore
keeps the time at which the newest reading of the store that its configuration is known
to include was asked for, and serves no request with an API key once that is too long
ago.

Few VMs read the store. The others ask one of these and get the age of its reading. The
age counts from the moment of the question, on the clock of the VM that asked: the
answer was written later than that, however long either message took and whichever VM
stood still in between.
"""

from __future__ import annotations

from enum import Enum, auto

# Age from which a VM asks another one. Each VM asks about once in this time.
ASK_AGE_SECONDS = 1.0
# Ages from which the coordinator, the standby of a data centre and any other VM reads
# the store itself. A VM reads only if those before it have failed to.
COORDINATOR_READ_AGE_SECONDS = 0.9
STANDBY_READ_AGE_SECONDS = 1.6
READ_AGE_SECONDS = 2.4
# Deducted from the time allowed for a key to be taken away: for clocks that run
# unequally fast.
CLOCK_MARGIN_SECONDS = 0.25
# Time after which an answer is no longer accepted, to bound what is kept.
MAX_ANSWER_SECONDS = 3.0


class Role(Enum):
    """Role of a VM, which decides when it reads the store."""

    COORDINATOR = auto()
    STANDBY = auto()
    OTHER = auto()


_READ_AGES = {
    Role.COORDINATOR: COORDINATOR_READ_AGE_SECONDS,
    Role.STANDBY: STANDBY_READ_AGE_SECONDS,
    Role.OTHER: READ_AGE_SECONDS,
}


def should_ask(age: float) -> bool:
    """Return whether a VM whose configuration was confirmed so long ago asks another.

    Parameters
    ----------
    age : float
        Seconds.
    """
    return age >= ASK_AGE_SECONDS


def should_read(age: float, role: Role) -> bool:
    """Return whether a VM reads the store, because nobody confirmed its configuration.

    Parameters
    ----------
    age : float
        Seconds.
    role : Role
    """
    return age >= _READ_AGES[role]


class Confirmation:
    """What one VM knows of the age of its configuration.

    Parameters
    ----------
    revocation_seconds : float
        Seconds after which an API key that was taken away must not be served.
    first_number : int
        Number of the first question. It should be random, so that an answer to an
        earlier process of the VM is not taken for one to this process.
    """

    __slots__ = ("_asked_at", "_confirmed_at", "_max_age", "_next_number")

    def __init__(self, revocation_seconds: float, first_number: int):
        self._max_age = revocation_seconds - CLOCK_MARGIN_SECONDS
        self._confirmed_at = float("-inf")
        self._next_number = first_number
        # Time of each question that has not been answered, by number.
        self._asked_at: dict[int, float] = {}

    def age(self, now: float) -> float:
        """Return the seconds since the configuration in force was the store's."""
        return now - self._confirmed_at

    def is_recent(self, now: float) -> bool:
        """Return whether an API key that the configuration holds may be served."""
        return self.age(now) <= self._max_age

    def record_reading(self, asked_at: float) -> None:
        """Record that a reading of the store is in force.

        Parameters
        ----------
        asked_at : float
            Monotonic seconds before the call was made. The store may have answered at
            once, and the answer may have been on its way ever since.
        """
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def ask(self, now: float) -> int:
        """Return the number of a new question to another VM."""
        for number, asked_at in list(self._asked_at.items()):
            if now - asked_at > MAX_ANSWER_SECONDS:
                del self._asked_at[number]
        number = self._next_number
        self._next_number += 1
        self._asked_at[number] = now
        return number

    def accept(self, number: int, version: int, age: float, own_version: int) -> bool:
        """Take another VM's answer.

        Parameters
        ----------
        number : int
            Number of the question.
        version : int
            Version of the configuration that the other VM had in force.
        age : float
            Seconds since that configuration was the store's, when the other VM
            answered.
        own_version : int
            Version in force at this VM.

        Returns
        -------
        bool
            False if this VM has an older configuration, which the answer says nothing
            about.
        """
        if own_version < version:
            return False
        asked_at = self._asked_at.pop(number, None)
        if asked_at is not None:
            self.record_reading(asked_at - age)
        return True
