"""Write log lines without ever holding up the process."""

from __future__ import annotations

import os
import signal
import stat
import threading
from abc import ABC, abstractmethod

from berylstage_entry.clock import now
from berylstage_entry.shutdown import STOP_SIGNALS

# Bytes kept while they can't be written; what comes beyond is left out.
MAX_BUFFERED_BYTES = 256 * 1024
# Seconds for which the end of the process waits for lines that are not written yet.
CLOSE_TIMEOUT_SECONDS = 1.0


class LineWriter(ABC):
    """Writes lines to a file descriptor.

    Attributes
    ----------
    writing : float
        Seconds for which the caller was held up by writing since the start.
    """

    __slots__ = ("writing",)

    def __init__(self) -> None:
        self.writing = 0.0

    @abstractmethod
    def write(self, data: bytes) -> bool:
        """Write or keep a line; False when there was no room for it."""

    @abstractmethod
    def close(self) -> None:
        """Write what was kept, as far as that takes no time."""


class NonBlockingWriter(LineWriter):
    """Writes what the other end takes at once, and keeps the rest.

    A pipe that nobody reads is full after 64 KB, and a blocking write would then stop
    the event loop: every request would stand still for the sake of its log.

    Parameters
    ----------
    fd : int
    """

    __slots__ = ("_fd", "_buffer")

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
            # Nobody will read any more; there is no place left to say so.
            self._buffer = b""
            return True
        finally:
            self.writing += now() - began
        self._buffer = self._buffer[written:]
        return True

    def close(self) -> None:  # noqa: D102
        if self._buffer:
            self.write(b"")


class ThreadedWriter(LineWriter):
    """Has a thread write to a file.

    A file is always ready, as far as anybody can ask, and a write to it still takes
    as long as the disk is busy with what others write.

    Parameters
    ----------
    fd : int
    """

    __slots__ = ("_closing", "_fd", "_buffer", "_thread", "_condition")

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
        # A signal that came to this thread, when the event loop has closed and the main
        # thread blocks it, would end the process with a status that looks like a crash.
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
                # A full disk, say; there is no place left to say so.
                return


def create_line_writer(fd: int) -> LineWriter:
    """Return what writes lines to a file descriptor, by what it leads to."""
    if stat.S_ISREG(os.fstat(fd).st_mode):
        return ThreadedWriter(fd)
    return NonBlockingWriter(fd)
