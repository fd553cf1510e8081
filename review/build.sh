#!/bin/sh
# The stand-ins are Python modules that use the packages of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c '
import ast, pathlib
import aiohttp
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
print("the stand-ins can be started")
'
