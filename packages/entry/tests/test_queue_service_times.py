"""Tests of the service time estimates for queues."""

from __future__ import annotations

from random import Random

from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.protocols import Record
from berylstage_entry.queue_service_times import QueueServiceTimes
from berylstage_entry.router import Router
from berylstage_entry.target_clients import TargetClients
from berylstage_policy.completion import OTHER_DATA_CENTRE
from fakes import BOUNDS, configuration, target


def times(**sizes):
    cluster_view = ClusterView()
    cluster_view.apply(Record(configuration=configuration()), 0.0, False)
    cluster_view.apply(Record(target=target("a", data_centre="dc-1")), 0.0, False)
    router = Router(cluster_view, None, TargetClients(None), BOUNDS, Random(1))
    router.loads._answer_sizes = sizes
    return QueueServiceTimes(router.loads, cluster_view, "s")


class TestDistance:
    def test_target_in_the_same_data_centre_has_no_penalty(self):
        assert times(r=1e6).locality_penalty("a", "dc-1", "r") == 0

    def test_small_answers_have_a_small_penalty(self):
        assert times(r=400).locality_penalty("a", "dc-2", "r") == OTHER_DATA_CENTRE

    def test_large_answers_have_a_large_penalty(self):
        # Files of 90 kB, with targets in each data centre. Half of them crossed between
        # data centres to save some ten milliseconds.
        assert times(r=90e3).locality_penalty("a", "dc-2", "r") > 0.25

    def test_unknown_target_has_no_penalty(self):
        assert times().locality_penalty("z", "dc-2", "r") == 0
