#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same runs without the disruption.
set -euo pipefail
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
exec python3 -B case.py
