"""A load of callers on the VMs, with what each of them got."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
import uuid
from pathlib import Path
from urllib.parse import quote

from berylstage_transfers.call import Answer, Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost, CallFailed, NeverSent

from berylstage_standins.call_record import CERTAIN, CallOutcome, CallRecord
from berylstage_standins.load_result import SERVED, LoadResult
from berylstage_standins.load_settings import LoadSettings, Share, read_share
from berylstage_standins.target_server import body_digest

# Connections to one VM; more calls wait.
CONNECTIONS = 64
# Calls under way at once when they come at a rate; more are left out, and counted.
MAX_OPEN = 2000
# Seconds between two lines of progress.
PROGRESS_TICK = 1.0
# Seconds before a retry where the answer does not say when to come back.
RETRY_AFTER = 0.2
# Seconds before a retry at most, so that a run ends soon.
MAX_RETRY_AFTER = 1.0
# Seconds between two probes of a key that failed, which bound the error of the time
# that it was unavailable.
PROBE_INTERVAL = 0.1
# Exponent of the popularity of keys: 0 would make all equally popular.
KEY_SKEW = 0.9


class Wish:
    """One request of a caller, over all its attempts."""

    __slots__ = ("body", "digest", "idempotency_key", "issued_ms", "key", "share")

    def __init__(self, share: Share, key: str, token: str):
        self.share = share
        self.key = key
        self.body = json.dumps({"token": token}).encode()
        self.digest = body_digest(self.body)
        self.idempotency_key = token if share.once else ""
        self.issued_ms = int(time.time() * 1000)


class Load:
    """Callers that send requests and record what they get.

    Parameters
    ----------
    settings : LoadSettings

    Attributes
    ----------
    result : LoadResult
    left_out : int
        Requests that were due but not sent, since too many were under way.
    """

    def __init__(self, settings: LoadSettings):
        self.settings = settings
        self.result = LoadResult()
        self.left_out = 0
        self._random = random.Random(settings.seed)
        self._clients = {vm: CallClient(CONNECTIONS) for vm in settings.vms}
        self._weights = [share.weight for share in settings.mix]
        self._popularity = [
            1.0 / (rank + 1) ** KEY_SKEW for rank in range(settings.keys)
        ]
        self._probes: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._run_id = uuid.uuid4().hex[:8]
        self._wishes = 0

    async def run(self, seconds: float) -> LoadResult:
        """Send requests for a time, wait for the last answers, and return the result.

        Parameters
        ----------
        seconds : float

        Returns
        -------
        LoadResult
        """
        end = time.monotonic() + seconds
        if self.settings.rate > 0:
            await self._run_at_rate(end)
        else:
            callers = range(self.settings.callers)
            await asyncio.gather(*(self._run_caller(n, end) for n in callers))
        for probe in self._probes.values():
            probe.cancel()
        await asyncio.gather(*self._probes.values(), return_exceptions=True)
        return self.result

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    async def _run_caller(self, number: int, end: float) -> None:
        while time.monotonic() < end:
            await self._fulfil(self._wish(), f"caller-{number}")

    async def _run_at_rate(self, end: float) -> None:
        tasks: set[asyncio.Task[None]] = set()
        due = time.monotonic()
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += self._random.expovariate(self.settings.rate)
            if len(tasks) >= MAX_OPEN:
                self.left_out += 1
                continue
            caller = f"caller-{self._random.randrange(self.settings.callers)}"
            task = asyncio.ensure_future(self._fulfil(self._wish(), caller))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _wish(self) -> Wish:
        self._wishes += 1
        (share,) = self._random.choices(self.settings.mix, self._weights)
        (rank,) = self._random.choices(range(self.settings.keys), self._popularity)
        return Wish(share, f"key-{rank}", f"{self._run_id}-{self._wishes}")

    async def _fulfil(self, wish: Wish, caller: str) -> None:
        """Try a request until it is answered or the attempts are used up."""
        vms = self._random.sample(self.settings.vms, len(self.settings.vms))
        for attempt in range(1 + self.settings.retries):
            record, pause = await self._attempt(wish, caller, vms[attempt % len(vms)])
            self.result.add(record)
            if record.outcome not in SERVED:
                self._start_probe(wish)
            if not _worth_a_retry(wish, record):
                return
            if attempt < self.settings.retries:
                await asyncio.sleep(pause)

    def _start_probe(self, wish: Wish) -> None:
        """Watch for a key to come back, unless that is done already."""
        name = (wish.share.service, wish.key)
        repeatable = [
            share
            for share in self.settings.mix
            if share.service == wish.share.service and not share.once
        ]
        if repeatable and name not in self._probes:
            probe = asyncio.ensure_future(self._probe(repeatable[0], wish.key))
            self._probes[name] = probe

    async def _probe(self, share: Share, key: str) -> None:
        """Ask for a key until it is served."""
        served = False
        while not served:
            await asyncio.sleep(PROBE_INTERVAL)
            self._wishes += 1
            wish = Wish(share, key, f"{self._run_id}-{self._wishes}")
            vm = self._random.choice(self.settings.vms)
            record, _ = await self._attempt(wish, "probe", vm)
            self.result.add_probe(record)
            served = record.outcome in SERVED
        del self._probes[share.service, key]

    async def _attempt(
        self, wish: Wish, caller: str, vm: str
    ) -> tuple[CallRecord, float]:
        start = time.monotonic()
        answer = None
        reason = ""
        try:
            answer = await self._clients[vm].call(self._call(wish, caller, vm))
        except NeverSent:
            outcome = CallOutcome.NOT_SENT
        except AnswerLost as exc:
            outcome = CallOutcome.LOST
            reason = _cause(exc)
        else:
            outcome = _outcome(answer)
            reason = answer.header(b"berylstage-reason")
        record = CallRecord(
            service=wish.share.service,
            kind=wish.share.kind,
            key=wish.key,
            digest=wish.digest,
            idempotency_key=wish.idempotency_key,
            vm=vm,
            outcome=outcome,
            status=answer.status if answer else 0,
            reason=reason,
            own=answer is not None and _is_own(wish, answer),
            start=start,
            end=time.monotonic(),
        )
        return record, _retry_after(answer)

    def _call(self, wish: Wish, caller: str, vm: str) -> Call:
        share = wish.share
        path = f"{share.service}/{share.kind}/{quote(wish.key, safe='')}"
        headers = {"Caller": caller, "Content-Type": "application/json"}
        if share.once:
            headers["Idempotency-Key"] = wish.idempotency_key
            headers["Idempotency-Issued-At"] = str(wish.issued_ms)
        timeout = self.settings.timeout
        return Call("POST", f"http://{vm}/{path}", headers, wish.body, timeout)


def _worth_a_retry(wish: Wish, record: CallRecord) -> bool:
    """Tell whether a caller would try again: an idempotency key makes it safe."""
    if record.outcome is CallOutcome.ANSWERED:
        return False
    return record.outcome in CERTAIN or bool(wish.idempotency_key)


def _outcome(answer: Answer) -> CallOutcome:
    """Return the outcome that an answer names."""
    try:
        return CallOutcome(answer.header(b"berylstage-outcome"))
    except ValueError:
        return CallOutcome.LOST


def _is_own(wish: Wish, answer: Answer) -> bool:
    """Tell whether an answer proves that it is the answer to this request."""
    try:
        doc = json.loads(answer.body)
    except ValueError:
        return False
    if not isinstance(doc, dict):
        return False
    return (doc.get("digest"), doc.get("key")) == (wish.digest, wish.key)


def _retry_after(answer: Answer | None) -> float:
    """Return the seconds to wait before the next attempt."""
    try:
        asked = float(answer.header(b"retry-after")) if answer else RETRY_AFTER
    except ValueError:
        asked = RETRY_AFTER
    return min(asked, MAX_RETRY_AFTER)


def _cause(exc: CallFailed) -> str:
    """Return the part of a failure's message that names its cause."""
    return str(exc).partition("(")[2].partition(")")[0]


