"""Command line `burdockrunctl` for operators."""

from burdockrun_control.configuration import ConfigurationReader
from burdockrun_control.runner import OutboxRunner
from burdockrun_control.store_reader import StoreReader
from burdockrun_control.submit import SubmitOptions, Submitter

__all__ = [
    "ConfigurationReader",
    "OutboxRunner",
    "StoreReader",
    "SubmitOptions",
    "Submitter",
]
