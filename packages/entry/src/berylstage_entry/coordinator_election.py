"""The duty of granting keys: which VM has it, and for how long it may act on it.

A VM gives orders only while its lease in the store certainly runs. What keeps the keys
with their targets through an outage of the store are the holds that it gave before:
when it loses the store and most other VMs say that they have lost it too, it lets all
holds run for as long as targets take them. A VM that takes the duty over has to know
whether that may have been done, since it must wait for these holds to end before it
moves keys from a target that doesn't answer.
"""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING

from berylstage_policy.standby import wait_of
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import Conflict, LeaseExpired, StoreError, StoreUnavailable
from berylstage_entry.grant_expiry import HOLD, lapse_of, longest_hold
from berylstage_entry.store import Condition, Item, Write
from berylstage_entry.store_keys import DUTY_KEY, OWN_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.peers import PeerClient
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

# Key that counts the terms and names the last VM that had the duty. It stays.
TERM_KEY = OWN_PREFIX + "term"
# Path at which a VM is asked to hand on what it knows of the duty.
HAND_ON_PATH = "/duty/hand-on"
# Path at which a VM is asked whether it reaches the store, and for how long it has.
CONTACT_PATH = "/store/contact"
# Seconds of the lease. A duty that is lost with its VM is taken over within them, which
# is less than the time for which keys stay held without a renewal.
LEASE = 2.0
# Seconds between two looks whether the duty is vacant.
LOOK = 0.1
# Seconds between two renewals of the lease.
KEEP = 0.4
# Seconds for one renewal: ten times what the store takes when it is slow by a factor of
# ten; after a lost one there is time to ask the others and to prolong holds.
KEEP_TIMEOUT = 0.45
# Seconds of unbroken contact with the store that tell a VM that the store was well
# while the last lease ran out: the lease (2 s), up to 1.2 s until a VM that does not
# watch the duty's key reads that it is vacant, 0.1 s of scatter, 0.6 s in which a small
# VM leaves it to others, two calls to a store that is 60 times slower than usual
# (0.5 s), and the question itself (0.5 s). A VM that had lost the store when holds were
# prolonged must not count as steady by then.
STEADY = 5.5
# Seconds that VMs wait at random before they try to take the duty, so that they don't
# all try at once.
SCATTER = 0.1
# Seconds of a term before the duty is left to a better VM: those that are starting are
# known by then, and what the former holder ordered has lapsed.
SHORTEST_TERM = 5.0
# Seconds between two questions to a former holder, and how often it is asked.
ASK_AGAIN = 0.3
ASKED = 3

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
    settled : bool
        Whether nothing holds any more that was ordered in the terms before.
    """

    __slots__ = ("control", "number", "settled", "vm")

    def __init__(self, number: int, vm: str, control: str, settled: bool):
        self.number = number
        self.vm = vm
        self.control = control
        self.settled = settled

    def encode(self) -> bytes:
        """Return the bytes that the store keeps."""
        doc = {
            "term": self.number,
            "vm": self.vm,
            "control": self.control,
            "settled": self.settled,
        }
        return json.dumps(doc).encode()

    @classmethod
    def decode(cls, value: bytes | None) -> _Term:
        """Read what the store keeps; None is the time before the first term."""
        if value is None:
            return cls(0, "", "", True)
        doc = json.loads(value)
        return cls(doc["term"], doc["vm"], doc["control"], doc["settled"])


class CoordinatorElection:
    """Takes, keeps and gives up the duty of granting.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    feed : Feed
    peers : Peers
    rng : Random
    """

    def __init__(
        self,
        cfg: EntrySettings,
        store: Store,
        feed: StoreWatcher,
        peers: PeerClient,
        rng: Random,
    ):
        self._cfg = cfg
        self._store = store
        self._feed = feed
        self._peers = peers
        self._rng = rng
        self._lease = 0
        # The one that was taken last and not ended: the store may have bound the duty
        # to it without this VM's knowing.
        self._taken_lease = 0
        self._confirmed = float("-inf")
        self._duty_revision = 0
        self._task: asyncio.Task | None = None
        self._asking: asyncio.Task | None = None
        self._prolonging: asyncio.Task | None = None
        self._stopping = False
        # Set when the duty's key has changed, and while this VM has a lease on it.
        self._key_changed = asyncio.Event()
        self._leased = asyncio.Event()
        feed.listeners.append(self._heard)
        self.term = 0
        # Whether the term before was this very process's own.
        self.follows_itself = False
        # Called with what a former holder of the duty hands on; returns the seconds
        # after which nothing holds that it ordered, or None when it can't be read.
        self.inherit: Callable[[bytes], float | None] = lambda body: None
        # When nothing holds any more that other VMs ordered, as far as is known.
        self.others_lapse = float("inf")
        # When the term began.
        self._taken = float("-inf")
        # Returns where a VM listens that had better have the duty; empty for none.
        self.better: Callable[[], str] = lambda: ""
        # Whether holds are to outlast an outage of the store.
        self.prolongs = False

    def start(self) -> None:
        """Begin to look after the duty."""
        self._task = asyncio.create_task(self._run())

    def holds(self) -> bool:
        """Tell whether this VM has the duty and may still give orders.

        To be asked right before each order, since this VM may have stood still since
        the last look at the clock.
        """
        return bool(self._lease) and now() < self._confirmed + LEASE

    async def wait_for_lease(self) -> None:
        """Return when this VM has a lease on the duty, whether or not it may order."""
        await self._leased.wait()

    def hold(self) -> float:
        """Return the seconds for which a grant given now is to hold."""
        return longest_hold(self._cfg.bounds.longest_hold) if self.prolongs else HOLD

    def may_hand_on(self, body: bytes) -> bool:
        """Tell whether this very process had the duty in a term, and has it no more.

        A process that started anew under the address of the former holder knows nothing
        of its orders. An answer of it would say that nothing holds any more, and the
        keys of a silent target would get a second owner.

        Parameters
        ----------
        body : bytes
            Number of the term that is asked about.
        """
        return body == str(self.term).encode() and not self.holds()

    def condition(self) -> Condition:
        """Return the condition under which this VM may write assignments."""
        return Condition(DUTY_KEY, self._duty_revision)

    def holder_address(self) -> str:
        """Return where the VM with the duty listens for others; empty when unknown."""
        item = self._feed.own.get(DUTY_KEY)
        if item is None or item.value is None:
            return ""
        return json.loads(item.value)["control"]

    async def resign(self) -> None:
        """Give the duty up so that another VM takes it at once."""
        self._stopping = True
        if self._task is not None:
            self._task.cancel()
        await self._give_back("stopping")

    async def _give_back(self, cause: str) -> None:
        has_duty, revision = bool(self._lease), self._duty_revision
        self._step_down(cause)
        if not self._taken_lease:
            return
        try:
            if has_duty:
                conditions = [Condition(DUTY_KEY, revision)]
                await self._store.write(conditions, [], [DUTY_KEY])
            await self._store.end_lease(self._taken_lease)
        except LeaseExpired:
            log.debug("the lease of the duty has ended already")
        except StoreError as exc:
            log.warning(
                "duty not given back; its lease ends", extra={"cause": str(exc)}
            )
            return
        self._taken_lease = 0

    async def _run(self) -> None:
        while not self._stopping:
            try:
                if self._lease:
                    await asyncio.sleep(KEEP)
                    await self._keep()
                elif self._is_vacant():
                    wait = self._rng.uniform(0, SCATTER) + wait_of(self._cfg.power)
                    await asyncio.sleep(wait)
                    await self._take()
                else:
                    await self._wait_for_vacancy()
            except StoreError as exc:
                log.info("duty: the store did not answer", extra={"cause": str(exc)})
                await asyncio.sleep(0.2)

    async def _wait_for_vacancy(self) -> None:
        """Return when another look at the duty is worth while.

        Hundreds of VMs look after a duty that one of them has. As long as its key says
        so, only a change of the key wakes them.
        """
        if self.holder_address():
            self._key_changed.clear()
            await self._key_changed.wait()
        else:
            # Vacant, and the store does not answer this VM.
            await asyncio.sleep(LOOK)

    def _heard(self, what: str) -> None:
        if what in (DUTY_KEY, "read"):
            self._key_changed.set()

    def _is_vacant(self) -> bool:
        item = self._feed.own.get(DUTY_KEY)
        vacant = item is None or item.value is None
        # No longer than until the store answers again: prolonged holds may end 1.3 s
        # after its return, and with 3 s more no key had an owner in between.
        return vacant and self._feed.is_in_touch()

    async def _keep(self) -> None:
        item = self._feed.own.get(DUTY_KEY)
        if item is not None and item.revision > self._duty_revision:
            self._step_down("another VM has it")
            return
        sent = now()
        try:
            async with asyncio.timeout(KEEP_TIMEOUT):
                await self._store.keep_lease(self._lease)
            self._confirmed = sent
            self.prolongs = False
            await self._leave_to_better()
        except LeaseExpired:
            self._step_down("lease ended")
        except (StoreError, TimeoutError) as exc:
            if self._prolonging is None or self._prolonging.done():
                self._prolonging = asyncio.create_task(self._prolong())
            raise StoreUnavailable(f"lease not renewed: {exc}") from exc

    async def _leave_to_better(self) -> None:
        """Give the duty up when a VM with much more room for it lives.

        A small VM may have taken it while the larger ones were away or starting. Its
        orders come late when requests crowd it, targets count as silent for that, and
        moving their keys is more work still.
        """
        address = self.better()
        if not address or now() - self._taken < SHORTEST_TERM:
            return
        # Its record outlives it by the length of its lease.
        answer = await self._peers.ask(address, CONTACT_PATH)
        if answer is None or float(answer) <= 0:
            return
        await self._give_back("a VM with more room for it is there")
        await asyncio.sleep(LEASE)

    async def _prolong(self) -> None:
        """Let holds outlast the store's outage, if it is one and not just this VM's."""
        if self.prolongs or not self.holds():
            return
        answers = await self._peers.ask_all(CONTACT_PATH)
        told = [answer for answer in answers if answer is not None]
        lost = [answer for answer in told if float(answer) <= 0]
        # Half of all VMs must have lost the store, and nobody may reach it: then no VM
        # that takes the duty over finds half of them with unbroken contact.
        if 2 * len(lost) >= len(answers) and len(lost) == len(told) and self.holds():
            self.prolongs = True
        log.info(
            "store lost by the holder of the duty",
            extra={
                "prolongs": self.prolongs,
                "asked": len(answers),
                "told": len(told),
                "lost": len(lost),
            },
        )

    async def _take(self) -> None:
        if not self._is_vacant():
            return
        sent = now()
        lease = await self._store.take_lease(max(LEASE, self._cfg.shortest_lease))
        self._taken_lease = lease
        old = self._feed.own.get(TERM_KEY)
        before = _Term.decode(old.value if old else None)
        mine = _Term(before.number + 1, self._cfg.vm, self._cfg.control, False)
        conditions = [
            Condition(DUTY_KEY, 0),
            Condition(TERM_KEY, old.revision if old else 0),
        ]
        value = mine.encode()
        writes = [Write(DUTY_KEY, value, lease), Write(TERM_KEY, value)]
        try:
            revision = await self._store.write(conditions, writes)
        except (Conflict, LeaseExpired):
            await asyncio.sleep(0.1)
            return
        self.follows_itself = self.term == before.number and self.term > 0
        self._lease, self._confirmed, self._duty_revision = lease, sent, revision
        self._leased.set()
        self._taken = sent
        self.term = mine.number
        self.prolongs = False
        self._feed.take_written(Item(DUTY_KEY, value, revision))
        self._feed.take_written(Item(TERM_KEY, value, revision))
        self.others_lapse = now()
        if before.control and not (self.follows_itself and before.settled):
            self.others_lapse = lapse_of(now(), self._longest())
        log.info(
            "duty taken",
            extra={
                "term": self.term,
                "former": before.control,
                "settled": before.settled,
                "revision": revision,
            },
        )
        self._asking = asyncio.create_task(self._learn_of(before, mine))

    def _longest(self) -> float:
        return longest_hold(self._cfg.bounds.longest_hold)

    async def _learn_of(self, before: _Term, mine: _Term) -> None:
        """Find out how long to wait for what was ordered before, and write it down."""
        began = now()
        if before.control and not self.follows_itself:
            steady, told = await asyncio.gather(
                self._was_steady(before.control), self._hand_on(before)
            )
            lapses = [self.others_lapse]
            if before.settled and steady:
                lapses.append(lapse_of(began, HOLD))
            if before.settled and told is not None:
                lapses.append(now() + told)
            self.others_lapse = min(lapses)
            log.info(
                "former holds",
                extra={
                    "steady": steady,
                    "handed_on": told is not None,
                    "lapse_in": round(self.others_lapse - now(), 2),
                },
            )
        await asyncio.sleep(max(0.0, self.others_lapse - now()))
        await self._write_settled(mine)

    async def _was_steady(self, former: str) -> bool:
        """Tell whether half of all VMs had unbroken contact with the store of late."""
        if self._feed.steady() < STEADY:
            return False
        # The former holder prolonged holds only if half of the VMs beside it had lost
        # the store. More than half of them with unbroken contact, this one included,
        # rule that out.
        addresses = [a for a in self._peers.others() if a != former]
        answers = await asyncio.gather(
            *(self._peers.ask(a, CONTACT_PATH) for a in addresses)
        )
        steady = [a for a in answers if a is not None and float(a) >= STEADY]
        return 2 * (len(steady) + 1) > len(answers) + 1

    async def _hand_on(self, before: _Term) -> float | None:
        """Return the seconds until nothing holds that the former holder ordered."""
        for _ in range(ASKED):
            term = str(before.number).encode()
            answer = await self._peers.ask(before.control, HAND_ON_PATH, term)
            if answer:
                return self.inherit(answer)
            await asyncio.sleep(ASK_AGAIN)
        return None

    async def _write_settled(self, mine: _Term) -> None:
        """Write that nothing holds any more that was ordered in the terms before."""
        mine.settled = True
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
                log.info("term not written", extra={"cause": str(exc)})
                await asyncio.sleep(ASK_AGAIN)

    def _step_down(self, why: str) -> None:
        if self._lease:
            log.info("duty given up", extra={"why": why, "term": self.term})
        self._lease = 0
        self._leased.clear()
        self.prolongs = False
        self.others_lapse = float("inf")
