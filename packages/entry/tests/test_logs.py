"""Tests of log lines that never hold up the process."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

import pytest
from berylstage_entry import line_writers
from berylstage_entry.line_writers import FileWriter, PipeWriter, line_writer
from berylstage_entry.logs import JsonLogHandler
from berylstage_entry.stopping import STOP_SIGNALS
from logbook import Logger

BUSY_DISK = 0.3
log = Logger("test")


@pytest.fixture
def slow_disk(monkeypatch):
    """Let each write take a while."""
    write = os.write

    def slowly(fd, data):
        time.sleep(BUSY_DISK)
        return write(fd, data)

    monkeypatch.setattr(os, "write", slowly)


class TestFile:
    @pytest.fixture
    def path(self, tmp_path):
        return tmp_path / "vm.log"

    def test_busy_disk_does_not_hold_up_who_logs(self, path, slow_disk, monkeypatch):
        # Guards against requests that stand still while the disk is busy: a file takes
        # no notice of a descriptor that is not to block.
        with path.open("wb") as file:
            monkeypatch.setattr(sys, "stdout", file)
            lines = JsonLogHandler("vm-1")
            began = time.monotonic()
            with lines.applicationbound():
                for n in range(20):
                    log.info("line", extra={"n": n})
            assert time.monotonic() - began < BUSY_DISK / 2
            lines.close()
        read = [json.loads(line)["n"] for line in path.read_text().splitlines()]
        assert read == list(range(20))

    def test_what_is_too_much_is_left_out(self, path, slow_disk, monkeypatch):
        monkeypatch.setattr(line_writers, "KEPT", 100)
        with path.open("wb") as file:
            writer = line_writer(file.fileno())
            assert isinstance(writer, FileWriter)
            time.sleep(0.01)
            taken = [writer.write(b"x" * 40) for _ in range(9)]
            assert True in taken
            assert False in taken
            writer.close()
        assert path.stat().st_size == 40 * sum(taken)

    def test_signals_come_to_the_main_thread_alone(self, path):
        # Guards against a VM that stops and ends with the status of a crash: a signal
        # that the main thread blocks would come to the thread that writes.
        with path.open("wb") as file:
            writer = line_writer(file.fileno())
            writer.write(b"x")
            time.sleep(0.05)
            task = Path(f"/proc/self/task/{writer._thread.native_id}/status")
            fields = dict(
                line.split(":", 1) for line in task.read_text().splitlines() if line
            )
            writer.close()
        blocked = int(fields["SigBlk"], 16)
        assert all(blocked >> (number - 1) & 1 for number in STOP_SIGNALS)

    def test_full_disk_ends_nothing(self, path, monkeypatch):
        def fail(fd, data):
            raise OSError("no space left")

        with path.open("wb") as file:
            writer = line_writer(file.fileno())
            monkeypatch.setattr(os, "write", fail)
            assert writer.write(b"x")
            writer.close()


class TestPipe:
    def test_pipe_that_nobody_reads_holds_up_nobody(self):
        reader, fd = os.pipe()
        writer = line_writer(fd)
        assert isinstance(writer, PipeWriter)
        line = b"x" * 9999 + b"\n"
        taken = [writer.write(line) for _ in range(60)]
        assert taken[0]
        assert not taken[-1]
        os.close(reader)
        os.close(fd)

    def test_what_was_kept_is_written_when_there_is_room(self):
        reader, fd = os.pipe()
        writer = line_writer(fd)
        line = b"x" * 9999 + b"\n"
        for _ in range(10):
            writer.write(line)
        read = b""
        while len(read) < 10 * len(line):
            read += os.read(reader, 1 << 20)
            writer.close()
        assert read == 10 * line
        os.close(reader)
        os.close(fd)
