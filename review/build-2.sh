#!/bin/sh
# Builds what the scripts of the second review start: stand-ins in Python, which need
# nothing but the standard library. It checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in [Path("harness.py"), *sorted(Path(".").glob("[4-8]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON
