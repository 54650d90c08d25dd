"""Tests of the clients of many servers."""

from __future__ import annotations

import pytest
from berylstage_transfers import client_pool
from berylstage_transfers.client_pool import MAX_UNUSED_SECONDS, ClientPool


class Client:
    """A client that is open until it is closed."""

    def __init__(self):
        self.is_open = True

    def close(self):
        self.is_open = False


class Clock:
    """Stands for the time module."""

    now = 0.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(client_pool, "time", clock)
    return clock


class TestClientPool:
    def test_same_address_has_the_same_client(self, clock):
        pool = ClientPool(Client)
        assert pool.get("a:1") is pool.get("a:1")
        assert pool.get("a:1") is not pool.get("b:1")

    def test_unused_clients_are_closed(self, clock):
        # Guards against memory and descriptors of each server that there ever was.
        pool = ClientPool(Client)
        kept = pool.get("kept:1")
        first = pool.get("a-0:1")
        for number in range(1000):
            clock.now += 1.0
            pool.get(f"a-{number}:1")
            assert pool.get("kept:1") is kept
        assert len(pool) <= MAX_UNUSED_SECONDS + 2
        assert kept.is_open
        assert not first.is_open

    def test_close_closes_all(self, clock):
        pool = ClientPool(Client)
        clients = [pool.get("a:1"), pool.get("b:1")]
        pool.close()
        assert not any(client.is_open for client in clients)
