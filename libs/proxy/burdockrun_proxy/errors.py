"""Errors of calls to other programs."""

from typing import Final

import aiohttp

# What a call raises if it fails; ValueError for an address that is none.
CALL_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
