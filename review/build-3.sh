#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the programs
# of the deploy file. Their stand-ins are Python and need the standard library
# of Python 3.11 only, so there is nothing to compile; this checks them.
cd "$(dirname "$0")" || exit 1
for it in lab_3.py 1[1-5]/*.py; do
  [ -e "$it" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it" \
    || exit 1
done
python3 -B -c 'import asyncio, tomllib'
