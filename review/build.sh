#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
