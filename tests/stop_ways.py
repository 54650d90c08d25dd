"""Requests that reach a VM in unusual ways, for tests of stops."""

from __future__ import annotations

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.protocols import CallerRequest
from berylstage_entry.relay_client import RELAY_PATH
from berylstage_entry.relay_messages import RelayOutcome, RelayReply, RelayRequest
from slow_caller import REQUEST_DEADLINE_MS, Caller, Request

MS_PER_SECOND = 1000


class RelayedRequest(Request):
    """A request that another VM relays to a target through the VM that stops."""

    def encode(self):
        prefix = "/o/" if self.method == "POST" else "/a/"
        headers = {"Host": "h.example", "Berylstage-Attempt-Id": self.id}
        req = CallerRequest(
            self.id,
            self.method,
            "h.example",
            f"{prefix}{self.size}/{self.pause_ms}",
            headers,
            REQUEST_DEADLINE_MS / MS_PER_SECOND,
            None,
        )
        kind = "orders" if self.method == "POST" else "lookups"
        message = RelayRequest("vm-0", "i-1", 1, kind, self.method == "GET", req)
        body = message.encode(req.time_left)
        head = (
            f"POST {RELAY_PATH} HTTP/1.1\r\nHost: vm\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    @property
    def reply(self):
        """Decoded reply of the VM, or None."""
        try:
            return RelayReply.decode(self.body)
        except InvalidRecord:
            return None

    @property
    def is_served(self):
        return (
            self.is_complete
            and self.reply is not None
            and self.reply.outcome is RelayOutcome.ANSWERED
            and self.reply.answer.body == self.expected_body()
        )

    def __repr__(self):
        outcome = self.reply and self.reply.outcome
        return f"<{super().__repr__()} {outcome}>"


async def connect_relaying_vm(environment, vm, link_mbps=None):
    """Return a connection over which another VM relays requests."""
    caller = Caller(vm.control_address, link_mbps)
    environment.add_caller(caller)
    await caller.connect()
    return caller
