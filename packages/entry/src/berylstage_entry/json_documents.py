"""Parsing of JSON that comes from the store or from other processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from berylstage_entry.errors import InvalidRecord

if TYPE_CHECKING:
    from typing import Any


def parse_json(data: bytes) -> Any:
    """Parse JSON.

    Raises
    ------
    InvalidRecord
        The data is not JSON, or is nested too deeply to be parsed. The parser raises
        ``RecursionError`` for the latter, which is no ``ValueError``.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise InvalidRecord(f"not readable as JSON: {exc}") from exc
