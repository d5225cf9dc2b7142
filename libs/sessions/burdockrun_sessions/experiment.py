"""Measures the cost of session tokens: `python -m burdockrun_sessions.experiment`."""

import json
import sys
import timeit
from collections.abc import Callable

from burdockrun_messages import LogPosition

from burdockrun_sessions.codec import TokenCodec
from burdockrun_sessions.models import SessionToken

ACCOUNT = "bayern"
RUNS = 5
CALLS_PER_RUN = 2_000


def measure(databases: int) -> dict[str, float]:
    """Return the cost in microseconds of a token that lists `databases` databases."""
    old_codec, codec = TokenCodec(["old-key"]), TokenCodec(["new-key", "old-key"])
    token = SessionToken(
        positions={
            f"wendedb-{number}": LogPosition(term=3, index=1_000_000 + number)
            for number in range(databases)
        }
    )
    text, old_text = codec.encode(token, ACCOUNT), old_codec.encode(token, ACCOUNT)
    return {
        "databases": databases,
        "characters": len(text),
        "encode_us": _time_us(lambda: codec.encode(token, ACCOUNT)),
        "decode_us": _time_us(lambda: codec.decode(text, ACCOUNT)),
        "decode_previous_key_us": _time_us(lambda: codec.decode(old_text, ACCOUNT)),
    }


def main() -> int:
    """Print one JSON line with the lowest cost of several runs for each size."""
    sys.stdout.write(json.dumps([measure(databases) for databases in (1, 3, 64)]) + "\n")
    return 0


def _time_us(call: Callable[[], object]) -> float:
    seconds = min(timeit.repeat(call, number=CALLS_PER_RUN, repeat=RUNS))
    return round(seconds / CALLS_PER_RUN * 1e6, 1)


if __name__ == "__main__":
    raise SystemExit(main())
