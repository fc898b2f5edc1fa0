#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library, beside
# which nothing has to be built. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, glob
for path in glob.glob("standins/*.py") + glob.glob("*/case.py"):
    ast.parse(open(path).read(), path)
import asyncio
'
