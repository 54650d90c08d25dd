"""Tests of the bound on connections and of the connections that are ended."""

from __future__ import annotations

from resource import RLIM_INFINITY

import pytest
from berylstage_entry.connection_limit import (
    MIN_WAITING_SECONDS,
    WaitingConnection,
    compute_max_connections,
    order_waiting_connections,
)


class TestMaxConnections:
    @pytest.mark.parametrize(
        ("max_sockets", "max_descriptors", "most"),
        [
            (3900, 20_000, 2925),
            (3900, 1032, 750),
            (3900, RLIM_INFINITY, 2925),
            (None, 1032, 750),
            (None, RLIM_INFINITY, 15_000),
            (1, 10, 1),
        ],
    )
    def test_smallest_limit_counts(self, max_sockets, max_descriptors, most):
        assert compute_max_connections(max_sockets, max_descriptors) == most


class TestEndedConnections:
    def test_those_that_have_waited_longest_are_ended(self):
        waiting = [
            WaitingConnection(n, since) for n, since in enumerate((3.0, 1.0, 2.0))
        ]
        chosen = order_waiting_connections(waiting, 10.0)
        assert [conn.connection for conn in chosen] == [1, 2, 0]

    def test_new_connections_are_not_ended(self):
        # Guards against callers whose first request is still in transit.
        waiting = [WaitingConnection(1, 10.0), WaitingConnection(2, 9.0)]
        chosen = order_waiting_connections(waiting, 9.0 + MIN_WAITING_SECONDS)
        assert [conn.connection for conn in chosen] == [2]
