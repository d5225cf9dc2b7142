"""Tests of the endpoint library."""
