"""The ports of one installation on this machine."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration

HOST = "127.0.0.1"
VARIABLE = "BERYLSTAGE_PORT_BASE"
# Ports below those that Linux gives to outgoing connections (from 32768): a port of
# that range may be taken by anybody's connection at the moment of listening.
LOWEST_BASE = 12000
BASE_STEP = 1500
BASES = 13

HTTP_OFFSET = 100
PEER_OFFSET = 500
TARGET_OFFSET = 1000


def default_base(checkout: Path) -> int:
    """Return the first port of a checkout, from the environment or its path.

    Two checkouts on one machine get different ports most of the time, so that the
    demo of one does not meet the processes of the other.

    Parameters
    ----------
    checkout : Path

    Returns
    -------
    int
    """
    given = os.environ.get(VARIABLE)
    if given:
        return int(given)
    return LOWEST_BASE + BASE_STEP * (crc32(str(checkout).encode()) % BASES)


class Ports:
    """Ports of the platform, the VMs and the targets.

    Parameters
    ----------
    base : int
        First of the ports; the next 1,500 belong to the installation.
    """

    __slots__ = ("base",)

    def __init__(self, base: int):
        self.base = base

    @property
    def platform(self) -> int:
        """Port of the platform."""
        return self.base

    def http(self, number: int) -> int:
        """Return a VM's port for callers."""
        return self.base + HTTP_OFFSET + number

    def peer(self, number: int) -> int:
        """Return a VM's port for other VMs."""
        return self.base + PEER_OFFSET + number

    def place_targets(self, cfg: Configuration) -> None:
        """Give the targets of a configuration addresses of this installation.

        Parameters
        ----------
        cfg : Configuration
            Changed in place.
        """
        for number, name in enumerate(sorted(cfg.targets), start=1):
            port = self.base + TARGET_OFFSET + number
            cfg.targets[name].address = f"{HOST}:{port}"
