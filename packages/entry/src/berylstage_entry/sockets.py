"""Kernel state of a connection: unread input and unacknowledged output."""

from __future__ import annotations

import struct
from enum import Enum
from fcntl import ioctl
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import IPPROTO_TCP, MSG_DONTWAIT, MSG_PEEK, TCP_INFO, socket
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import BaseTransport, WriteTransport
    from asyncio.trsock import TransportSocket

_INT = struct.Struct("i")
_UNSIGNED_INT = struct.Struct("I")
# For a listening socket, Linux reports the length of its accept queue in the field
# tcpi_unacked of struct tcp_info.
_ACCEPT_QUEUE_OFFSET = 24
# Events that report the peer's close even while unread bytes precede it.
_PEER_CLOSED_EVENTS = POLLRDHUP | POLLHUP | POLLERR


class ReceiveState(Enum):
    """State of a connection's receive queue."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


def peek_transport(transport: BaseTransport) -> ReceiveState:
    """Peek at the receive queue of a transport's socket without reading it.

    Parameters
    ----------
    transport : BaseTransport
        A transport without a socket has nothing to read.

    Returns
    -------
    ReceiveState
        ``END`` if the peer has closed or reset the connection.
    """
    return peek_socket(transport.get_extra_info("socket"))


def peek_socket(sock: TransportSocket | socket | None) -> ReceiveState:
    """Peek at the receive queue of a socket, as :func:`peek_transport` does.

    Parameters
    ----------
    sock : socket or None

    Returns
    -------
    ReceiveState
    """
    if sock is None or sock.fileno() < 0:
        return ReceiveState.NOTHING
    peek_sock = socket(fileno=sock.fileno())
    try:
        return (
            ReceiveState.BYTES
            if peek_sock.recv(1, MSG_PEEK | MSG_DONTWAIT)
            else ReceiveState.END
        )
    except BlockingIOError:
        return ReceiveState.NOTHING
    except OSError:
        # A reset counts as an end as well; the transport detects it itself.
        return ReceiveState.END
    finally:
        peek_sock.detach()


def peer_has_closed(transport: BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection.

    Unlike :func:`peek_transport`, this detects a close even if unread bytes precede it.

    Parameters
    ----------
    transport : BaseTransport

    Returns
    -------
    bool
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poller = poll()
    poller.register(sock.fileno(), _PEER_CLOSED_EVENTS)
    return bool(poller.poll(0))


def send_queue_bytes(transport: BaseTransport) -> int:
    """Return the bytes in a transport's kernel send queue, sent or not.

    Parameters
    ----------
    transport : BaseTransport

    Returns
    -------
    int
        Bytes that the peer has not acknowledged; 0 if the kernel does not report them.
    """
    return socket_send_queue_bytes(transport.get_extra_info("socket"))


def count_unacknowledged_bytes(transport: WriteTransport) -> int:
    """Return the bytes written to a transport that its peer has not acknowledged."""
    return transport.get_write_buffer_size() + send_queue_bytes(transport)


def socket_send_queue_bytes(sock: TransportSocket | socket | None) -> int:
    """Return the bytes in a socket's kernel send queue.

    Parameters
    ----------
    sock : socket or None

    Returns
    -------
    int
        As for :func:`send_queue_bytes`.
    """
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        return _INT.unpack(ioctl(sock.fileno(), TIOCOUTQ, bytes(_INT.size)))[0]
    except OSError:
        # Some kernels do not support this call for sockets; the end of a connection is
        # then detected by the peer's close alone.
        return 0


def count_unaccepted_connections(sock: TransportSocket | socket) -> int | None:
    """Return the established connections in a listening socket's accept queue.

    Parameters
    ----------
    sock : socket
        A listening socket.

    Returns
    -------
    int or None
        None if the kernel does not report them.
    """
    size = _ACCEPT_QUEUE_OFFSET + _UNSIGNED_INT.size
    try:
        info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, size)
    except OSError:
        return None
    if len(info) < size:
        return None
    return _UNSIGNED_INT.unpack_from(info, _ACCEPT_QUEUE_OFFSET)[0]
