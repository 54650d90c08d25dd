"""Load generator that records the result of every attempt."""

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
from berylstage_standins.load_settings import LoadSettings, Share, parse_share
from berylstage_standins.target_server import body_digest

# Connections to each VM; further calls wait for a free one.
MAX_CONNECTIONS_PER_VM = 64
# Concurrent requests at a fixed rate; further ones are skipped and counted.
MAX_CONCURRENT_REQUESTS = 2000
# Interval between two lines of progress.
PROGRESS_INTERVAL_SECONDS = 1.0
# Delay before a retry if the answer has no Retry-After header.
DEFAULT_RETRY_DELAY_SECONDS = 0.2
# Largest delay before a retry, so that a run ends soon.
MAX_RETRY_DELAY_SECONDS = 1.0
# Interval between two probes of a failed key, which bounds the error of the measured
# unavailability.
PROBE_INTERVAL_SECONDS = 0.1
# Zipf exponent of the popularity of keys; 0 makes all keys equally popular.
KEY_ZIPF_EXPONENT = 0.9


class LoadRequest:
    """Request of a caller, shared by all its attempts."""

    __slots__ = ("body", "digest", "idempotency_key", "issued_ms", "key", "share")

    def __init__(self, share: Share, key: str, token: str):
        self.share = share
        self.key = key
        self.body = json.dumps({"token": token}).encode()
        self.digest = body_digest(self.body)
        self.idempotency_key = token if share.once else ""
        self.issued_ms = int(time.time() * 1000)


