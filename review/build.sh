#!/bin/sh
# Checks that the stand-ins and the cases compile; they need nothing else.
set -eu
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, "rb") as source:
        compile(source.read(), path, "exec")
PYTHON
