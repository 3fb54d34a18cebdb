#!/bin/sh
# Compiles the stand-ins of the scripts; they use the standard library only.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile stand_ins_2/*.py
