"""The command line of ``berylstaged``."""

from __future__ import annotations

import asyncio
import os
import sys

from berylstage_settings.errors import FaultySettings
from cleo.application import Application as Console
from cleo.commands.command import Command
from cleo.helpers import option

from berylstage_daemon.application import Application
from berylstage_daemon.config import SETTINGS, Settings, read_settings

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


class RunCommand(Command):
    """Runs the daemon until SIGTERM or SIGINT."""

    name = "run"
    description = "Run the daemon until SIGTERM"
    options = [
        option(s.name, None, f"{s.meaning} [{s.variable}]", flag=False)
        for s in SETTINGS
    ] + [option("check-settings", None, "check the settings and do nothing else")]

    def handle(self) -> int:
        """Check the settings and run."""
        try:
            cfg = self._settings()
        except FaultySettings as group:
            for exc in group.faults:
                self.line_error(str(exc))
            return EXIT_BAD_SETTINGS
        if self.option("check-settings"):
            self.line("the settings can be used")
            return EXIT_OK
        return asyncio.run(_run(cfg))

    def _settings(self) -> Settings:
        """Return the settings from flags and environment."""
        flags = {s.name: self.option(s.name) for s in SETTINGS}
        return read_settings(flags, os.environ)


async def _run(cfg: Settings) -> int:
    """Run the application, built inside the event loop that its clients belong to."""
    return await Application(cfg).run()


def main() -> int:
    """Run the command line and return its exit status."""
    console = Console("berylstaged", "0.1.0")
    console.add(RunCommand())
    # The daemon does one thing, so `berylstaged --vm ...` runs it without a word.
    if len(sys.argv) < 2 or sys.argv[1].startswith("--"):
        sys.argv.insert(1, "run")
    return console.run()
