#!/bin/sh
# The stand-ins are Python scripts of this folder (standard library only), so there is nothing to compile.
# This checks that they can be read and that the program of the deploy file is there.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for script in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
test -x ../target/release/sanddyke || { echo "target/release/sanddyke is missing: cargo build --release --locked"; exit 1; }
echo "review: nothing to build, all there"
