"""Calls to a server that sends the answers given by a test."""

from __future__ import annotations

import asyncio
import re
from itertools import count

from berylstage_transfers.call import Call

# Marks the end of the connection after an answer.
CLOSE = b"<close>"
# Complete answer; the server replaces the id 1 with that of the request.
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nbody"


def run(scenario):
    """Run a test's coroutine to completion."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


# Numbers of the calls without an id of their own.
_numbers = count(1)


def answer_to(head, raw):
    """Return an answer to request 1 with the id of a request."""
    call_id = re.search(rb"Request-Id: (\S+)", head)[1]
    return re.sub(rb"(?i)(request-id: )1\r\n", rb"\g<1>%s\r\n" % call_id, raw)


def make_call(
    script, echo="", timeout=10.0, fresh=False, body=b"", path="/work", **options
):
    """Return a call to the scripted server, under a new id unless one is given."""
    echo = echo or f"call-{next(_numbers)}"
    headers = {"Request-Id": echo}
    url = script.base + path
    return Call("POST", url, headers, body, timeout, echo=echo, fresh=fresh, **options)
