"""The connections that a client has opened to one server."""

from __future__ import annotations

import select
import socket
import struct
import time
from fcntl import ioctl
from termios import FIONREAD, TIOCOUTQ

# Linux ioctl: bytes written to a TCP socket that the kernel has not sent yet.
_SIOCOUTQNSD = 0x894B
# Number of local ports stored for one server, which bounds the memory. When it is
# reached all are discarded, and the kept connections are replaced one by one.
MAX_REMEMBERED_PORTS = 4096
_INT = struct.Struct("i")
# Linux `struct tcp_info`: state at its start, and the number of received bytes.
_TCP_STATE = struct.Struct("B")
_RECEIVED_BYTES = struct.Struct("Q")
_RECEIVED_BYTES_OFFSET = 128
_TCP_INFO_BYTES = _RECEIVED_BYTES_OFFSET + _RECEIVED_BYTES.size
# State of a connection that the server has closed; its end counts as a byte.
_TCP_CLOSE_WAIT = 8
# Poll events of a connection that the server has closed, and of a kept one that has
# been closed or has unexpected data to read.
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP
_UNUSABLE_EVENTS = select.POLLIN | _CLOSED_EVENTS


class Connections:
    """Descriptors and last uses of connections, by local port.

    libcurl closes connections by itself, and another socket may have a descriptor then.
    """

    def __init__(self) -> None:
        self._fds: dict[int, int] = {}
        # Monotonic seconds.
        self._last_used: dict[int, float] = {}

    def add(self, local_port: int, fd: int) -> None:
        """Add a connection that has just been opened."""
        if len(self._fds) >= MAX_REMEMBERED_PORTS:
            self._fds.clear()
        self._fds[local_port] = fd

    def find_descriptor(self, local_port: int) -> int:
        """Return the descriptor of a connection; -1 if it is unknown."""
        return self._fds.get(local_port, -1)

    def record_use(self, local_port: int) -> None:
        """Record that a call on a connection has ended."""
        if len(self._last_used) >= MAX_REMEMBERED_PORTS:
            self._last_used.clear()
        self._last_used[local_port] = time.monotonic()

    def idle_seconds(self, local_port: int) -> float:
        """Return the seconds since the last call on a connection; 0 if unknown."""
        now = time.monotonic()
        return now - self._last_used.get(local_port, now)

    def is_usable(self, local_port: int) -> bool:
        """Tell whether a kept connection is open and has nothing to read."""
        fd = self._fds.get(local_port)
        return fd is not None and not has_events(fd, _UNUSABLE_EVENTS)

    def has_data(self, local_port: int) -> bool:
        """Tell whether data waits to be read on a connection."""
        fd = self._fds.get(local_port)
        return fd is not None and has_events(fd, select.POLLIN)

    def unacknowledged_bytes(self, local_port: int) -> int:
        """Return the bytes sent that the server's machine has not acknowledged."""
        return self._count_bytes(local_port, TIOCOUTQ) or 0

    def unsent_bytes(self, local_port: int) -> int | None:
        """Return the bytes that this machine has not sent; None if it doesn't tell."""
        return self._count_bytes(local_port, _SIOCOUTQNSD)

    def _count_bytes(self, local_port: int, request: int) -> int | None:
        fd = self._fds.get(local_port)
        if fd is None:
            return None
        try:
            return _INT.unpack(ioctl(fd, request, bytes(_INT.size)))[0]
        except OSError:
            # The connection has been closed meanwhile, or the kernel does not support
            # the request.
            return None

    def read_bytes(self, local_port: int) -> int | None:
        """Return the bytes that libcurl has read from a connection since it was opened.

        None if this machine doesn't tell.
        """
        fd = self._fds.get(local_port)
        if fd is None:
            return None
        unread = self._count_bytes(local_port, FIONREAD)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        except OSError:
            # The connection has been closed meanwhile.
            return None
        finally:
            sock.detach()
        if len(info) < _TCP_INFO_BYTES or unread is None:
            return None
        (received,) = _RECEIVED_BYTES.unpack_from(info, _RECEIVED_BYTES_OFFSET)
        (state,) = _TCP_STATE.unpack_from(info)
        return received - unread - (state == _TCP_CLOSE_WAIT)

    def set_user_timeout(self, local_port: int, milliseconds: int) -> None:
        """Set for how long sent bytes may stay unacknowledged on a connection."""
        fd = self._fds.get(local_port)
        if fd is None or not _is_open(fd, local_port):
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        except OSError:
            # The connection has been closed meanwhile.
            return
        finally:
            sock.detach()


def has_events(fd: int, events: int) -> bool:
    """Tell whether a descriptor has any of some poll events now."""
    poll = select.poll()
    poll.register(fd, events)
    return bool(poll.poll(0))


def _is_open(fd: int, local_port: int) -> bool:
    """Tell whether a descriptor is a connection that the server has not closed."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    except OSError:
        return False
    try:
        if sock.getsockname()[1] != local_port:
            return False
        sock.getpeername()
    except (OSError, IndexError):
        # Another kind of socket, or one without a connection.
        return False
    finally:
        sock.detach()
    return not has_events(fd, _CLOSED_EVENTS)
