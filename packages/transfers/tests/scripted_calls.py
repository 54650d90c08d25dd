"""Calls to a server that sends the answers given by a test."""

from __future__ import annotations

import asyncio

from berylstage_transfers.call import Call

# Marks the end of the connection after an answer.
CLOSE = b"<close>"
# Complete answer to request 1.
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nbody"


def run(scenario):
    """Run a test's coroutine to completion."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


def make_call(script, echo="1", timeout=10.0, fresh=False, body=b""):
    """Return a call to the scripted server."""
    headers = {"Request-Id": echo}
    url = script.base + "/work"
    return Call("POST", url, headers, body, timeout, echo=echo, fresh=fresh)
