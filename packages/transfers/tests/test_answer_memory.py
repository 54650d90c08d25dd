"""Tests of the memory for the bodies of arriving answers."""

from __future__ import annotations

import pytest
from berylstage_transfers.answer_memory import (
    MAX_SMALL_PARTS,
    MIN_MEAN_PART_BYTES,
    AnswerMemory,
)
from berylstage_transfers.call import Call


def make_call(**options):
    return Call("GET", "http://127.0.0.1:1/", {}, None, 1.0, **options)


@pytest.fixture
def memory():
    return AnswerMemory(1000)


class TestAnswerMemory:
    def test_largest_body_is_dropped_when_memory_is_used_up(self, memory):
        # Guards against small answers that are lost, or a process that is killed,
        # because other servers send without end.
        large, small, last = make_call(), make_call(), make_call()
        assert memory.add(large, b"x" * 700)
        assert memory.add(small, b"x" * 200)
        assert memory.add(last, b"x" * 200)
        assert large.rejection
        assert not large.answer_body
        assert not small.rejection
        assert memory.used == 400
        assert not memory.add(large, b"x")
        assert memory.used == 400

    def test_call_that_is_itself_the_largest_is_rejected(self, memory):
        # Guards against a body that grows beyond all memory.
        call = make_call()
        assert memory.add(call, b"x" * 1000)
        assert not memory.add(call, b"x")
        assert memory.used == 0

    def test_memory_of_ended_calls_is_free_again(self, memory):
        # Guards against answers that are rejected although no other is arriving.
        for _ in range(10):
            call = make_call()
            assert memory.add(call, b"x" * 900)
            memory.release(call)
            memory.release(call)
        assert memory.used == 0
        assert len(call.answer_body) == 900

    def test_limit_of_one_call(self, memory):
        # Guards against grants whose answers fill the memory.
        call = make_call(max_answer_bytes=10)
        assert memory.add(call, b"x" * 10)
        assert not memory.add(call, b"x")

    @pytest.mark.parametrize("size", [1, MIN_MEAN_PART_BYTES - 1])
    def test_endless_small_parts_are_rejected(self, size):
        # Guards against a processor that is busy for seconds with one answer.
        memory, call = AnswerMemory(), make_call()
        parts = 0
        while memory.add(call, b"x" * size):
            parts += 1
        assert parts == MAX_SMALL_PARTS

    def test_parts_of_usual_size_are_not(self):
        # Guards against whole answers that are lost.
        memory, call = AnswerMemory(), make_call()
        for _ in range(4 * MAX_SMALL_PARTS):
            assert memory.add(call, b"x" * MIN_MEAN_PART_BYTES)
