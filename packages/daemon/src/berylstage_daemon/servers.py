"""The two servers of a daemon: HTTP for callers, gRPC for other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_entry.addresses import split_host_port
from tornado.web import Application as WebApplication

from berylstage_daemon.connections import ConnectionServer
from berylstage_daemon.forwarding import PeerService
from berylstage_daemon.part import Part
from berylstage_daemon.peer_connections import PeerConnections

if TYPE_CHECKING:
    from berylstage_daemon.application import Application

# A body somewhat over the limit is read and refused with a clear answer; tornado closes
# the connection of a far larger one without a word, before it takes any memory.
READ_LIMIT_RATIO = 4
# A balancer polls readiness about once a second. Callers that it still sends for two
# polls after a VM turned not ready must find an open port.
BALANCER_LAG = 2.0


class CallerServer(Part):
    """Serves callers and the daemon's own pages.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app
        self._server: ConnectionServer | None = None

    async def start(self) -> None:
        """Listen."""
        web = WebApplication(self._app.routes(), log_function=lambda handler: None)
        limit = READ_LIMIT_RATIO * int(self._app.cfg.body_limit)
        self._server = ConnectionServer(
            web, max_body_size=limit, max_buffer_size=2 * limit
        )
        host, port = split_host_port(self._app.cfg.http)
        self._server.listen_on(host, port)

    async def drain(self) -> None:
        """Wait until the balancer has noticed that this VM is not ready."""
        await asyncio.sleep(BALANCER_LAG)
        if self._server is not None:
            self._server.end_listening()

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way in either direction."""
        if self._server is not None:
            self._server.close_idle()

    def open_count(self) -> int:
        """Return the number of open connections."""
        return 0 if self._server is None else self._server.open_count()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class PeerServer(Part):
    """Serves the other VMs.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app
        self._server: PeerConnections | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = PeerConnections([PeerService(self._app)])
        host, port = split_host_port(self._app.cfg.peer)
        await self._server.start(host, port)

    def close_if_idle(self) -> bool:
        """Close if no request of another VM is under way; tell whether it is closed."""
        return self._server is None or self._server.close_if_idle()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
