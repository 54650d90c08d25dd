"""The newest configuration and assignment that this VM knows; neither ever falls."""

from __future__ import annotations

from berylstage_sheet.configuration import Configuration

from berylstage_ownership.assignment import Assignment


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
        if not raw or raw == self.configuration_raw:
            return False
        found = Configuration.from_json(raw)
        if found.revision <= self.configuration_revision:
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
        if not raw or raw == self.assignment_raw:
            return False
        found = Assignment.from_json(raw)
        if found.revision <= self.revision:
            return False
        self.assignment = found
        self.assignment_raw = raw
        return True
