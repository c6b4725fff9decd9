#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python files of this
# folder and of tests/soak and tests/process, so they are only compiled.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib-3/*.py review/1[1-5]/case.py \
  tests/soak/store.py tests/soak/messages.py tests/process/fleet_control.py
