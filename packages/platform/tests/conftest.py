"""Store implementations that the contract tests run against."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
from berylstage_platform.http import HttpStore, HttpVmList
from berylstage_standins.fake_store import FakeStore
from berylstage_standins.platform import Platform
from berylstage_standins.platform_server import make_server
from tornado.netutil import bind_sockets

# Far longer than a call takes on a busy machine. Only tests of an unresponsive platform
# wait until it ends.
TIMEOUT_SECONDS = 0.5


class Rig:
    """A store and the platform stand-in behind it, whose faults a test sets."""

    def __init__(self, platform, store, vm_list=None):
        self.platform = platform
        self.store = store
        self.vm_list = vm_list


@asynccontextmanager
async def http_rig(**settings):
    """Yield the HTTP clients connected to the stand-in."""
    platform = Platform(**settings)
    server = make_server(platform)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = "127.0.0.1:{}".format(sockets[0].getsockname()[1])
    store = HttpStore(address, TIMEOUT_SECONDS)
    vm_list = HttpVmList(address, TIMEOUT_SECONDS)
    try:
        yield Rig(platform, store, vm_list)
    finally:
        await store.close()
        await vm_list.close()
        server.stop()
        await server.close_all_connections()


@asynccontextmanager
async def fake_rig(**settings):
    """Yield the in-memory store."""
    platform = Platform(**settings)
    yield Rig(platform, FakeStore(platform))


@pytest.fixture(params=[http_rig, fake_rig], ids=["http", "fake"])
def open_store(request):
    """Return a function that opens a store; each implementation is a parameter."""
    return request.param


@pytest.fixture
def open_platform():
    """Return a function that opens the platform over HTTP."""
    return http_rig
