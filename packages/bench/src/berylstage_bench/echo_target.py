"""A target that answers at once, so that a measurement shows the sender's own cost."""

from __future__ import annotations

import asyncio
import re
import sys

_REQUEST_ID = re.compile(rb"Request-Id: (\S+)")
_LENGTH = re.compile(rb"Content-Length: (\d+)")
_BODY = b"{}"


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = _LENGTH.search(head)
            if length:
                await reader.readexactly(int(length[1]))
            found = _REQUEST_ID.search(head)
            writer.write(_answer(found[1] if found else b""))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def _answer(request_id: bytes) -> bytes:
    """Return the answer to a request for work."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"Request-Id: " + request_id,
        b"Incarnation: echo",
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(_BODY),
    ]
    return b"\r\n".join([*lines, b"", _BODY])


async def _run() -> None:
    server = await asyncio.start_server(_serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    print(f"listening on 127.0.0.1:{port}", flush=True)
    await server.serve_forever()


def main() -> int:
    """Answer until the process is stopped."""
    asyncio.run(_run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
