#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10.  They are Python sources that
# run with the packages in target/deps, so that it is enough to compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review/lib-2 standins/users
python3 -c "import aiohttp, msgspec, standins.users"
