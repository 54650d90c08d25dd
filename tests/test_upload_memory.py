"""Tests of a VM process of 160 MB beside many uploads at once."""

from __future__ import annotations

import asyncio

from upload_load import OK, UNAVAILABLE, UploadEnvironment

UPLOADS = 400
# Highest memory of the process, in MB. The VM is killed above 160 MB.
MAX_MEMORY_MB = 120
MIN_SMALL_SERVED = 0.95


class TestUploads:
    def test_400_uploads_neither_end_the_process_nor_stop_small_requests(
        self, tmp_path
    ):
        # Half of the callers do not read. The process reached 185 MB before its memory
        # was limited, and 225 MB with a third of a processor.
        async def scenario():
            async with UploadEnvironment(tmp_path) as environment:
                uploads, small = await environment.play(UPLOADS)
                assert environment.memory_mb() < MAX_MEMORY_MB
                first = [outcome.statuses[0] for outcome in small]
                assert first.count(OK) / len(first) >= MIN_SMALL_SERVED
                # A refused upload has not run, and none has run twice.
                ran = environment.ran
                assert len(ran) == len(set(ran))
                refused = {
                    f"u{number}-{attempt}"
                    for number, outcome in enumerate(uploads)
                    for attempt, status in enumerate(outcome.statuses)
                    if status == UNAVAILABLE
                }
                assert refused
                assert not refused & set(ran)
                statuses = {status for x in uploads for status in x.statuses}
                assert statuses <= {0, OK, UNAVAILABLE}

        asyncio.run(scenario())
