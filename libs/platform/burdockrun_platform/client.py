"""HTTP client of the platform."""

import asyncio

import aiohttp
from burdockrun_base import name_error
from burdockrun_messages import PlatformFailure, PlatformOperation, PlatformReply
from result import Err

from burdockrun_platform.const import PLATFORM_PATH
from burdockrun_platform.envelope import decode_reply, encode_operation

_HEADERS = {"Content-Type": "application/json"}


class PlatformClient:
    """Calls `POST /v1/platform` below `base_url`."""

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self._url = base_url.rstrip("/") + PLATFORM_PATH
        self._session = session

    async def async_call(self, operation: PlatformOperation, timeout_ms: int) -> PlatformReply:
        """Return the reply, or `PlatformFailure` for any fault or timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._async_post(encode_operation(operation))
        except TimeoutError:
            return PlatformFailure(reason=f"no answer within {timeout_ms} ms")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return PlatformFailure(reason=name_error(error))

    async def _async_post(self, body: bytes) -> PlatformReply:
        async with self._session.post(self._url, data=body, headers=_HEADERS) as response:
            data = await response.read()
            if response.status != 200:
                return PlatformFailure(reason=f"status {response.status}")
        decoded = decode_reply(data)
        if isinstance(decoded, Err):
            return PlatformFailure(reason=decoded.err_value)
        return decoded.ok_value
