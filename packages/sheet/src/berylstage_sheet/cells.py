"""Cell types of a sheet: parsing, validation and description."""

from __future__ import annotations

import math
import re
from abc import ABC, abstractmethod
from ipaddress import ip_address
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from enum import Enum

MAX_NAME_LENGTH = 63
MAX_KEY_LENGTH = 256
MAX_PORT = 65535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9-]*")
THRESHOLD_PATTERN = re.compile(r"[A-Za-z][A-Za-z0-9_.-]*")


class InvalidCellError(ValueError):
    """The text of a cell is invalid; the reader adds the cell's position.

    Parameters
    ----------
    problem : str
        What is wrong with the text.
    remedy : str
        How to correct it.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class Cell(ABC):
    """Base class of the cell types."""

    @abstractmethod
    def read(self, text: str):
        """Parse the text of a cell and return its value.

        Parameters
        ----------
        text : str
            Text of the cell without surrounding whitespace; never empty.

        Raises
        ------
        BadCell
            The text is not valid for this type.
        """

    @abstractmethod
    def describe(self) -> str:
        """Describe the valid values, for the operators' pages."""


class NameCell(Cell):
    """Cell with a name that needs no escaping in a URL or a metric."""

    def read(self, text: str) -> str:
        """Return the name."""
        if len(text) > MAX_NAME_LENGTH:
            raise InvalidCellError(
                f"the name has {len(text)} characters",
                f"use {MAX_NAME_LENGTH} at most",
            )
        if not NAME_PATTERN.fullmatch(text):
            raise InvalidCellError(
                f"{text!r} is not a valid name",
                "use letters, digits and dashes, beginning with a letter or digit",
            )
        return text

    def describe(self) -> str:
        """Describe the valid values."""
        return f"letters, digits and dashes, {MAX_NAME_LENGTH} at most"


class KeyCell(Cell):
    """Cell with a key of a service, as callers send it before percent-encoding."""

    def read(self, text: str) -> str:
        """Return the key."""
        if len(text) > MAX_KEY_LENGTH:
            raise InvalidCellError(
                f"the key has {len(text)} characters", f"use {MAX_KEY_LENGTH} at most"
            )
        if not text.isprintable():
            raise InvalidCellError("the key has a control character", "remove it")
        return text

    def describe(self) -> str:
        """Describe the valid values."""
        return f"the key as callers name it, {MAX_KEY_LENGTH} characters at most"


class TextCell(Cell):
    """Cell with free text on one line."""

    def read(self, text: str) -> str:
        """Return the text."""
        if not text.isprintable():
            raise InvalidCellError("the text has a line break", "write it on one line")
        return text

    def describe(self) -> str:
        """Describe the valid values."""
        return "text on one line"


class ThresholdCell(Cell):
    """Cell with the name of one of the policy's thresholds."""

    def read(self, text: str) -> str:
        """Return the name."""
        if not THRESHOLD_PATTERN.fullmatch(text):
            raise InvalidCellError(
                f"{text!r} is not a valid threshold name",
                "take a name from the thresholds' table",
            )
        return text

    def describe(self) -> str:
        """Describe the valid values."""
        return "name of a threshold"


class ChoiceCell(Cell):
    """Cell with one of a fixed set of words.

    Parameters
    ----------
    *choices : Enum
        Members that the cell may select; the text is a member's value.
    """

    def __init__(self, *choices: Enum):
        self.choices = {choice.value: choice for choice in choices}

    def read(self, text: str) -> Enum:
        """Return the selected member; the comparison ignores case."""
        choice = self.choices.get(text.casefold())
        if choice is None:
            raise InvalidCellError(
                f"{text!r} is not allowed here", f"use {self.describe()}"
            )
        return choice

    def describe(self) -> str:
        """Describe the valid values."""
        return " or ".join(f"`{word}`" for word in self.choices)


class YesNoCell(Cell):
    """Cell with ``yes`` or ``no``."""

    WORDS = {"yes": True, "no": False}

    def read(self, text: str) -> bool:
        """Return True for ``yes`` and False for ``no``."""
        answer = self.WORDS.get(text.casefold())
        if answer is None:
            raise InvalidCellError(
                f"{text!r} is not allowed here", f"use {self.describe()}"
            )
        return answer

    def describe(self) -> str:
        """Describe the valid values."""
        return "`yes` or `no`"


class IntegerCell(Cell):
    """Cell with an integer in a range.

    Parameters
    ----------
    low, high : int
        Bounds of the range, both inclusive.
    """

    def __init__(self, low: int, high: int):
        self.low = low
        self.high = high

    def read(self, text: str) -> int:
        """Return the number."""
        if not (text.isascii() and text.isdecimal()):
            raise InvalidCellError(
                f"{text!r} is not a whole number", f"use {self.describe()}"
            )
        # The length is checked before the conversion, because converting a million
        # digits would occupy the processor for seconds.
        if len(text) > len(str(self.high)) or not self.low <= int(text) <= self.high:
            raise InvalidCellError(
                f"{text[:20]} is out of range", f"use {self.describe()}"
            )
        return int(text)

    def describe(self) -> str:
        """Describe the valid values."""
        return f"a whole number from {self.low} to {self.high}"


class NumberCell(Cell):
    """Cell with a finite number; the decimal separator is a point or a comma."""

    def read(self, text: str) -> float:
        """Return the number."""
        try:
            number = float(text.replace(",", "."))
        except ValueError:
            raise InvalidCellError(
                f"{text!r} is not a number", "write it like 0.5"
            ) from None
        if not math.isfinite(number):
            raise InvalidCellError(f"{text!r} is not a number", "write it like 0.5")
        return number

    def describe(self) -> str:
        """Describe the valid values."""
        return "a number"


class AddressCell(Cell):
    """Cell with an IP address and a port; host names are not resolved."""

    def read(self, text: str) -> str:
        """Return the address as ``ip:port`` in its shortest notation."""
        host, _, port = text.rpartition(":")
        try:
            ip = ip_address(host.removeprefix("[").removesuffix("]"))
        except ValueError:
            raise InvalidCellError(
                f"{text!r} is not a valid address", f"use {self.describe()}"
            ) from None
        if not (port.isascii() and port.isdecimal() and len(port) <= 5):
            raise InvalidCellError(
                f"{text!r} has no valid port", f"use {self.describe()}"
            )
        if not 1 <= int(port) <= MAX_PORT:
            raise InvalidCellError(
                f"port {port} is out of range", f"use 1 to {MAX_PORT}"
            )
        return f"[{ip}]:{int(port)}" if ip.version == 6 else f"{ip}:{int(port)}"

    def describe(self) -> str:
        """Describe the valid values."""
        return "IP number and port, like `10.1.2.3:8080`"
