#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null && [ -x ../../target/bin/sycamoreward-edge ] || exit 2
exec timeout -k 1 118 python3 case.py .
