"""Crowds of callers that ignore the limits, at one VM process with low limits."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from pathlib import Path

from stop_environment import CONFIGURATION, StopEnvironment, StoppingVm

MEMORY_MB = 100
MAX_FDS = 400
KIB_BYTES = 1024
# Bytes of one write of a caller.
WRITE_BYTES = 64 * KIB_BYTES
# Seconds after which a caller that can neither send nor read gives up. It bounds the
# test alone; no check depends on it.
STUCK_SECONDS = 5.0
# Seconds within which a connection must end that the VM has to end by itself.
GUARD_SECONDS = 20.0
# Pause between two bytes of a caller that sends slowly.
TRICKLE_SECONDS = 0.2
OK = 200

HEAD = b"Host: h.example\r\nBerylstage-Attempt-Id: %d\r\n"
LINE = b"a:\r\n"


class SmallVm(StoppingVm):
    """A VM with little memory."""

    extra_settings = (f"limits.memory_mb={MEMORY_MB}", "limits.max_fds=4100")


class FewSocketsVm(StoppingVm):
    """A VM whose settings allow few descriptors."""

    extra_settings = (f"limits.max_fds={MAX_FDS}",)


class FewDescriptorsVm(StoppingVm):
    """A VM whose kernel allows fewer descriptors than its settings."""

    launcher = ("tests/few_descriptors.py", str(MAX_FDS))
    extra_settings = ("limits.max_fds=4100",)


class CrowdCaller:
    """A connection that sends bytes and ignores what is asked of it.

    Attributes
    ----------
    sent : int
        Bytes that were sent.
    answer : bytes
    is_ended : bool
        Whether the VM has closed or reset the connection.
    """

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None
        self.sent = 0
        self.answer = b""
        self.is_ended = False

    async def connect(self):
        try:
            self._reader, self._writer = await asyncio.open_connection(*self._address)
        except OSError:
            self.is_ended = True

    async def send(self, data):
        """Send bytes until the VM takes no more or ends the connection."""
        for start in range(0, len(data), WRITE_BYTES):
            if self.is_ended:
                return
            block = data[start : start + WRITE_BYTES]
            try:
                self._writer.write(block)
                async with asyncio.timeout(STUCK_SECONDS):
                    await self._writer.drain()
            except TimeoutError:
                return
            except OSError:
                self.is_ended = True
                return
            self.sent += len(block)

    async def trickle(self, data):
        """Send bytes one by one, with pauses."""
        for byte in data:
            await self.send(bytes([byte]))
            await asyncio.sleep(TRICKLE_SECONDS)

    async def read_to_end(self, seconds=GUARD_SECONDS):
        """Read until the VM ends the connection."""
        if self.is_ended:
            return
        try:
            async with asyncio.timeout(seconds):
                while data := await self._reader.read(WRITE_BYTES):
                    self.answer += data
            self.is_ended = True
        except TimeoutError:
            return
        except OSError:
            self.is_ended = True

    async def read_answer(self, seconds=GUARD_SECONDS):
        """Read the head of one answer."""
        if self._reader is None:
            return
        with suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(seconds):
                self.answer += await self._reader.readuntil(b"\r\n\r\n")

    @property
    def status(self):
        """Status of the first answer; 0 without one."""
        found = re.match(rb"HTTP/1\.1 (\d{3})", self.answer)
        return int(found[1]) if found else 0

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()


def with_limits(**limits):
    """Return the usual configuration with other limits."""
    return {**CONFIGURATION, "limits": {**CONFIGURATION["limits"], **limits}}


class CrowdEnvironment(StopEnvironment):
    """Context manager that starts a store, two targets and one VM."""

    def __init__(self, folder, vm_class=SmallVm, configuration=CONFIGURATION):
        super().__init__(folder, vm_class=vm_class)
        self.configuration = configuration
        self._last_id = 0

    @property
    def vm(self):
        return self.vms[0]

    async def connect_crowd(self, number):
        crowd = [CrowdCaller(self.vm.front_address) for _ in range(number)]
        for caller in crowd:
            self.add_caller(caller)
        await asyncio.gather(*(caller.connect() for caller in crowd))
        return crowd

    def request(self, request_line, lines=b""):
        """Return the start of a request, without the empty line."""
        self._last_id += 1
        return request_line + b" HTTP/1.1\r\n" + HEAD % self._last_id + lines

    async def send_ordinary_request(self):
        """Send one request on a new connection, and return its status."""
        caller = CrowdCaller(self.vm.front_address)
        self.add_caller(caller)
        await caller.connect()
        lines = b"Berylstage-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n"
        await caller.send(self.request(b"POST /o/2/0", lines))
        await caller.read_answer()
        return caller.status

    @property
    def is_alive(self):
        return self.vm.process.poll() is None

    def memory_mb(self):
        """Return the highest resident memory of the VM process in MB."""
        status = Path(f"/proc/{self.vm.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) * KIB_BYTES / 1e6

    def count_descriptors(self):
        """Return the open descriptors of the VM process."""
        return len(list(Path(f"/proc/{self.vm.process.pid}/fd").iterdir()))

    def log_bytes(self):
        """Return the size of the VM's log."""
        return Path(self.vm.log.name).stat().st_size
