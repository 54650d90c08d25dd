"""Parsers that validate the text of a setting and return its value."""

from __future__ import annotations

from ipaddress import ip_address

MAX_PORT = 65535
MAX_SECONDS = 3600.0


def parse_address(text: str) -> str:
    """Validate and return an ``ip:port`` address; host names are not resolved.

    Raises
    ------
    ValueError
        The text is not an IP address with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(
            "use an IP number and a port, such as 127.0.0.1:8080"
        ) from None
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"use a port from 1 to {MAX_PORT}")
    return text


def parse_name(text: str) -> str:
    """Validate and return a name of letters, digits and dashes.

    Raises
    ------
    ValueError
        The text contains other characters.
    """
    if not text.replace("-", "").isalnum():
        raise ValueError("use letters, digits and dashes only, as in the sheet")
    return text


def parse_seconds(text: str) -> float:
    """Return a duration in seconds.

    Raises
    ------
    ValueError
        The text is not a number from 0 to ``MAX_SECONDS``.
    """
    value = _parse_number(text)
    if not 0 <= value <= MAX_SECONDS:
        raise ValueError(f"use 0 to {MAX_SECONDS:.0f} seconds")
    return value


def parse_size(text: str) -> int:
    """Return a size in bytes.

    Raises
    ------
    ValueError
        The text is not a positive integer.
    """
    if not text.isdecimal() or int(text) < 1:
        raise ValueError("use a whole number of bytes, at least 1")
    return int(text)


def parse_choice(*choices: str):
    """Return a parser that accepts one of the given words.

    Parameters
    ----------
    *choices : str
        Accepted words, at least two.

    Returns
    -------
    callable
        Returns its argument, or raises ValueError for any other word.
    """

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"use {', '.join(choices[:-1])} or {choices[-1]}")
        return text

    return parse


def _parse_number(text: str) -> float:
    """Return the text as a float, or raise ValueError with a readable message."""
    try:
        return float(text)
    except ValueError:
        raise ValueError("use a number") from None
