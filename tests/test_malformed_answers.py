"""Tests of whoever reads answers with servers whose answers are malformed."""

from __future__ import annotations

import pytest
from answer_readers import (
    ALL_CALLS,
    STORE_CALLS,
    TARGET_CALLS,
    grant_shards,
    list_vms,
    read_entry,
    read_report,
)
from answered_vm import AnsweredVm, MalformedTarget, run
from berylstage_platform.errors import StoreUnavailable as PlatformUnavailable
from berylstage_targets.errors import TargetError
from malformed_server import (
    BODY,
    CONTRADICTORY_ANSWERS,
    LENGTH,
    MALFORMED_ANSWERS,
    MalformedServer,
    build_answer,
)

# Time within which an answer that is refused must have ended its request.
MAX_SECONDS = 1.0
BAD_GATEWAY = 502
# Of a target, which names itself and the request.
TARGET_ANSWERS = MALFORMED_ANSWERS | CONTRADICTORY_ANSWERS
every_malformed_answer = pytest.mark.parametrize("name", MALFORMED_ANSWERS)


def make_malformed_target():
    """Return a target that keeps its connections."""
    return MalformedTarget(closes=False)


async def find_faults(environment, name, closes):
    """Return what is wrong with the answers that callers get."""
    for target in environment.targets:
        target.raw, target.closes = TARGET_ANSWERS[name], closes
    faults = []
    for method, path in (("GET", "/a/x"), ("POST", "/o/x")):
        raw, seconds = await environment.send(method, path)
        status = int(raw.split()[1])
        if status != BAD_GATEWAY or b"signature" in raw.lower():
            faults.append((name, closes, method, raw))
        if seconds > MAX_SECONDS:
            faults.append((name, closes, method, f"{seconds:.1f} s"))
    return faults


class TestVm:
    @pytest.mark.parametrize("closes", [False, True], ids=["kept", "closed"])
    def test_no_malformed_answer_reaches_a_caller(self, tmp_path, closes):
        # Guards against a body or a line that is not the target's, with its signature.
        async def play():
            async with AnsweredVm(tmp_path, make_malformed_target) as environment:
                faults = []
                for name in TARGET_ANSWERS:
                    faults += await find_faults(environment, name, closes)
                assert all(target.requests for target in environment.targets)
                for target in environment.targets:
                    target.raw, target.closes = build_answer(LENGTH), False
                raw, _ = await environment.send("POST", "/o/x")
                assert raw.startswith(b"HTTP/1.1 200 OK")
                assert environment.vm.process.poll() is None
                environment.vm.log.seek(0)
                return faults, environment.vm.log.read()

        faults, log = run(play())
        assert not faults
        assert "Traceback" not in log
        assert "X Field: a" in log

    def test_lookups_are_served_by_other_targets(self, tmp_path):
        # Guards against callers who get 502 although a lookup may be sent again.
        async def play():
            async with AnsweredVm(tmp_path, make_malformed_target) as environment:
                for target in environment.targets:
                    target.raw = build_answer(LENGTH)
                environment.targets[0].raw = MALFORMED_ANSWERS["name with a blank"]
                answers = [await environment.send("GET", "/a/x") for _ in range(20)]
                assert environment.targets[0].requests
                return [raw for raw, _ in answers]

        for raw in run(play()):
            assert raw.startswith(b"HTTP/1.1 200 OK")
            assert raw.endswith(BODY)


async def call_server(call, raw):
    """Make a call that a server answers with some bytes."""
    async with MalformedServer(raw).open() as server:
        return await call(server.address)


class TestReaders:
    @every_malformed_answer
    @pytest.mark.parametrize("call", ALL_CALLS)
    def test_malformed_answer(self, call, name):
        # Guards against a record or a lease that the store has never sent, keys that no
        # target owns, a dead target that is kept, and a reply that is another's.
        make_call, error = ALL_CALLS[call]
        with pytest.raises(error):
            run(call_server(make_call, MALFORMED_ANSWERS[name]))

    @pytest.mark.parametrize("name", CONTRADICTORY_ANSWERS)
    @pytest.mark.parametrize("call", TARGET_CALLS)
    def test_answer_that_no_target_may_send(self, call, name):
        # Guards against keys that no target owns, and a dead target that is kept.
        make_call, error = TARGET_CALLS[call]
        with pytest.raises(error):
            run(call_server(make_call, CONTRADICTORY_ANSWERS[name]))


class TestStore:
    @pytest.mark.parametrize("call", ["read", "watch", "write", "create lease"])
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{}",
            b"7",
            b"[]",
            b'{"rev": "7", "lease": true, "items": [], "events": []}',
            b'{"items": {}, "events": 7, "current_rev": 7}',
            b'{"items": [7], "events": [7], "current_rev": 7}',
            b'{"items": [{"key": 7, "rev": 7}], "events": [], "current_rev": "7"}',
            b'{"items": [{"key": "k", "rev": 7, "value": "?"}], "current_rev": 7}',
        ],
    )
    def test_answer_that_lacks_what_was_asked_for(self, call, body):
        # Guards against a write that passes for accepted, and against an error that
        # ends the task which reads the store.
        raw = build_answer(b"Content-Length: %d" % len(body), body=body)
        make_call, error = STORE_CALLS[call]
        with pytest.raises(error):
            run(call_server(make_call, raw))


class TestDaemon:
    """The product's own interfaces."""

    @pytest.mark.parametrize("body", [b"", b"7", b"[]", b"[" * 100_000, b'{"x": 1}'])
    def test_control_answer_with_an_unusable_body(self, body):
        # Guards against an error that ends the task which renews grants.
        raw = build_answer(b"Content-Length: %d" % len(body), body=body)
        for make_call in (grant_shards, read_report):
            with pytest.raises(TargetError):
                run(call_server(make_call, raw))

    @pytest.mark.parametrize(
        "version", [b"", b"1_0", b"+7", b"-7", b"\xb2", b"7, 8", b"9" * 5000]
    )
    def test_entry_with_a_version_that_is_none(self, version):
        # Guards against a write that replaces an entry which nobody has read.
        raw = build_answer(LENGTH, b"Version: " + version)
        with pytest.raises(PlatformUnavailable):
            run(call_server(read_entry, raw))

    @pytest.mark.parametrize("body", [b"", b"7", b"{}x", b"[" * 100_000, b"[{}]"])
    def test_list_of_vms_that_is_none(self, body):
        # Guards against a command that ends with a traceback.
        raw = build_answer(b"Content-Length: %d" % len(body), body=body)
        with pytest.raises(PlatformUnavailable):
            run(call_server(list_vms, raw))
