"""Memory for the bodies of answers that are still arriving.

Answers the load of servers that send without end, as fast as the link allows. Such a
body ends at its own limit, but as many as there are calls may arrive at once, and a
process that is killed for its memory loses all its requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_transfers.call import Call

# Limit of the body of one answer.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Limit of all bodies that arrive at once, unless the process has less memory.
MAX_ARRIVING_BYTES = 64 * 1024 * 1024
# Parts of a body, beyond which they must have a mean size. Each part costs a callback,
# so a body in chunks of a few bytes takes seconds of the processor.
MAX_SMALL_PARTS = 4096
MIN_MEAN_PART_BYTES = 64


class AnswerMemory:
    """Buffers the bodies of answers within limits.

    If all bodies together exceed the limit, the largest of them is dropped, so that
    servers with small answers lose none.

    Parameters
    ----------
    capacity : int
        Bytes of all bodies together.
    """

    __slots__ = ("_arriving", "capacity", "used")

    def __init__(self, capacity: int = MAX_ARRIVING_BYTES):
        self.capacity = capacity
        self.used = 0
        self._arriving: set[Call] = set()

    def add(self, call: Call, chunk: bytes) -> bool:
        """Append a part to the body of a call's answer.

        Returns
        -------
        bool
            False if the answer is not received any more; ``call.rejection`` says why.
        """
        if call.rejection:
            return False
        size = len(call.answer_body) + len(chunk)
        call.body_parts += 1
        if size > min(call.max_answer_bytes, MAX_BODY_BYTES):
            self._reject(call, f"the answer's body exceeds {size - 1} bytes")
        elif (
            call.body_parts > MAX_SMALL_PARTS
            and size < call.body_parts * MIN_MEAN_PART_BYTES
        ):
            self._reject(call, "the answer's body arrives in too many small parts")
        else:
            call.answer_body += chunk
            self.used += len(chunk)
            self._arriving.add(call)
            self._drop_largest()
        return not call.rejection

    def release(self, call: Call) -> None:
        """Count the body of a call that has ended no more; the call keeps it."""
        if call in self._arriving:
            self._arriving.discard(call)
            self.used -= len(call.answer_body)

    def _drop_largest(self) -> None:
        while self.used > self.capacity:
            largest = max(self._arriving, key=lambda call: len(call.answer_body))
            self._reject(largest, "no memory is left for the answer's body")

    def _reject(self, call: Call, cause: str) -> None:
        self.release(call)
        call.rejection = cause
        call.answer_body = bytearray()
