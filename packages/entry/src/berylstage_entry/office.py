"""The duty of granting keys: which VM has it, and for how long it may act on it."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import Conflict, LeaseEnded, StoreError
from berylstage_entry.feed import DUTY_KEY, OWN_PREFIX
from berylstage_entry.store import Condition, Item, Write

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.feed import Feed
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store

# Key that counts the terms and names the last VM that had the duty. It stays.
TERM_KEY = OWN_PREFIX + "term"
# Path at which a VM is asked whether it has given the duty up.
STOP_PATH = "/duty/stop"
# Seconds of the lease. A duty that is lost with its VM is taken over within them, which
# is less than the time for which keys stay held without a renewal.
LEASE = 1.5
# Seconds between two renewals of the lease: three may fail before it ends.
KEEP = 0.4
# Seconds after the last confirmed renewal for which keys are still renewed. It bridges
# an outage of the store of 12 s; a new holder of the duty that cannot reach the former
# one waits as long before it moves keys from a target that doesn't answer.
PERMISSION = 15.0
# Seconds that VMs wait at random before they try to take the duty, so that they don't
# all try at once.
SCATTER = 0.1
# Seconds for a question to the former holder, and between two.
ASK_TIMEOUT = 0.4
OK = 200

log = Logger(__name__)


class _Term:
    """A term of the duty, as the store keeps it.

    Parameters
    ----------
    number : int
        Grows with each term.
    vm : str
    control : str
        Where the VM listens for others.
    unconfirmed : list of str
        Where former holders listen that may still give orders.
    """

    __slots__ = ("control", "number", "unconfirmed", "vm")

    def __init__(self, number: int, vm: str, control: str, unconfirmed: list[str]):
        self.number = number
        self.vm = vm
        self.control = control
        self.unconfirmed = unconfirmed

    def encode(self) -> bytes:
        """Return the bytes that the store keeps."""
        doc = {
            "term": self.number,
            "vm": self.vm,
            "control": self.control,
            "unconfirmed": self.unconfirmed,
        }
        return json.dumps(doc).encode()

    @classmethod
    def decode(cls, value: bytes | None) -> _Term:
        """Read what the store keeps; None is the time before the first term."""
        if value is None:
            return cls(0, "", "", [])
        doc = json.loads(value)
        return cls(doc["term"], doc["vm"], doc["control"], doc["unconfirmed"])


class Office:
    """Takes, keeps and gives up the duty of granting.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    feed : Feed
    rng : Random
    """

    def __init__(self, cfg: EntrySettings, store: Store, feed: Feed, rng: Random):
        self._cfg = cfg
        self._store = store
        self._feed = feed
        self._rng = rng
        self._lease = 0
        self._confirmed = float("-inf")
        self._duty_revision = 0
        self._task: asyncio.Task | None = None
        self._asking: asyncio.Task | None = None
        self._stopping = False
        self.term = 0
        # Whether the term before was this very process's own.
        self.follows_itself = False
        # Called with what a former holder of the duty hands on.
        self.inherit: Callable[[bytes], None] = lambda body: None
        # From when on no other VM gives orders, as far as is known.
        self.alone_from = float("inf")

    def start(self) -> None:
        """Begin to look after the duty."""
        self._task = asyncio.create_task(self._run())

    def holds(self) -> bool:
        """Tell whether this VM has the duty and may still give orders.

        To be asked right before each order, since this VM may have stood still since
        the last look at the clock.
        """
        return bool(self._lease) and now() < self._confirmed + PERMISSION

    def in_touch(self) -> bool:
        """Tell whether this VM has the duty for certain, so that it may change keys."""
        return self.holds() and now() < self._confirmed + LEASE

    def condition(self) -> Condition:
        """Return the condition under which this VM may write assignments."""
        return Condition(DUTY_KEY, self._duty_revision)

    def holder_address(self) -> str:
        """Return where the VM with the duty listens for others; empty when unknown."""
        item = self._feed.own.get(DUTY_KEY)
        if item is None or item.value is None:
            return ""
        return json.loads(item.value)["control"]

    def stop_orders(self) -> bool:
        """Give up the duty at another VM's question; tell whether it is given up."""
        if self.in_touch():
            return False
        self._step_down("asked")
        return True

    async def resign(self) -> None:
        """Give the duty up so that another VM takes it at once."""
        self._stopping = True
        if self._task is not None:
            self._task.cancel()
        lease, revision = self._lease, self._duty_revision
        self._step_down("stopping")
        if not lease:
            return
        try:
            await self._store.write([Condition(DUTY_KEY, revision)], [], [DUTY_KEY])
            await self._store.end_lease(lease)
        except StoreError as exc:
            log.warning(
                "duty not given back; its lease ends", extra={"cause": str(exc)}
            )

    async def _run(self) -> None:
        while not self._stopping:
            try:
                if self._lease:
                    await asyncio.sleep(KEEP)
                    await self._keep()
                elif self._is_vacant():
                    await asyncio.sleep(self._rng.uniform(0, SCATTER))
                    await self._take()
                else:
                    await asyncio.sleep(0.05)
            except StoreError as exc:
                log.info("duty: the store did not answer", extra={"cause": str(exc)})
                await asyncio.sleep(0.2)

    def _is_vacant(self) -> bool:
        item = self._feed.own.get(DUTY_KEY)
        vacant = item is None or item.value is None
        return vacant and self._feed.complete and not self._feed.in_outage()

    async def _keep(self) -> None:
        item = self._feed.own.get(DUTY_KEY)
        if item is not None and item.revision > self._duty_revision:
            self._step_down("another VM has it")
            return
        sent = now()
        try:
            await self._store.keep_lease(self._lease)
            self._confirmed = sent
        except LeaseEnded:
            self._step_down("lease ended")
        except StoreError:
            if now() > self._confirmed + PERMISSION:
                self._step_down("store away for too long")
            raise

    async def _take(self) -> None:
        if not self._is_vacant():
            return
        sent = now()
        lease = await self._store.take_lease(max(LEASE, self._cfg.shortest_lease))
        old = self._feed.own.get(TERM_KEY)
        before = _Term.decode(old.value if old else None)
        # Holders before the last one count too until they are known to have stopped:
        # one that is cut off from the store goes on renewing what it knows.
        to_ask = sorted({*before.unconfirmed, before.control} - {""})
        mine = _Term(before.number + 1, self._cfg.vm, self._cfg.control, to_ask)
        conditions = [
            Condition(DUTY_KEY, 0),
            Condition(TERM_KEY, old.revision if old else 0),
        ]
        value = mine.encode()
        writes = [Write(DUTY_KEY, value, lease), Write(TERM_KEY, value)]
        try:
            revision = await self._store.write(conditions, writes)
        except (Conflict, LeaseEnded):
            await asyncio.sleep(0.1)
            return
        self.follows_itself = self.term == before.number and self.term > 0
        self._lease, self._confirmed, self._duty_revision = lease, sent, revision
        self.term = mine.number
        self._feed.take_written(Item(DUTY_KEY, value, revision))
        self._feed.take_written(Item(TERM_KEY, value, revision))
        to_ask = [address for address in to_ask if address != self._cfg.control]
        self.alone_from = now() + PERMISSION if to_ask else now()
        log.info(
            "duty taken",
            extra={"term": self.term, "former": to_ask, "revision": revision},
        )
        if to_ask:
            self._asking = asyncio.create_task(self._ask_all(to_ask, mine))
        elif mine.unconfirmed:
            self._asking = asyncio.create_task(self._confirm(mine))

    async def _ask_all(self, addresses: list[str], mine: _Term) -> None:
        """Ask former holders to stop, so that lost targets need no long wait."""
        answers = await asyncio.gather(*(self._ask(a, mine) for a in addresses))
        if all(answers):
            self.alone_from = min(self.alone_from, now())
        else:
            await asyncio.sleep(max(0.0, self.alone_from - now()))
        await self._confirm(mine)

    async def _confirm(self, mine: _Term) -> None:
        """Write that no former holder gives orders any more."""
        mine.unconfirmed = []
        while self._lease and self.term == mine.number:
            try:
                item = self._feed.own[TERM_KEY]
                conditions = [self.condition(), Condition(TERM_KEY, item.revision)]
                await self._store.write(conditions, [Write(TERM_KEY, mine.encode())])
                return
            except Conflict:
                # Its answer may have been lost, or this VM has the duty no more.
                return
            except StoreError as exc:
                log.info("end of former terms not written", extra={"cause": str(exc)})
                await asyncio.sleep(ASK_TIMEOUT)

    async def _ask(self, former: str, mine: _Term) -> bool:
        """Ask one former holder until it has stopped; False when it stays silent."""
        client = CallClient(1)
        try:
            while self._lease and self.term == mine.number and now() < self.alone_from:
                url = f"http://{former}{STOP_PATH}"
                call = Call("POST", url, {}, b"{}", ASK_TIMEOUT)
                try:
                    answer = await client.call(call)
                    if answer.status == OK:
                        log.info("former holder has stopped", extra={"former": former})
                        self.inherit(answer.body)
                        return True
                except CallFailed as exc:
                    log.debug("former holder silent", extra={"cause": str(exc)})
                await asyncio.sleep(ASK_TIMEOUT)
            return False
        finally:
            client.close()

    def _step_down(self, why: str) -> None:
        if self._lease:
            log.info("duty given up", extra={"why": why, "term": self.term})
        self._lease = 0
        self.alone_from = float("inf")
