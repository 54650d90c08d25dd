"""Service times of a service's targets, combined from the reports of all VMs."""

from __future__ import annotations

# Assumed service time of a request until a VM has reported one.
INITIAL_SERVICE_SECONDS = 0.1
# Weight of one report in the moving average of service times. Ten reports arrive per
# second, so that those of one second outweigh all earlier ones.
SPEED_GAIN = 0.1


class TargetServiceTimes:
    """Mean service time, and the ratio of each target's to the typical one."""

    __slots__ = ("_mean", "_slowness")

    def __init__(self) -> None:
        self._mean = INITIAL_SERVICE_SECONDS
        self._slowness: dict[str, float] = {}

    def observe(self, mean: float, service_time_ratio: dict[str, float]) -> None:
        """Add one VM's report.

        Parameters
        ----------
        mean : float
            Mean service time in seconds; 0 if unknown.
        service_time_ratio : dict of str to float
            Service time of each target over the typical one.
        """
        if mean:
            self._mean += SPEED_GAIN * (mean - self._mean)
        for target, value in service_time_ratio.items():
            old = self._slowness.get(target, 1.0)
            self._slowness[target] = old + SPEED_GAIN * (value - old)

    def set_initial_ratio(self, target: str, ratio: float) -> None:
        """Set the ratio of a target of which no VM has reported one.

        Parameters
        ----------
        target : str
        ratio : float
            Service time over the typical one, from the speed of its machine.
        """
        self._slowness.setdefault(target, ratio)

    def expected_seconds(self, target: str) -> float:
        """Return the expected service time of a request at a target, in seconds.

        Parameters
        ----------
        target : str

        Returns
        -------
        float
        """
        return self._mean * self._slowness.get(target, 1.0)
