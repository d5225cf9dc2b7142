"""Entry point of script/fault-soak."""

import sys

from script.fault_soak.program import run

sys.exit(run())
