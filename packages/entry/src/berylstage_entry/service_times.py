"""How fast the targets of a service are, put together from what all VMs have seen."""

from __future__ import annotations

# Seconds of work of one request while nobody has told better.
FIRST_SERVICE_TIME = 0.1
# Weight of one VM's word in what is known of the speed of targets. Ten words come in a
# second, so that a second of them outweighs what was known before.
SPEED_GAIN = 0.1


class TargetServiceTimes:
    """Mean service time, and how slow each target is over the typical one."""

    __slots__ = ("_mean", "_slowness")

    def __init__(self) -> None:
        self._mean = FIRST_SERVICE_TIME
        self._slowness: dict[str, float] = {}

    def told(self, mean: float, slowness: dict[str, float]) -> None:
        """Take in what one VM has seen.

        Parameters
        ----------
        mean : float
            Seconds that a request takes; 0 when unknown.
        slowness : dict of str to float
            How slow each target is, over the typical one.
        """
        if mean:
            self._mean += SPEED_GAIN * (mean - self._mean)
        for target, value in slowness.items():
            old = self._slowness.get(target, 1.0)
            self._slowness[target] = old + SPEED_GAIN * (value - old)

    def seconds(self, target: str) -> float:
        """Return the seconds that a request takes at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        float
        """
        return self._mean * self._slowness.get(target, 1.0)
