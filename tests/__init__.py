"""Tests of the programs and of the workspace as a whole."""
