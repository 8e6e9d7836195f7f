#!/usr/bin/env bash
# Prepares the scripts of review/6 to review/10, after the build command of
# deploy/system.toml. Their stand-ins are Python files of this folder
# (world_2.py and the case.py of each case), run by the system's python3 (3.11
# or later) with its standard library alone; nothing is compiled, so this only
# checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys
assert sys.version_info >= (3, 11), "python 3.11 is needed (tomllib)"
for name in ["world_2.py", *sorted(glob.glob("*/case.py"))]:
    with open(name) as f:
        ast.parse(f.read(), name)
PY
test -x ../target/boragebridge_edge
