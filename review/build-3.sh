#!/bin/sh
# Checks that the stand-ins of cases 11 to 15 can be started. They are Python
# of the standard library, beside the scripts, so that nothing is compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in [pathlib.Path("standins_3.py"), *pathlib.Path().glob("1?/run.py")]:
    ast.parse(path.read_text(), str(path))
PY
