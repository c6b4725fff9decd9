#!/usr/bin/env bash
# The stand-ins of the cases are Python programs: nothing has to be compiled.
# Checks that they can be loaded, and that the daemon has been built.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import ast, glob
for path in glob.glob("lib/*.py") + glob.glob("*/case.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)'
test -x ../target/bin/pomelohall-sidecar
