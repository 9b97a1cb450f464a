#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python without dependencies (review/common-2): nothing is built.
cd "$(dirname "$0")" && exec python3 -m py_compile common-2/standins.py 6/play.py 7/play.py 8/play.py 9/play.py 10/play.py
