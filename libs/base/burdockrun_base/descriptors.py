"""Limit of open file descriptors of the process."""

import resource
import sys


def raise_descriptor_limit() -> int:
    """Allow as many open descriptors as this process may have, and return how many.

    Systems start programs with a limit that is lower than the one that a program may set itself.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    except (OSError, ValueError):
        hard = soft
    return sys.maxsize if hard == resource.RLIM_INFINITY else hard
