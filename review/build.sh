#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs, so this
# only checks that Python is recent enough and that all of them can be parsed.
# The programs under test come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py [1-5]/case.py ../testsuite/soak/store.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")

for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
PYTHON
