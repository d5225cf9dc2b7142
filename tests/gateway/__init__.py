"""Tests of the gateway library."""
