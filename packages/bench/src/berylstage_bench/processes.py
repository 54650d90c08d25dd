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

from berylstage_sheet.reader import read_sheet
from berylstage_sheet.writer import write_sheet

from berylstage_bench.ports import HOST, VARIABLE, Ports, default_base

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_sheet.configuration import Configuration, Target, Vm

ROOT = Path(__file__).resolve().parents[4]
RUN_FOLDER = ROOT / "run"
START_LIMIT = 20.0
STOP_LIMIT = 40.0
POLL = 0.05


class InstallationError(Exception):
    """A process did not come up or did not stop; its log names the cause."""


class VmAddress:
    """Where one VM listens."""

    __slots__ = ("name", "data_centre", "http", "peer")

    def __init__(self, vm: Vm, number: int, ports: Ports):
        self.name = vm.name
        self.data_centre = vm.data_centre
        self.http = f"{HOST}:{ports.http(number)}"
        self.peer = f"{HOST}:{ports.peer(number)}"


class Installation:
    """The platform, the targets and the VMs of one sheet, as separate processes.

    Parameters
    ----------
    cfg : Configuration
        Names the targets and the VMs; the targets get addresses of this machine.
    folder : Path
        For logs, ledgers and the sheet.
    target_options : list of str
        Further options of each target stand-in.
    vm_options : list of str
        Further options of each daemon.
    platform_options : list of str
        Further options of the platform's stand-in.
    ports : Ports or None
        None takes those of this checkout.

    Attributes
    ----------
    profiles : dict of str to Path
        VMs that run under cProfile, with the files for their profiles.
    """

    def __init__(
        self,
        cfg: Configuration,
        folder: Path,
        target_options: list[str] | None = None,
        vm_options: list[str] | None = None,
        platform_options: list[str] | None = None,
        ports: Ports | None = None,
    ):
        self._ports = ports or Ports(default_base(ROOT))
        self._ports.place_targets(cfg)
        self.cfg = cfg
        self.folder = folder
        self.platform = f"{HOST}:{self._ports.platform}"
        self.vms = {
            vm.name: VmAddress(vm, number, self._ports)
            for number, vm in enumerate(sorted(cfg.vms.values(), key=_name))
        }
        self.profiles: dict[str, Path] = {}
        self._platform_options = platform_options or []
        self._target_options = target_options or []
        self._vm_options = vm_options or []
        self._processes: dict[str, subprocess.Popen] = {}

    @property
    def sheet(self) -> Path:
        """Path of the sheet with the addresses of this installation."""
        return self.folder / "sheet.csv"

    def start(self) -> None:
        """Start everything, in a folder without logs and ledgers of earlier runs.

        Raises
        ------
        InstallationError
        """
        self._prepare_folder()
        self._spawn_platform()
        for target in self.cfg.targets.values():
            self._spawn_target(target)
        self._await_listening(["platform", *self.cfg.targets])
        for name in self.vms:
            self._spawn_vm(name)
        for name in self.vms:
            self._await_live(name)

    def start_platform(self) -> None:
        """Start the platform's stand-in, with nothing in it."""
        self._spawn_platform()
        self._await_listening(["platform"])

    def start_target(self, name: str) -> None:
        """Start the stand-in of one target; it goes on with its ledger.

        Parameters
        ----------
        name : str
        """
        self._spawn_target(self.cfg.targets[name])
        self._await_listening([name])

    def start_vm(self, name: str) -> None:
        """Start one daemon and list it at the platform.

        Parameters
        ----------
        name : str
        """
        self._spawn_vm(name)
        self._await_live(name)

    def pid(self, name: str) -> int:
        """Return the process id of a target, a VM or ``platform``."""
        return self._processes[name].pid

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

    def _prepare_folder(self) -> None:
        """Remove what earlier runs left and write the sheet."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in ("*.log", "*.ledger", "*.csv"):
            for path in self.folder.glob(pattern):
                path.unlink()
        self.sheet.write_text(write_sheet(self.cfg), newline="")

    def _spawn_platform(self) -> None:
        command = [sys.executable, "-m", "berylstage_standins.platform"]
        command += ["--port", str(self._ports.platform), *self._platform_options]
        self._spawn("platform", command, pipe=True)

    def _spawn_target(self, target: Target) -> None:
        port = target.address.rpartition(":")[2]
        fences = "--checks-fences" if target.checks_fences else "--no-checks-fences"
        command = [sys.executable, "-m", "berylstage_standins.target"]
        command += ["--name", target.name, "--slots", str(target.slots)]
        command += ["--data-centre", target.data_centre, "--port", port]
        command += ["--connections", str(target.connections), fences]
        command += ["--ledger", str(self.ledger(target.name)), *self._target_options]
        self._spawn(target.name, command, pipe=True)

    def _spawn_vm(self, name: str) -> None:
        vm = self.vms[name]
        command = [str(Path(sys.executable).parent / "berylstaged")]
        if name in self.profiles:
            profile = ["-m", "cProfile", "-o", str(self.profiles[name])]
            command = [sys.executable, *profile, *command]
        command += ["--vm", name, "--data-centre", vm.data_centre]
        command += ["--http", vm.http, "--peer", vm.peer]
        command += ["--platform", self.platform, *self._vm_options]
        self._spawn(name, command)
        self._list_vm(vm)

    def _await_live(self, name: str) -> None:
        self._await_answer(name, f"http://{self.vms[name].http}/-/live")

    def _await_listening(self, names: Iterable[str]) -> None:
        """Wait until stand-ins say that they listen."""
        for name in names:
            process = self._processes[name]
            assert process.stdout is not None
            if not process.stdout.readline():
                raise InstallationError(
                    f"{name} did not start; read {self.folder / name}.log, and set "
                    f"{VARIABLE} if another process has its port"
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


def read_example(name: str) -> Configuration:
    """Return the configuration of a sheet in ``examples/``.

    Parameters
    ----------
    name : str
        Such as ``demo``.

    Returns
    -------
    Configuration
    """
    return read_sheet((ROOT / "examples" / f"{name}.csv").read_bytes()).cfg
