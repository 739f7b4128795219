#!/bin/sh
# TROUBLE=0 leaves the disruption out; the script then passes.
export TROUBLE="${TROUBLE:-1}"
exec /usr/bin/python3 -B "$(dirname "$0")/case.py"
