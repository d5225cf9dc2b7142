#!/usr/bin/env bash
# Exits with 1 if STALE is broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the partition and the crash out.
cd "$(dirname "$0")/../.." && exec python3 review/8/case.py
