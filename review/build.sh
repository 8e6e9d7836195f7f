#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of this folder,
# so there is nothing to compile; checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for program in standins.py layout.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$program"
done
