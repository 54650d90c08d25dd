"""What the kernel holds of a connection: bytes unread, and bytes not yet taken."""

from __future__ import annotations

import struct
from enum import Enum
from fcntl import ioctl
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import MSG_DONTWAIT, MSG_PEEK, socket
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import BaseTransport
    from asyncio.trsock import TransportSocket

_INT = struct.Struct("i")
# What tells of the other side's end, whatever waits to be read before it.
_END = POLLRDHUP | POLLHUP | POLLERR


class ReceiveState(Enum):
    """What waits to be read on a connection."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "end"


def unread(transport: BaseTransport) -> ReceiveState:
    """Tell what waits in the socket of a transport, without reading it.

    Parameters
    ----------
    transport : BaseTransport
        One without a socket has nothing to read.

    Returns
    -------
    Unread
        ``END`` when the other side has closed or reset the connection.
    """
    return unread_in(transport.get_extra_info("socket"))


def unread_in(sock: TransportSocket | socket | None) -> ReceiveState:
    """Tell what waits in a socket, as for :func:`unread`.

    Parameters
    ----------
    sock : socket or None

    Returns
    -------
    Unread
    """
    if sock is None or sock.fileno() < 0:
        return ReceiveState.NOTHING
    peeked = socket(fileno=sock.fileno())
    try:
        return (
            ReceiveState.BYTES
            if peeked.recv(1, MSG_PEEK | MSG_DONTWAIT)
            else ReceiveState.END
        )
    except BlockingIOError:
        return ReceiveState.NOTHING
    except OSError:
        # A reset is an end as well; the transport meets it by itself.
        return ReceiveState.END
    finally:
        peeked.detach()


def has_ended(transport: BaseTransport) -> bool:
    """Tell whether the other side has closed or reset the connection.

    Unlike :func:`unread` it sees that also behind bytes that wait to be read.

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
    look = poll()
    look.register(sock.fileno(), _END)
    return bool(look.poll(0))


def unsent(transport: BaseTransport) -> int:
    """Return the bytes in the kernel that the other side has not acknowledged.

    Parameters
    ----------
    transport : BaseTransport

    Returns
    -------
    int
        0 as well where the kernel does not tell.
    """
    return unsent_in(transport.get_extra_info("socket"))


def unsent_in(sock: TransportSocket | socket | None) -> int:
    """Return the bytes of a socket that the other side has not acknowledged.

    Parameters
    ----------
    sock : socket or None

    Returns
    -------
    int
        As for :func:`unsent`.
    """
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        return _INT.unpack(ioctl(sock.fileno(), TIOCOUTQ, bytes(_INT.size)))[0]
    except OSError:
        # Some kernels tell it of no socket; its end is then known by the other side's.
        return 0
