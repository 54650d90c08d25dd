"""Tests of accepting the connections that wait in an accept queue."""

from __future__ import annotations

import errno
import socket

import pytest
from berylstage_entry.accept_queue import AcceptQueue


class ScriptedListener:
    """Listening socket whose accept calls have scripted results.

    Parameters
    ----------
    *results : int or socket
        Error numbers to raise and connections to return, in this order.
    """

    def __init__(self, *results):
        self._results = list(results)

    def fileno(self):
        return 3

    def accept(self):
        if not self._results:
            raise BlockingIOError
        result = self._results.pop(0)
        if isinstance(result, int):
            raise OSError(result, "scripted")
        return result, ("127.0.0.1", 1)


@pytest.fixture
def conn():
    """A socket that stands for an accepted connection."""
    with socket.socket() as sock:
        yield sock


class TestAcceptQueue:
    def test_accepts_all_established_connections(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            callers = [
                socket.create_connection(listener.getsockname()) for _ in range(5)
            ]
            queue = AcceptQueue(listener)
            accepted = queue.accept_all()
            assert len(accepted) == 5
            assert queue.is_empty
            assert not any(conn.getblocking() for conn in accepted)
            for sock in (*callers, *accepted):
                sock.close()

    @pytest.mark.parametrize(
        "error", [errno.ECONNABORTED, errno.EPROTO, errno.EHOSTUNREACH, errno.EPERM]
    )
    def test_failed_connection_does_not_lose_those_behind_it(self, conn, error):
        # Guards against an error of one connection that leaves the others in the queue.
        queue = AcceptQueue(ScriptedListener(error, conn))
        assert queue.accept_all() == [conn]
        assert queue.is_empty

    @pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
    def test_queue_is_not_empty_while_no_descriptor_is_free(self, conn, error):
        # Guards against resetting the connections for which no descriptor was free.
        queue = AcceptQueue(ScriptedListener(error, conn))
        assert queue.accept_all() == []
        assert not queue.is_empty
        assert queue.accept_all() == [conn]
        assert queue.is_empty

    def test_error_that_never_ends_does_not_hold_up_the_loop(self):
        # Guards against a stop that hangs in one turn of the event loop.
        queue = AcceptQueue(ScriptedListener(*[errno.EPERM] * 100_000))
        assert queue.accept_all() == []
        assert not queue.is_empty

    def test_closed_socket_has_no_connections(self):
        listener = socket.create_server(("127.0.0.1", 0))
        listener.close()
        queue = AcceptQueue(listener)
        assert queue.accept_all() == []
        assert queue.is_empty
