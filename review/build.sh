#!/bin/sh
# Prepares the review's scripts, after the build line of the deploy file has run. The stand-ins are
# Python modules that need only the standard library; this checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
for module in lib/*.py [1-5]/case.py; do
    /usr/bin/python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$module"
done
