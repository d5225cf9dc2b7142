"""Load generator for running proxies: timed arrivals, histograms and reports."""

from burdockrun_load.recorder import Recorder
from burdockrun_load.scenario import Arrival, Scenario, check_scenario, list_arrivals, load_scenario
from burdockrun_load.sessions import Call, Session, SessionPool

__all__ = [
    "Arrival",
    "Call",
    "Recorder",
    "Scenario",
    "Session",
    "SessionPool",
    "check_scenario",
    "list_arrivals",
    "load_scenario",
]
