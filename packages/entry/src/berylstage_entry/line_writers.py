"""Writers of log lines that never block the event loop."""

from __future__ import annotations

import os
import signal
import stat
import threading
from abc import ABC, abstractmethod

from berylstage_entry.clock import now
from berylstage_entry.shutdown import STOP_SIGNALS

# Bytes that are buffered while they cannot be written; further lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Seconds for which the exit of the process waits for buffered lines to be written.
CLOSE_TIMEOUT_SECONDS = 1.0


class LineWriter(ABC):
    """Writes log lines to a file descriptor.

    Attributes
    ----------
    write_seconds : float
        Seconds for which writes have blocked the caller since the start.
    """

    __slots__ = ("write_seconds",)

    def __init__(self) -> None:
        self.write_seconds = 0.0

    @abstractmethod
    def write(self, data: bytes) -> bool:
        """Write or buffer a line; return False if the buffer has no room for it."""

    @abstractmethod
    def close(self) -> None:
        """Write the buffered lines, as far as that is possible quickly."""


class NonBlockingWriter(LineWriter):
    """Writes as much as the descriptor accepts without blocking, and buffers the rest.

    A pipe without a reader is full after 64 KB. A blocking write would then stop the
    event loop, and with it every request.

    Parameters
    ----------
    fd : int
    """

    __slots__ = ("_buffer", "_fd")

    def __init__(self, fd: int):
        super().__init__()
        self._fd = fd
        self._buffer = b""
        os.set_blocking(fd, False)

    def write(self, data: bytes) -> bool:  # noqa: D102
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            return False
        self._buffer += data
        began = now()
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return True
        except OSError:
            # The pipe has no reader any more, and there is nowhere to report this.
            self._buffer = b""
            return True
        finally:
            self.write_seconds += now() - began
        self._buffer = self._buffer[written:]
        return True

    def close(self) -> None:  # noqa: D102
        if self._buffer:
            self.write(b"")


class ThreadedWriter(LineWriter):
    """Writes lines to a regular file in a separate thread.

    The kernel always reports a regular file as ready, but a write to it still blocks
    while the disk is busy with other writes.

    Parameters
    ----------
    fd : int
    """

    __slots__ = ("_buffer", "_closing", "_condition", "_fd", "_thread")

    def __init__(self, fd: int):
        super().__init__()
        self._fd = fd
        self._buffer = b""
        self._closing = False
        self._condition = threading.Condition()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, data: bytes) -> bool:  # noqa: D102
        with self._condition:
            if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
                return False
            self._buffer += data
            self._condition.notify()
        return True

    def close(self) -> None:  # noqa: D102
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _run(self) -> None:
        # After the event loop has closed, the main thread blocks these signals. If one
        # were delivered to this thread, the process would end with a status that looks
        # like a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
        while True:
            with self._condition:
                self._condition.wait_for(lambda: self._buffer or self._closing)
                data, self._buffer = self._buffer, b""
            if not data:
                return
            self._write_all(data)

    def _write_all(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self._fd, data) :]
            except OSError:
                # For example, the disk is full; there is nowhere to report this.
                return


def create_line_writer(fd: int) -> LineWriter:
    """Return a line writer that suits the type of file behind a descriptor."""
    if stat.S_ISREG(os.fstat(fd).st_mode):
        return ThreadedWriter(fd)
    return NonBlockingWriter(fd)
