"""Owned keys under test: shards, moves, keys set apart and lost targets."""

from __future__ import annotations

from berylstage_policy.health import HealthState
from berylstage_policy.hot_keys import HotKeyDetector
from berylstage_policy.placement import PlacementTarget, ShardMove, ShardPlacement, plan
from berylstage_policy.tickets import AttemptOutcome
from xxhash import xxh64_intdigest

from berylstage_bench.policy_baselines import MOVE_GAP
from berylstage_bench.policy_player import REFUSED, Request
from berylstage_bench.policy_router import Attempt, LedTarget, PolicyRouter

SHARDS = 240
PLAN_INTERVAL = 2.0
# Weight of the newest interval in a shard's load: about fifteen seconds tell load from
# chance, of which a shard has a few requests a second.
LOAD_GAIN = 0.13
# Seconds for which a move of a shard counts as recent.
MOVE_MEMORY = 300.0


class OwnedRouter(PolicyRouter):
    """Exactly one target may answer for a key."""

    def __init__(
        self,
        *args,
        budget: int = 4,
        has_hot_keys: bool = True,
        shards: int = SHARDS,
        **options,
    ):
        super().__init__(*args, **options)
        self.budget = budget
        self.shards = shards
        self.has_hot_keys = has_hot_keys
        self.hot = HotKeyDetector(self.thresholds)
        self.holdings = {
            f"shard/{i}": ShardPlacement(f"shard/{i}", None) for i in range(shards)
        }
        self.work: dict[str, float] = {}
        self.blocked: dict[str, float] = {}
        self.moves: list[tuple[float, ShardMove]] = []
        self.lost: set[str] = set()
        self.verdicts_down = 0
        self.plans = 0
        self._make_moves()
        self.player.at(
            PLAN_INTERVAL, self.player.every, PLAN_INTERVAL, self._rebalance, 1e9
        )

    def shard(self, key: str) -> str:
        """Return the shard of a key: its own when it is set apart."""
        apart = f"key/{key}"
        if apart in self.holdings:
            return apart
        return f"shard/{xxh64_intdigest(key.encode()) % self.shards}"

    def arrive(self, req: Request) -> None:
        """Take a request in; it waits while its shard moves."""
        self.attempt(req)

    def attempt(self, req: Request, previous: Attempt | None = None) -> None:
        """Forward to the VM that leads the key's owner."""
        now = self.player.now
        shard = self.shard(req.key)
        blocked = self.blocked.get(shard, 0.0)
        if blocked > now:
            self.player.at(blocked, self.attempt, req, previous)
            return
        owner = self.holdings[shard].owner
        if owner is None or owner not in self.led:
            req.end(now, REFUSED, 1.0)
            return
        number = previous.number + 1 if previous is not None else 1
        self._forward(Attempt(req, number, owner))

    def unreachable(self, attempt: Attempt, led: LedTarget) -> None:
        """Hold it until another VM leads the only target that may answer."""
        self.player.at(led.gone_until, self.attempt, attempt.req, attempt)

    def may_retry(self, outcome: AttemptOutcome) -> bool:
        """Tell whether to ask the only owner again: not when its queue is full."""
        return outcome is not AttemptOutcome.SHED

    def worked(self, req: Request, seconds: float) -> None:
        """Count slot time by shard and by key."""
        shard = self.shard(req.key)
        self.work[shard] = self.work.get(shard, 0.0) + seconds
        if self.has_hot_keys:
            self.hot.observe(req.key, seconds, self.player.now)

    def places(self) -> list[PlacementTarget]:
        """Return the targets as placement sees them."""
        return [
            PlacementTarget(
                name,
                led.target.data_centre,
                led.health.capacity(led.target.slots),
                name in self.willing and name not in self.lost,
            )
            for name, led in self.led.items()
        ]

    def _rebalance(self) -> None:
        """Take in the loads of the last interval and plan."""
        now = self.player.now
        self.plans += 1
        for name, holding in self.holdings.items():
            load = self.work.get(name, 0.0) / PLAN_INTERVAL
            gain = max(LOAD_GAIN, 1.0 / self.plans)
            holding.load += gain * (load - holding.load)
        self.work.clear()
        self._judge_speed(now)
        if self.has_hot_keys:
            self._set_keys_apart(now)
        self._make_moves()

    def _judge_speed(self, now: float) -> None:
        """Tell health how slow each target is beside the median."""
        means = {n: led.queue.costs.mean("lookup") for n, led in self.led.items()}
        median = sorted(means.values())[len(means) // 2]
        for name, led in self.led.items():
            led.health.record_latency(now, means[name] / median)

    def _set_keys_apart(self, now: float) -> None:
        """Give hot keys shards of their own and return those that have cooled."""
        slots = float(self.deployment.slots)
        changes = self.hot.plan_changes(slots, now)
        for key in changes.set_apart:
            rate = self.hot.sketch.rate(key, now)
            home = self.holdings[self.shard(key)]
            home.load = max(0.0, home.load - rate)
            self.holdings[f"key/{key}"] = ShardPlacement(f"key/{key}", home.owner, rate)
        for key in changes.give_back:
            apart = self.holdings.pop(f"key/{key}")
            home = self.holdings[self.shard(key)]
            if home.owner != apart.owner:
                move = ShardMove(apart.shard, apart.owner, home.owner or "")
                self.moves.append((now, move))
        apart_keys = {n.removeprefix("key/") for n in self.holdings if n[0] == "k"}
        self.hot.set_apart(apart_keys)

    def _make_moves(self) -> None:
        """Plan and carry the moves out, each with a gap."""
        now = self.player.now
        holdings = list(self.holdings.values())
        self._count_recent_moves(now)
        moves = plan(holdings, self.places(), self.budget, self.thresholds)
        for move in moves:
            self.holdings[move.shard].owner = move.destination
            if move.source is not None:
                self.blocked[move.shard] = now + MOVE_GAP
                self.moves.append((now, move))
        drained = {m.source for m in moves if m.source is not None}
        for name in sorted(drained):
            self._reroute(name, {m.shard for m in moves if m.source == name})

    def _count_recent_moves(self, now: float) -> None:
        """Tell each shard how often it has moved lately."""
        counts: dict[str, int] = {}
        for at, move in reversed(self.moves):
            if at < now - MOVE_MEMORY:
                break
            counts[move.shard] = counts.get(move.shard, 0) + 1
        for name, holding in self.holdings.items():
            holding.recent_moves = counts.get(name, 0)

    def _reroute(self, name: str, shards: set[str]) -> None:
        """Take what waits for moved shards along to the new owner."""
        led = self.led[name]
        for attempt in list(led.attempts.values()):
            if self.shard(attempt.req.key) not in shards:
                continue
            is_running = led.queue.cancel(attempt.id, self.player.now)
            if not is_running:
                led.attempts.pop(attempt.id, None)
                self.attempt(attempt.req, attempt)

    def judged(self) -> None:
        """Move the keys of targets that are down, and take back those that return."""
        down = {name for name in self.led if self.verdict(name) is HealthState.DOWN}
        if down != self.lost:
            self.lost = down
            self.verdicts_down += bool(down)
            self._make_moves()

    def set_willing(self, names: list[str]) -> None:
        """Take in a configuration: mandatory moves at once."""
        super().set_willing(names)
        self._make_moves()
