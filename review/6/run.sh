#!/usr/bin/env bash
# Exits with 1 if ONE is broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." && exec python3 review/6/case.py
