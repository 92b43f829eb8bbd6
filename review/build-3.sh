#!/usr/bin/env bash
# Builds what the scripts of review/11, 12 and 14 start besides the programs of
# the deploy file: nothing, as their stand-ins are Python programs. Checks that
# the interpreter can compile and import them.
set -euo pipefail
cd "$(dirname "$0")"

python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
for path in ["lib-3/bed.py"] + [f"{n}/case.py" for n in (11, 12, 14)]:
    ast.parse(pathlib.Path(path).read_text(), path)
sys.path.insert(0, "lib-3")
sys.dont_write_bytecode = True
import bed  # noqa: E402,F401
PY
echo "build-3: the stand-ins are ready"
