#!/usr/bin/env bash
# Builds what the cases start besides the program itself: the stand-ins, which are Python 3.11 without libraries and need
# no compiling. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -B -c 'import sys; sys.path.insert(0, "standins"); import world'
