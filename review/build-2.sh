#!/usr/bin/env bash
# Prepares the cases 4 to 8: their stand-ins are Python (3.8 or later, standard library only) and need no compiler, so they
# are only checked for syntax. The controllers are the program of the deploy file's build command.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [4-8]/case.py <<'PY'
import ast, sys
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
PY
