"""Runs the program of an entry VM that reaches each target by a link of its own."""

from __future__ import annotations

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "deploy"), str(ROOT / "tests")]

import start  # noqa: E402, F401
from berylstage_adapter import program  # noqa: E402
from berylstage_adapter.record_reader import PlatformRecordReader  # noqa: E402
from soak.target_links import FIRST_LINK_PORT  # noqa: E402

# Environment variable with the VM's number.
NUMBER_VARIABLE = "SOAK_VM_NUMBER"


class LinkedRecordReader(PlatformRecordReader):
    """Decodes records, with the address of this VM's link in place of the target's."""

    def read(self, item):
        record = super().read(item)
        if record is not None and record.target is not None:
            ip, _, _ = record.target.address.partition(":")
            port = FIRST_LINK_PORT + int(os.environ[NUMBER_VARIABLE])
            record.target.address = f"{ip}:{port}"
        return record


if __name__ == "__main__":
    program.PlatformRecordReader = LinkedRecordReader
    sys.exit(program.main())