def _settings(args: argparse.Namespace) -> LoadSettings:
    return LoadSettings(
        vms=args.vm,
        mix=args.mix,
        callers=args.callers,
        rate=args.rate,
        keys=args.keys,
        timeout=args.timeout,
        retries=args.retries,
        seed=args.seed,
    )


async def _show_progress(load: Load) -> None:
    while True:
        await asyncio.sleep(PROGRESS_TICK)
        outcomes = load.result.outcomes
        shown = ", ".join(f"{outcomes[o]} {o.value}" for o in CallOutcome)
        print(shown, file=sys.stderr, flush=True)


async def _run(args: argparse.Namespace) -> None:
    load = Load(_settings(args))
    progress = asyncio.ensure_future(_show_progress(load)) if args.progress else None
    result = await load.run(args.seconds)
    if progress is not None:
        progress.cancel()
    load.close()
    if args.record is not None:
        lines = [record.to_json() + "\n" for record in result.records]
        args.record.write_text("".join(lines))
    doc = {**result.as_dict(time.monotonic()), "left_out": load.left_out}
    print(json.dumps(doc, indent=2))


def main() -> None:
    """Run a load and print what it brought as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vm", action="append", required=True, metavar="HOST:PORT")
    parser.add_argument(
        "--mix",
        type=read_share,
        action="append",
        required=True,
        metavar="SERVICE/KIND[:once]=WEIGHT",
    )
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second")
    parser.add_argument("--keys", type=int, default=100, help="for each service")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--timeout", type=float, default=5.0, help="seconds")
    parser.add_argument("--retries", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", type=Path, help="file for every attempt")
    parser.add_argument("--progress", action="store_true")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
