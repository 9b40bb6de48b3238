#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are Python programs of the standard library and run in
# the process of the script, so this only checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
here = pathlib.Path(".")
cases = [it for n in range(6, 11) for it in here.glob(f"{n}/*.py")]
for it in sorted([*cases, *here.glob("lib-2/*.py"), *here.glob("../testsuite/lib/*.py")]):
    compile(it.read_text(encoding="utf-8"), str(it), "exec")
CHECK
