"""Starts and stops the processes of a small installation on this machine."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.error import URLError
from urllib.request import Request, urlopen

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration, Target, Vm

HOST = "127.0.0.1"
PLATFORM_PORT = 20900
HTTP_PORT = 20100
PEER_PORT = 20500
START_LIMIT = 20.0
STOP_LIMIT = 40.0
POLL = 0.05


class InstallationError(Exception):
    """A process did not come up or did not stop; its log names the cause."""


class VmAddress:
    """Where one VM listens."""

    __slots__ = ("name", "data_centre", "http", "peer")

    def __init__(self, vm: Vm, number: int):
        self.name = vm.name
        self.data_centre = vm.data_centre
        self.http = f"{HOST}:{HTTP_PORT + number}"
        self.peer = f"{HOST}:{PEER_PORT + number}"


class Installation:
    """The platform, the targets and the VMs of one sheet, as separate processes.

    Parameters
    ----------
    cfg : Configuration
        Names the targets, their addresses, and the VMs.
    folder : Path
        For logs and ledgers.
    target_options : list of str
        Further options of each target stand-in.
    vm_options : list of str
        Further options of each daemon.
    """

    def __init__(
        self,
        cfg: Configuration,
        folder: Path,
        target_options: list[str] | None = None,
        vm_options: list[str] | None = None,
    ):
        self.cfg = cfg
        self.folder = folder
        self.platform = f"{HOST}:{PLATFORM_PORT}"
        self.vms = {
            vm.name: VmAddress(vm, number)
            for number, vm in enumerate(sorted(cfg.vms.values(), key=_name))
        }
        self._target_options = target_options or []
        self._vm_options = vm_options or []
        self._processes: dict[str, subprocess.Popen] = {}

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        module = "berylstage_standins.platform"
        self._start("platform", [sys.executable, "-m", module, "--port"], PLATFORM_PORT)

    def start_target(self, target: Target) -> None:
        """Start the stand-in of one target; it goes on with its ledger.

        Parameters
        ----------
        target : Target
        """
        port = int(target.address.rpartition(":")[2])
        fences = "--checks-fences" if target.checks_fences else "--no-checks-fences"
        command = [sys.executable, "-m", "berylstage_standins.target"]
        command += ["--name", target.name, "--slots", str(target.slots)]
        command += ["--connections", str(target.connections), fences]
        command += ["--ledger", str(self.ledger(target.name)), *self._target_options]
        self._start(target.name, [*command, "--port"], port)

    def start_vm(self, name: str) -> None:
        """Start one daemon and list it at the platform.

        Parameters
        ----------
        name : str
        """
        vm = self.vms[name]
        command = [str(Path(sys.executable).parent / "berylstaged")]
        command += ["--vm", name, "--data-centre", vm.data_centre]
        command += ["--http", vm.http, "--peer", vm.peer]
        command += ["--platform", self.platform, *self._vm_options]
        self._spawn(name, command)
        self._list_vm(vm)
        self._await_answer(name, f"http://{vm.http}/-/live")

    def start(self) -> None:
        """Start everything."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.start_platform()
        for target in self.cfg.targets.values():
            self.start_target(target)
        for name in self.vms:
            self.start_vm(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process.

        Parameters
        ----------
        name : str
            Of a target or VM, or ``platform``.
        number : signal.Signals
        """
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait until it is gone."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def stop_gracefully(self, name: str) -> int:
        """Stop one process by SIGTERM and return its exit status."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(STOP_LIMIT)

    def stop(self) -> None:
        """Stop everything that still runs."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def ledger(self, target: str) -> Path:
        """Return the path of a target's ledger."""
        return self.folder / f"{target}.ledger"

    def operate(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command line.

        Parameters
        ----------
        *arguments : str

        Returns
        -------
        subprocess.CompletedProcess
        """
        command = str(Path(sys.executable).parent / "berylstage")
        env = {**os.environ, "BERYLSTAGE_PLATFORM": self.platform}
        return subprocess.run(
            [command, *arguments], env=env, capture_output=True, text=True
        )

    async def await_ready(self, limit: float = START_LIMIT) -> None:
        """Wait until every VM is ready.

        Parameters
        ----------
        limit : float
            Seconds.

        Raises
        ------
        InstallationError
        """
        end = time.monotonic() + limit
        for vm in self.vms.values():
            url = f"http://{vm.http}/-/ready"
            while not await asyncio.to_thread(_answers, url):
                if time.monotonic() > end:
                    raise InstallationError(
                        f"{vm.name} is not ready after {limit:g} s; read "
                        f"{self.folder / vm.name}.log"
                    )
                await asyncio.sleep(POLL)

    def _start(self, name: str, command: list[str], port: int) -> None:
        """Start a stand-in and wait until it says that it listens."""
        process = self._spawn(name, [*command, str(port)], pipe=True)
        assert process.stdout is not None
        if not process.stdout.readline():
            raise InstallationError(
                f"{name} did not start; read {self.folder / name}.log"
            )

    def _spawn(
        self, name: str, command: list[str], pipe: bool = False
    ) -> subprocess.Popen:
        """Start a process with its output in a log."""
        with (self.folder / f"{name}.log").open("ab") as out:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if pipe else out,
                stderr=out,
            )
        self._processes[name] = process
        return process

    def _await_answer(self, name: str, url: str) -> None:
        """Wait until a URL answers."""
        end = time.monotonic() + START_LIMIT
        while not _answers(url):
            if time.monotonic() > end or self._processes[name].poll() is not None:
                raise InstallationError(
                    f"{name} did not start; read {self.folder / name}.log"
                )
            time.sleep(POLL)

    def _list_vm(self, vm: VmAddress) -> None:
        """Put a VM on the platform's list, as the platform does by itself."""
        document = {
            "name": vm.name,
            "data_centre": vm.data_centre,
            "http_address": vm.http,
            "peer_address": vm.peer,
            "leaving": False,
        }
        put_json(f"http://{self.platform}/vms/{vm.name}", document, "PUT")


def put_json(url: str, document: dict, method: str = "POST") -> None:
    """Send a JSON document to a stand-in.

    Parameters
    ----------
    url : str
    document : dict
    method : str
    """
    body = json.dumps(document).encode()
    with urlopen(Request(url, body, method=method), timeout=5):
        pass


def _answers(url: str) -> bool:
    """Tell whether a URL answers with success."""
    try:
        with urlopen(url, timeout=1):
            return True
    except (URLError, OSError):
        return False


def _name(vm: Vm) -> str:
    return vm.name
