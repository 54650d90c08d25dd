"""The newest configuration and assignment that this VM knows; neither ever falls."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from berylstage_sheet.configuration import Configuration

from berylstage_ownership.assignment import Assignment

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T", Configuration, Assignment)

# What a document of another release, or a broken one, makes the reader raise.
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, IndexError)


class Documents:
    """The two documents in force on this VM, with the bytes they came as.

    A document is taken in only as a whole, only from the store or from a VM that has
    it from there, and only when its revision is higher than the one in force. An old
    copy in a late reply therefore changes nothing.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.configuration_raw = b""
        self.assignment: Assignment | None = None
        self.assignment_raw = b""
        self._unreadable = b""
        self._reason = ""

    def take_unreadable(self) -> str:
        """Return why the document offered last cannot be read, once for each."""
        reason, self._reason = self._reason, ""
        return reason

    def _note_unreadable(self, raw: bytes, name: str, exc: Exception) -> None:
        """Keep why a document cannot be read."""
        if raw == self._unreadable:
            return
        self._unreadable = raw
        self._reason = (
            f"the {name} in the store cannot be read ({exc!r}); this VM stays at the "
            "one in force; export and apply the sheet again with the same release of "
            "the command line"
        )

    def _newer(
        self, raw: bytes, name: str, revision: int, read: Callable[[bytes], T]
    ) -> T | None:
        """Return a document that can be read and is newer than a revision."""
        if not raw:
            return None
        try:
            found = read(raw)
        except UNREADABLE as exc:
            self._note_unreadable(raw, name, exc)
            return None
        return found if found.revision > revision else None

    @property
    def configuration_revision(self) -> int:
        """Revision of the configuration in force; 0 when there is none."""
        return self.configuration.revision if self.configuration else 0

    @property
    def revision(self) -> int:
        """Revision of the assignment in force; 0 when there is none."""
        return self.assignment.revision if self.assignment else 0

    def take_configuration(self, raw: bytes) -> bool:
        """Put a configuration in force if it is newer.

        Parameters
        ----------
        raw : bytes
            The document as the store holds it; empty when it holds none.

        Returns
        -------
        bool
            Whether it is in force now and was not before.
        """
        if raw == self.configuration_raw:
            return False
        read = Configuration.from_json
        found = self._newer(raw, "configuration", self.configuration_revision, read)
        if found is None:
            return False
        self.configuration = found
        self.configuration_raw = raw
        return True

    def take_assignment(self, raw: bytes) -> bool:
        """Put an assignment in force if it is newer.

        Parameters
        ----------
        raw : bytes
            The document as the store holds it; empty when it holds none.

        Returns
        -------
        bool
            Whether it is in force now and was not before.
        """
        if raw == self.assignment_raw:
            return False
        read = Assignment.from_json
        found = self._newer(raw, "assignment", self.revision, read)
        if found is None:
            return False
        self.assignment = found
        self.assignment_raw = raw
        return True
