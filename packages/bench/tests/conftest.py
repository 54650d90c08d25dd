"""Runs trials of real processes."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_bench.processes import RUN_FOLDER
from berylstage_bench.trial import Trial

# Seconds after which a trial counts as hung.
TRIAL_LIMIT = 120.0


@pytest.fixture
def trial(request):
    """Return a function that runs a scenario in a trial and judges its ledgers.

    The scenario gets the trial under load; whatever it does, what must always hold
    is checked at the end. Logs and ledgers stay in ``run/`` until the next run.
    """
    folder = RUN_FOLDER / request.node.name

    def run(scenario, **options):
        async def play():
            played = Trial(folder, **options)
            try:
                await played.start()
                await scenario(played)
                verdict = await played.finish()
            finally:
                played.installation.stop()
            assert verdict.holds, "\n".join(verdict.lines())
            return verdict

        return asyncio.run(asyncio.wait_for(play(), TRIAL_LIMIT))

    return run
