"""A VM whose targets send the answers given by a test."""

from __future__ import annotations

import asyncio
import json
import time

from malformed_server import MalformedServer
from platform_standin import StoreState, store_application
from stop_environment import CONFIGURATION
from test_start import VmProcess, free_port, wait_until
from tornado.httpserver import HTTPServer

TARGETS = 4
DEADLINE_MS = 2000
HEALTHY = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBerylstage-Backend-Load: 0,0,100,100\r\n"
    b"\r\n"
)


def run(scenario):
    """Run a test's coroutine to completion."""
    return asyncio.run(asyncio.wait_for(scenario, 60))


class MalformedTarget(MalformedServer):
    """A target whose health checks are answered well."""

    def choose_answer(self, head):
        """Return the answer to a request."""
        if b"attempt-id" not in head.lower():
            return HEALTHY
        return super().choose_answer(head)


class AnsweredVm:
    """Context manager with a store, targets that a test makes, and one VM."""

    def __init__(self, folder, make_target):
        self._folder = folder
        self._servers = []
        self._last_number = 0
        self.targets = [make_target() for _ in range(TARGETS)]
        self.vm = None

    async def __aenter__(self):
        state, store_port = StoreState(), free_port()
        HTTPServer(store_application(state)).listen(store_port, "127.0.0.1")
        for number, target in enumerate(self.targets):
            server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            record = {
                "address": f"127.0.0.1:{port}",
                "born": 1,
                "info": {"service": "s", "version": "v", "zone": "a", "slots": 100},
                "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
            }
            state.put(f"servers/s-{number}", json.dumps(record).encode())
        state.put("op/config", json.dumps(CONFIGURATION).encode())
        self.vm = VmProcess(1, self._folder, store_port)
        await wait_until(self.vm.is_ready)
        return self

    async def __aexit__(self, *exc):
        self.vm.process.kill()
        self.vm.process.wait()
        for server in self._servers:
            server.close()
        while any(target.connections for target in self.targets):
            await asyncio.sleep(0.01)

    async def send(self, method, path, body=b""):
        """Return all bytes of the answer to a request, and its seconds."""
        self._last_number += 1
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Berylstage-Attempt-Id: {self._last_number}\r\n"
            f"Berylstage-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        began = time.monotonic()
        reader, writer = await asyncio.open_connection(self.vm.ip, self.vm.ports[0])
        writer.write(request.encode() + body)
        raw = await reader.read()
        writer.close()
        return raw, time.monotonic() - began
