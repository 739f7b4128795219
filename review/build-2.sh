#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files without dependencies, so that
# this checks only that the interpreter of the deploy file reads them.
cd "$(dirname "$0")/.." || exit 2
exec /usr/bin/python3 -B - review/kit/*.py review/[6-9]/case.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
PY
