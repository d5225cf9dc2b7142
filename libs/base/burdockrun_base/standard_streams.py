"""Standard output and standard error that never block or fail a program, whoever reads them."""

import os
import socket
import stat
import sys
from collections.abc import Callable
from typing import Final, TextIO, cast

STANDARD_OUTPUT: Final = 1
STANDARD_ERROR: Final = 2

# Writes bytes and returns how many were written; raises BlockingIOError instead of waiting.
Write = Callable[[bytes], int]


class NonBlockingStream:
    """Text stream that drops and counts writes instead of blocking."""

    def __init__(self, write: Write) -> None:
        self.dropped = 0
        self._write = write
        self._unwritten = b""

    def write(self, text: str) -> int:
        """Write the unsent end of an earlier text, then `text`; drop `text` if there is no room."""
        data = self._unwritten + text.encode(errors="backslashreplace")
        try:
            written = self._write(data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.dropped += 1
            return len(text)
        if written < len(self._unwritten) or written == 0:
            self.dropped += 1
            self._unwritten = self._unwritten[written:]
        else:
            self._unwritten = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing, as every write goes out at once."""

    def close(self) -> None:
        """Leave the descriptor open, as it belongs to the process."""


def set_up_standard_streams() -> None:
    """Write to standard output and standard error without blocking.

    Nothing is lost while they are read. The descriptors themselves stay as they are, since other
    processes may share them.
    """
    sys.stdout = cast(TextIO, NonBlockingStream(open_write(STANDARD_OUTPUT)))
    sys.stderr = cast(TextIO, NonBlockingStream(open_write(STANDARD_ERROR)))


def open_write(descriptor: int) -> Write:
    """Return a function that writes to a descriptor without blocking."""
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISSOCK(mode):
        connection = socket.socket(fileno=os.dup(descriptor))
        return lambda data: connection.send(data, socket.MSG_DONTWAIT)
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        descriptor = _reopen(descriptor)
    return lambda data: os.write(descriptor, data)


def _reopen(descriptor: int) -> int:
    """Return another descriptor of the same pipe or terminal, which alone does not block."""
    try:
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
    except OSError:
        os.set_blocking(descriptor, False)
        return descriptor
