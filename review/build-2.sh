#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs with the standard library only, so that nothing is
# compiled: this checks that the interpreter is there and reads each of them. The program itself comes from the build of
# the deploy file. Needs no network.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "build-2.sh: python3 is missing" >&2; exit 1; }
exec python3 - standins_2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("build-2.sh: Python 3.8 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(f"build-2.sh: {len(sys.argv) - 1} files are good")
CHECK