class Load:
    """Simulated callers that send requests and record the results.

    Parameters
    ----------
    settings : LoadSettings

    Attributes
    ----------
    result : LoadResult
    left_out : int
        Number of requests that were due but skipped, since too many were in progress.
    """

    def __init__(self, settings: LoadSettings):
        self.settings = settings
        self.result = LoadResult()
        self.left_out = 0
        self._random = random.Random(settings.seed)
        self._clients = {vm: CallClient(MAX_CONNECTIONS_PER_VM) for vm in settings.vms}
        self._weights = [share.weight for share in settings.mix]
        self._popularity = [
            1.0 / (rank + 1) ** KEY_ZIPF_EXPONENT for rank in range(settings.keys)
        ]
        self._probes: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._run_id = uuid.uuid4().hex[:8]
        self._request_count = 0

    async def run(self, seconds: float) -> LoadResult:
        """Send requests for a time, wait for the last answers and return the result.

        Parameters
        ----------
        seconds : float
        How long to send requests.

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
            await self._send(self._make_request(), f"caller-{number}")

    async def _run_at_rate(self, end: float) -> None:
        tasks: set[asyncio.Task[None]] = set()
        due = time.monotonic()
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due += self._random.expovariate(self.settings.rate)
            if len(tasks) >= MAX_CONCURRENT_REQUESTS:
                self.left_out += 1
                continue
            caller = f"caller-{self._random.randrange(self.settings.callers)}"
            task = asyncio.ensure_future(self._send(self._make_request(), caller))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _make_request(self) -> LoadRequest:
        self._request_count += 1
        (share,) = self._random.choices(self.settings.mix, self._weights)
        (rank,) = self._random.choices(range(self.settings.keys), self._popularity)
        return LoadRequest(
            share, f"key-{rank}", f"{self._run_id}-{self._request_count}"
        )

    async def _send(self, request: LoadRequest, caller: str) -> None:
        """Send a request, and retry it while that is safe and attempts are left."""
        vms = self._random.sample(self.settings.vms, len(self.settings.vms))
        for attempt in range(1 + self.settings.retries):
            record, delay = await self._attempt(
                request, caller, vms[attempt % len(vms)]
            )
            self.result.add(record)
            if record.outcome not in SERVED:
                self._start_probe(request)
            if not _is_retryable(request, record):
                return
            if attempt < self.settings.retries:
                await asyncio.sleep(delay)

    def _start_probe(self, request: LoadRequest) -> None:
        """Start probing a failed key unless a probe is already running."""
        name = (request.share.service, request.key)
        repeatable = [
            share
            for share in self.settings.mix
            if share.service == request.share.service and not share.once
        ]
        if repeatable and name not in self._probes:
            probe = asyncio.ensure_future(self._probe(repeatable[0], request.key))
            self._probes[name] = probe

    async def _probe(self, share: Share, key: str) -> None:
        """Send repeatable requests for a key until it is served."""
        served = False
        while not served:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            self._request_count += 1
            request = LoadRequest(share, key, f"{self._run_id}-{self._request_count}")
            vm = self._random.choice(self.settings.vms)
            record, _ = await self._attempt(request, "probe", vm)
            self.result.add_probe(record)
            served = record.outcome in SERVED
        del self._probes[share.service, key]

    async def _attempt(
        self, request: LoadRequest, caller: str, vm: str
    ) -> tuple[CallRecord, float]:
        start = time.monotonic()
        answer = None
        reason = ""
        try:
            answer = await self._clients[vm].call(self._make_call(request, caller, vm))
        except NeverSent:
            outcome = CallOutcome.NOT_SENT
        except AnswerLost as exc:
            outcome = CallOutcome.LOST
            reason = _extract_cause(exc)
        else:
            outcome = _parse_outcome(answer)
            reason = answer.header(b"berylstage-reason")
        record = CallRecord(
            service=request.share.service,
            kind=request.share.kind,
            key=request.key,
            digest=request.digest,
            idempotency_key=request.idempotency_key,
            vm=vm,
            outcome=outcome,
            status=answer.status if answer else 0,
            reason=reason,
            own=answer is not None and _is_own(request, answer),
            start=start,
            end=time.monotonic(),
        )
        return record, _retry_delay(answer)

    def _make_call(self, request: LoadRequest, caller: str, vm: str) -> Call:
        share = request.share
        path = f"{share.service}/{share.kind}/{quote(request.key, safe='')}"
        headers = {"Caller": caller, "Content-Type": "application/json"}
        if share.once:
            headers["Idempotency-Key"] = request.idempotency_key
            headers["Idempotency-Issued-At"] = str(request.issued_ms)
        timeout = self.settings.timeout
        return Call("POST", f"http://{vm}/{path}", headers, request.body, timeout)


def _is_retryable(request: LoadRequest, record: CallRecord) -> bool:
    """Return whether a retry is safe: the work did not run or is idempotent."""
    if record.outcome is CallOutcome.ANSWERED:
        return False
    return record.outcome in CERTAIN or bool(request.idempotency_key)


def _parse_outcome(answer: Answer) -> CallOutcome:
    """Return the outcome from an answer's header; ``LOST`` if it is invalid."""
    try:
        return CallOutcome(answer.header(b"berylstage-outcome"))
    except ValueError:
        return CallOutcome.LOST


def _is_own(request: LoadRequest, answer: Answer) -> bool:
    """Return whether the body of an answer identifies this request."""
    try:
        doc = json.loads(answer.body)
    except ValueError:
        return False
    if not isinstance(doc, dict):
        return False
    return (doc.get("digest"), doc.get("key")) == (request.digest, request.key)


def _retry_delay(answer: Answer | None) -> float:
    """Return the delay in seconds before the next attempt."""
    try:
        delay = (
            float(answer.header(b"retry-after"))
            if answer
            else DEFAULT_RETRY_DELAY_SECONDS
        )
    except ValueError:
        delay = DEFAULT_RETRY_DELAY_SECONDS
    return min(delay, MAX_RETRY_DELAY_SECONDS)


def _extract_cause(exc: CallFailed) -> str:
    """Return the cause in parentheses from a failure's message."""
    return str(exc).partition("(")[2].partition(")")[0]


def _make_settings(args: argparse.Namespace) -> LoadSettings:
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
        await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
        outcomes = load.result.outcomes
        shown = ", ".join(f"{outcomes[o]} {o.value}" for o in CallOutcome)
        print(shown, file=sys.stderr, flush=True)


async def _run(args: argparse.Namespace) -> None:
    load = Load(_make_settings(args))
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
    """Run a load and print its results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vm", action="append", required=True, metavar="HOST:PORT")
    parser.add_argument(
        "--mix",
        type=parse_share,
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
