"""Tests of log output that never blocks the process."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

import pytest
from berylstage_entry import line_writers
from berylstage_entry.line_writers import (
    NonBlockingWriter,
    ThreadedWriter,
    create_line_writer,
)
from berylstage_entry.logs import JsonLogHandler
from berylstage_entry.shutdown import STOP_SIGNALS
from logbook import Logger

WRITE_SECONDS = 0.3
log = Logger("test")


@pytest.fixture
def slow_disk(monkeypatch):
    """Delay each write by `WRITE_SECONDS`."""
    write = os.write

    def write_slowly(fd, data):
        time.sleep(WRITE_SECONDS)
        return write(fd, data)

    monkeypatch.setattr(os, "write", write_slowly)


class TestFile:
    @pytest.fixture
    def path(self, tmp_path):
        return tmp_path / "vm.log"

    def test_slow_disk_does_not_block_the_caller(self, path, slow_disk, monkeypatch):
        # Guards against requests that stall while the disk is busy: writes to a regular
        # file block even if its descriptor is in non-blocking mode.
        with path.open("wb") as file:
            monkeypatch.setattr(sys, "stdout", file)
            lines = JsonLogHandler("vm-1")
            began = time.monotonic()
            with lines.applicationbound():
                for n in range(20):
                    log.info("line", extra={"n": n})
            assert time.monotonic() - began < WRITE_SECONDS / 2
            lines.close()
        read = [json.loads(line)["n"] for line in path.read_text().splitlines()]
        assert read == list(range(20))

    def test_lines_beyond_the_buffer_are_dropped(self, path, slow_disk, monkeypatch):
        monkeypatch.setattr(line_writers, "MAX_BUFFERED_BYTES", 100)
        with path.open("wb") as file:
            writer = create_line_writer(file.fileno())
            assert isinstance(writer, ThreadedWriter)
            time.sleep(0.01)
            accepted = [writer.write(b"x" * 40) for _ in range(9)]
            assert True in accepted
            assert False in accepted
            writer.close()
        assert path.stat().st_size == 40 * sum(accepted)

    def test_writer_thread_blocks_stop_signals(self, path):
        # Guards against a shutdown with the exit status of a crash: a signal that only
        # the main thread blocks would be delivered to the writer thread.
        with path.open("wb") as file:
            writer = create_line_writer(file.fileno())
            writer.write(b"x")
            time.sleep(0.05)
            task = Path(f"/proc/self/task/{writer._thread.native_id}/status")
            fields = dict(
                line.split(":", 1) for line in task.read_text().splitlines() if line
            )
            writer.close()
        blocked = int(fields["SigBlk"], 16)
        assert all(blocked >> (number - 1) & 1 for number in STOP_SIGNALS)

    def test_full_disk_raises_no_error(self, path, monkeypatch):
        def fail(fd, data):
            raise OSError("no space left")

        with path.open("wb") as file:
            writer = create_line_writer(file.fileno())
            monkeypatch.setattr(os, "write", fail)
            assert writer.write(b"x")
            writer.close()


class TestPipe:
    def test_full_pipe_does_not_block(self):
        reader, fd = os.pipe()
        writer = create_line_writer(fd)
        assert isinstance(writer, NonBlockingWriter)
        line = b"x" * 9999 + b"\n"
        accepted = [writer.write(line) for _ in range(60)]
        assert accepted[0]
        assert not accepted[-1]
        os.close(reader)
        os.close(fd)

    def test_buffered_lines_are_written_later(self):
        reader, fd = os.pipe()
        writer = create_line_writer(fd)
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
