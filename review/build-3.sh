#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python and need only the
# standard library, so they are compiled as a check.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile stand3/site3.py stand3/small_site.py 1[1-5]/case.py
