#!/usr/bin/env bash
# Check and compile the stand-ins and scenarios; they need only Python's own library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
