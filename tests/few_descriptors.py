"""Runs a VM program with few descriptors: ``few_descriptors.py NUMBER PROGRAM``."""

from __future__ import annotations

import resource
import runpy
import sys
from pathlib import Path

if __name__ == "__main__":
    number = int(sys.argv[1])
    resource.setrlimit(resource.RLIMIT_NOFILE, (number, number))
    del sys.argv[:2]
    # As Python does for a program that is started directly.
    sys.path[0] = str(Path(sys.argv[0]).parent)
    runpy.run_path(sys.argv[0], run_name="__main__")
