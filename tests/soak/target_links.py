"""Links from VMs to targets that can be cut one by one.

Each VM reaches a target at an address of its own, whose connections are forwarded to
the target. A link is cut without a signal to the target, which other VMs still reach.
"""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

# Port of the first VM's link to each target; the other VMs use the following ports.
FIRST_LINK_PORT = 8400
LISTEN_BACKLOG = 128
# Connections that fill the accept queue of a listening socket with a backlog of 0, so
# that the kernel drops the opening packets of all others.
QUEUE_FILLERS = 2
READ_BYTES = 65536


class CutMode(Enum):
    """What happens to connections over a link that is cut."""

    # All bytes are lost, and new connections are never established.
    SILENT = "silent"
    # Open connections are reset, and new ones are refused.
    RESET = "reset"
    # Open connections live on, and new ones are refused.
    REFUSING = "refusing"


class TargetLink:
    """Link from one VM to one target.

    Parameters
    ----------
    ip : str
        Address of the target.
    target_port : int
    vm_number : int
    """

    def __init__(self, ip: str, target_port: int, vm_number: int):
        self._target_address = (ip, target_port)
        self._address = (ip, FIRST_LINK_PORT + vm_number)
        self._cut_mode: CutMode | None = None
        self._is_target_running = False
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        # Both ends of all connections.
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    def open(self) -> None:
        """Accept connections, unless the link is cut; called when the target starts."""
        self._is_target_running = True
        self._update_listener()

    def close(self) -> None:
        """Refuse new connections and reset the open ones, as the target has ended."""
        self._is_target_running = False
        self._update_listener()
        self._reset_connections()

    @property
    def is_cut(self) -> bool:
        """Whether the link is cut."""
        return self._cut_mode is not None

    def cut(self, mode: CutMode) -> None:
        """Cut the link."""
        self._cut_mode = mode
        self._update_listener()
        if mode is CutMode.RESET:
            self._reset_connections()

    def heal(self) -> None:
        """End the cut; connections whose bytes were lost are reset."""
        mode, self._cut_mode = self._cut_mode, None
        if mode is CutMode.SILENT:
            self._reset_connections()
        self._update_listener()

    def _update_listener(self) -> None:
        """Listen, refuse connections, or drop their opening packets."""
        self._stop_listening()
        if not self._is_target_running:
            return
        if self._cut_mode in (None, CutMode.SILENT):
            self._listen()
        if self._cut_mode is CutMode.SILENT:
            self._drop_opening_packets()

    def _listen(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self._address)
        self._listener.setblocking(False)
        self._listener.listen(LISTEN_BACKLOG)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _stop_listening(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _drop_opening_packets(self) -> None:
        assert self._listener is not None
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._fillers.append(filler)

    def _reset_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            conn, _ = self._listener.accept()
        except BlockingIOError:
            return
        task = asyncio.create_task(self._forward(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, conn: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=conn)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target_address
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._copy(reader, target_writer), self._copy(target_reader, writer)
        )
        self._writers -= {writer, target_writer}

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy bytes until the sender closes; while the link is silent, lose them."""
        try:
            while data := await reader.read(READ_BYTES):
                if self._cut_mode is not CutMode.SILENT:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        if self._cut_mode is not CutMode.SILENT:
            writer.close()
