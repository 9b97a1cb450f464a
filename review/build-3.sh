#!/bin/sh
# Checks the stand-ins of review 3 and compiles them; they need Python's standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common-3
for case in 1[1-5]/case.py; do
    python3 -m py_compile "$case"
done
