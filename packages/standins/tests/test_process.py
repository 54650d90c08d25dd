"""Tests of the simulated servers as processes."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from contextlib import contextmanager

from berylstage_platform.http import HttpStore
from berylstage_standins.ledger import read_ledger
from berylstage_targets.http import HttpTargetClient
from berylstage_targets.target import WorkRequest


@contextmanager
def process(module, *flags):
    """Run a simulated server; yield the process and its address once it listens."""
    command = [sys.executable, "-m", f"berylstage_standins.{module}", "--port", "0"]
    done = subprocess.Popen([*command, *flags], stdout=subprocess.PIPE, text=True)
    try:
        greeting = done.stdout.readline()
        assert "listening" in greeting
        yield done, greeting.split()[-1]
    finally:
        done.kill()
        done.wait()
        done.stdout.close()


class TestPlatform:
    def test_it_serves_and_stops_on_sigterm(self):
        async def write(address):
            store = HttpStore(address, 10.0)
            version = await store.write("k", b"v", 0)
            await store.close()
            return version

        with process("platform") as (done, address):
            assert asyncio.run(write(address)) == 1
            done.send_signal(signal.SIGTERM)
            assert done.wait(30) == 0


class TestTarget:
    def test_a_killed_target_keeps_the_lines_of_sent_answers(self, tmp_path):
        # The target is killed as soon as its answer has reached the caller. Without
        # the line in the ledger, the check would report an answer without a run.
        path = tmp_path / "ledger.jsonl"

        async def send(done, address):
            client = HttpTargetClient(address, 10)
            req = WorkRequest(
                request_id="r1",
                service="field-log",
                kind="lookup",
                key="dryer-1",
                shard=0,
                fence=0,
                epoch=0,
                method="GET",
                body=b"",
                content_type="",
                deadline=time.time() + 60,
                timeout=10.0,
            )
            await client.send(req)
            done.kill()
            await client.close()

        flags = ["--name", "t", "--ledger", str(path), "--no-checks-fences"]
        with process("target", *flags) as (done, address):
            asyncio.run(send(done, address))
        assert [run.request_id for run in read_ledger(path).runs] == ["r1"]
