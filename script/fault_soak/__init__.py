"""Soak of gateways as real processes under faults from outside."""
