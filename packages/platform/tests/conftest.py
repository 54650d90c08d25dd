"""The implementations of the store that its contract tests run against."""

from __future__ import annotations

from contextlib import asynccontextmanager

import pytest
from berylstage_platform.http import HttpStore, HttpVmList
from berylstage_standins.fake_store import FakeStore
from berylstage_standins.platform import Platform
from berylstage_standins.platform_server import make_server
from tornado.netutil import bind_sockets

# Seconds that a call waits at most: far longer than a call on a busy machine takes,
# since no test waits it out but those of silence.
TIMEOUT = 0.5


class Rig:
    """A store, and the platform behind it whose faults a test switches."""

    def __init__(self, platform, store, vm_list=None):
        self.platform = platform
        self.store = store
        self.vm_list = vm_list


@asynccontextmanager
async def http_rig(**settings):
    """Give the HTTP adapters in front of the stand-in."""
    platform = Platform(**settings)
    server = make_server(platform)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = "127.0.0.1:{}".format(sockets[0].getsockname()[1])
    store = HttpStore(address, TIMEOUT)
    vm_list = HttpVmList(address, TIMEOUT)
    try:
        yield Rig(platform, store, vm_list)
    finally:
        await store.close()
        await vm_list.close()
        server.stop()
        await server.close_all_connections()


@asynccontextmanager
async def fake_rig(**settings):
    """Give the store in memory."""
    platform = Platform(**settings)
    yield Rig(platform, FakeStore(platform))


@pytest.fixture(params=[http_rig, fake_rig], ids=["http", "fake"])
def open_store(request):
    """Return how to open a store; another implementation is one more parameter."""
    return request.param


@pytest.fixture
def open_platform():
    """Return how to open the platform over HTTP."""
    return http_rig
