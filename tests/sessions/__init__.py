"""Tests of the sessions library."""
