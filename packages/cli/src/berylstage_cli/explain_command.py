"""The command that tells the story of one request from log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import argument

from berylstage_cli.command import JSON_OPTION
from berylstage_cli.errors import NoLineOfRequest
from berylstage_cli.log_command import LOGS_ARGUMENT, LogCommand
from berylstage_cli.reports import Report
from berylstage_cli.story import tell

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_cli.story import Story


class StoryReport(Report):
    """The story of one request."""

    def __init__(self, request: str, story: Story):
        self._request = request
        self._story = story

    def lines(self) -> Iterator[str]:
        """Yield the lines in order, then how the request ended."""
        yield from map(str, self._story.lines)
        yield ""
        yield from self._story.conclusions
        if self._story.unreadable:
            yield f"{self._story.unreadable} lines of the input are no log lines"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return {
            "id": self._request,
            "lines": [
                {
                    "time": line.time.isoformat(),
                    "vm": line.vm,
                    "message": line.message,
                    **line.fields,
                }
                for line in self._story.lines
            ],
            "conclusions": self._story.conclusions,
            "unreadable": self._story.unreadable,
        }


class ExplainCommand(LogCommand):
    """Tells what became of a request, and why."""

    name = "explain"
    description = "Tell from log lines what became of a request, and why"
    arguments = [
        argument("id", "the request's id, as its caller knows it"),
        LOGS_ARGUMENT,
    ]
    options = [JSON_OPTION]

    def report(self) -> Report:
        """Read the lines and pick those that belong together."""
        request = self.argument("id")
        story = self.read(lambda texts: tell(request, texts))
        if not story.lines:
            raise NoLineOfRequest(request, story.unreadable)
        return StoryReport(request, story)
