#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs, the project's own too: there is nothing to compile,
# so this checks that each of them can be read by the interpreter at hand. Writes nothing.
set -e
cd "$(dirname "$0")/.."
for file in review/shared-3/*.py review/1[1-5]/*.py testsuite/lib/platform_standin.py testsuite/lib/processes.py \
  testsuite/lib/spoiled_streams.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -c 'import asyncio, http.client, tomllib'
