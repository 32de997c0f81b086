"""Routing decisions of one router; interface.py defines every type, event and action used here.

The design follows token pools (W. J. Cunningham, "Token Management in Multi-Tenant AI Inference Platforms",
CAIS '26, sections 3 and 4.3): a request is charged to its tenant's entitlement, ordered checks admit it or
refuse it at once, and it goes to the least loaded of a few replicas with fresh probe answers. docs/design.md
lists the departures from the paper with their conditions and reasons. Comments at safeguards name the
failure that each one prevents.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from itertools import count, islice
from math import exp
from random import Random
from typing import Any

from spoolbarrow import interface as i
from spoolbarrow.fleet.capacity import Capacity
from spoolbarrow.fleet.pacing import Pacing
from spoolbarrow.hash_ring import HashRing, mix64, ring_points
from spoolbarrow.prefix_counts import PrefixCounts

# Priority (paper 3.3, equation 1; section 4.3)

CLASS_WEIGHTS = (1000.0, 100.0, 1.0, 0.1)  # by rank of worth: guaranteed, elastic, spot, preemptible
ALPHA_SLO, ALPHA_BURST, ALPHA_DEBT = 2.0, 1.0, 4.0  # coefficients from the paper
GAMMA = 0.7  # share of debt and burst that is kept at a completion, from the paper
DEBT_FLOOR = -0.2  # keeps the priority's debt factor, 1 + 4 * debt, at 0.2 or more: it must stay positive
USAGE_WINDOW_MS = 5000.0  # averaging time of the usage rate: covers several requests even at a low quota
QUOTA_BURST_MS = 4000.0  # unused quota accumulates for this long: Poisson arrivals are not an overload
QUOTA_BURST_MIN_REQUESTS = 2.0  # least bucket size: a quota below one request must still admit one

# Fullness

# In per-token objectives. Waits are estimated from few reports, and most turn out far below the estimate.
FULL_WAIT_TOKEN_OBJECTIVES = 12.0
FULL_WAIT_OBJECTIVE_SHARE = 0.25  # of the mean objective, where no class has a per-token objective
# An attempt predicted to start after this many objectives is refused: it would be late and delay others.
REFUSE_ABOVE_OBJECTIVES = 1.0
# Number of newest admitted requests that set the priority cut; excess over full at which the cut is highest.
PRIORITY_CUT_SAMPLE, PRIORITY_CUT_SPAN = 200, 1.0
# Share of memory above which replicas preempt requests; wait added in proportion to what exceeds that share.
MEMORY_FULL_SHARE, MEMORY_FULL_WAIT_MS = 0.85, 4000.0
QUEUED_REQUEST_MS = 30.0  # wait assumed for each request in a replica's queue

# Reports

# Weight of a fresh report against its zone's mean. Other routers have sent requests since, and the lowest of
# several reports understates the load.
FRESH_REPORT_WEIGHT = 0.6
ZONE_MEAN_WEIGHT = 0.15  # of one report in its zone's mean: few reports come from other zones
ZONE_MEAN_VALID_MS = 8000.0  # the mean of a zone without probe answers is used for this long
REPORT_FADE_MS = 4000.0  # a report older than this adds nothing to the zone's mean
REPORT_LAG_MS = 600.0  # a report may miss requests that this router sent up to this long before it
PROBE_POOL_MS, PROBE_POOL_SIZE = 2000.0, 5  # largest age and number of the probe answers that are compared
PREFERRED_REPORT_FRESH_MS = 700.0  # a preferred replica with a younger report is not probed again
PROBE_HOLD_MS = 25.0  # longest time that a request is held for its preferred replica's probe answer
# Wait assumed for a replica that does not answer its probe within the hold: probes queue like prompts.
UNANSWERED_PROBE_WAIT_MS = 1200.0
# Share of the hold after which that wait counts, below 1 for timers that fire on the very millisecond.
UNANSWERED_PROBE_SHARE = 0.9
CROSS_ZONE_PROBE_SHARE = 0.2  # of the extra probes, one for each request, that go to other zones

# Prefill

PREFILL_TOKENS_PER_MS = 12.0  # the order of magnitude is enough, since loads are only compared
# Cost of each stream of this router that runs on a replica. Streams of a slow replica last longer and add up.
RUNNING_STREAM_COST_MS = 40.0
PREFILL_COST_FACTOR = 8.0  # prefill delays every request that runs on the replica, not only its own
# Time to the first token besides prefill; streaming time that counts as one token.
FIRST_TOKEN_OVERHEAD_MS, DECODE_MS_PER_TOKEN = 30.0, 30.0
MEAN_WEIGHT = 0.05  # of one sample in a moving average

# Preferred replicas

# Of the objective, and of the full wait: a request waits for its preferred replica while its first token is
# predicted within the one and the wait elsewhere is at least the other.
PREFERRED_OBJECTIVE_SHARE, PREFERRED_FULLNESS_SHARE = 0.65, 0.4
PREFERRED_REPLICAS_FACTOR = 2.0  # preferred replicas of a prefix per replica that its traffic could fill
PREFERRED_PER_PART = 16  # a session is placed among this many; a prefix with more has parts of this size
PREFIX_COUNT_HALF_LIFE_MS = 60000.0  # interval at which the counts of prefixes are halved
# Waiting time in objectives that a fee of 1 equals: a missed objective loses the worth the fee is a share of.
CROSS_ZONE_FEE_OBJECTIVES = 3.0

# Health

SUSPECT_MS, SUSPECT_MAX_MS = 1000.0, 8000.0  # first and longest exclusion of a replica that does not respond
# Silence with a prompt waiting and a failed probe. Shorter gaps are pauses, or the prefill of long prompts.
SILENCE_MS = 1500.0
OVERTAKEN_MS = 500.0  # a prompt sent this long before one that has started is lost
IDLE_UNREAD_TOKENS = 200.0  # a replica that reports no more than this does not have a prompt sent long ago
LOST_FACTOR = 4.0  # predicted first-token times after which a failing replica's attempt is given up
SLOW_FACTOR_MAX, SLOW_FADE_MS = 8.0, 10000.0  # largest slowdown assumed of a replica, and its decay time
FAILING_WAIT_MS = 2000.0  # wait added for a replica whose recent attempts all ended in errors
HEDGE_FACTOR, HEDGE_MIN_MS = 2.0, 200.0  # a hedge follows after this many predicted first-token times,
HEDGE_OBJECTIVE_SHARE = 0.5  # but no later than this share of the objective, so that it can still be in time
# Waste allowed for hedges, as a rate per request; most hedges per request; most hedges that are saved up.
HEDGE_WASTE_BUDGET, HEDGES_PER_REQUEST_MAX, HEDGE_BUDGET_MAX = 0.004, 0.2, 5.0
LATE_FACTOR_MAX = 6.0  # bounds the general lateness: loaded replicas prefill more slowly than idle ones
SWEEP_INTERVAL_MS = 500.0  # between checks for conditions that no event reports
# Shares of the limit of rule 4: for all requests, and for those that prefer the replica.
SLOW_START_TOTAL_SHARE, SLOW_START_PREFERRED_SHARE = 0.5, 0.2
# Least work counted for a request, in mean requests; factor for resumed streams, which arrive all at once.
SLOW_START_WORK_MIN, SLOW_START_RESUMED_SHARE = 0.5, 0.05
# Time after which an unanswered call counts as lost; timer resolution.
LIST_CALL_LOST_MS, TIMER_RESOLUTION_MS = 3500.0, 1.0


class Replica:
    """What this router knows about a replica."""

    def __init__(self, entry: i.ReplicaEntry) -> None:
        self.id = entry.replica
        self.points = ring_points(self.id)
        self.report_at = self.last_response_at = self.probed_at = -1e12
        self.probe_pending = self.sends_reports = False
        self.memory_share = self.load_ms = 0.0
        self.unstarted: list[Attempt] = []
        self.slow_factor, self.slow_factor_at, self.failing_level, self.failed_at, self.decode_factor = (
            1.0,
            0.0,
            0.0,
            0.0,
            1.0,
        )
        self.suspect_until, self.suspect_count, self.unresponsive = -1e12, 0, False
        self.running_streams, self.started_at = 0, 0.0
        self.update(entry)

    def update(self, entry: i.ReplicaEntry) -> None:
        """Apply an entry of the replica list."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.serving = entry.state is i.ReplicaState.SERVING

    def quiet_ms(self, now: float) -> float:
        """Time for which a prompt has waited here without any response from the replica."""
        return now - max(self.last_response_at, self.unstarted[0].sent_at) if self.unstarted else 0.0


class Attempt:
    """One attempt to serve a request on a replica."""

    def __init__(
        self, request: Request, replica: Replica, now: float, prefill_tokens: float, rank: int
    ) -> None:
        self.request, self.replica, self.sent_at, self.prefill_tokens, self.rank = (
            request,
            replica,
            now,
            prefill_tokens,
            rank,
        )
        self.outcome: i.Outcome | None = None
        self.predicted_ms, self.first_token_ms, self.lost = 0.0, -1.0, False

    def may_have_run(self) -> bool:
        """Whether the replica has run it or may still run it."""
        return self.outcome not in i.NEVER_RAN


class ClassStats:
    """Moving averages over the served requests of a class, with assumed initial values."""

    def __init__(self) -> None:
        # Streaming time of an answer; tokens to prefill at a session's preferred replica.
        self.mean_answer_ms, self.preferred_prefill_tokens = 60.0 * DECODE_MS_PER_TOKEN, 600.0
        self.prefix_miss_share = [0.5, 0.5, 0.9]  # share of the prefix that is not cached, by rank


ClassTerms = tuple[float, int, ClassStats]  # of a class: its weight, its tier among all classes, its averages


class Request:
    """A client's request until its last attempt has ended, with the settings in force when it arrived."""

    def __init__(self, event: i.RequestArrived, settings: i.Settings, terms: ClassTerms, now: float) -> None:
        self.id, self.settings, self.cls = event.request, settings, settings.classes[event.cls]
        self.tenant, self.quota_per_s = settings.account(event.tenant)
        self.weight, self.tier, self.class_stats = terms
        self.arrived_at, self.deadline = now, now + event.budget_ms
        self.objective_ms = self.cls.aim(event.prompt_tokens)
        self.prompt_tokens, self.shared_tokens = (
            event.prompt_tokens,
            min(event.shared_tokens, event.prompt_tokens),
        )
        self.session, self.prefix = event.session, event.prefix
        self.resumed, self.promised, self.standing = event.resumed, event.promised, event.standing
        self.attempts: list[Attempt] = []
        self.preferred_replicas: list[Replica] = []
        self.held = self.closed = self.started = False
        self.priority, self.expected_tokens, self.slow_start_draw = 0.0, 0.0, 0
        self.entitlement: Entitlement | None = None

    def has_open_attempt(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(a.outcome is None for a in self.attempts)

    def may_send(self, replica: Replica, now: float) -> bool:
        """Rule 2: whether another attempt, on this replica, cannot take effect a second time."""
        settings = self.settings
        if len(self.attempts) >= settings.max_attempts or (
            self.has_open_attempt() and not settings.second_copies
        ):
            return False
        ran = [a for a in self.attempts if a.may_have_run()]
        if not ran or self.cls.effect is i.Effect.SAFE:
            return True
        if self.cls.effect is i.Effect.UNSAFE:
            return False
        if now + settings.tick_ms >= ran[0].sent_at + self.cls.window_ms:
            return False
        if self.cls.group is i.Group.CELL and any(a.replica.cell != replica.cell for a in ran):
            return False
        return self.cls.group is i.Group.ALL or all(a.replica.zone == replica.zone for a in ran)

    def may_refuse(self) -> bool:
        """Rule 2: whether the client may be told that a retry is harmless."""
        keyed_to_all = self.cls.effect is i.Effect.KEYED and self.cls.group is i.Group.ALL
        harmless = self.cls.effect is i.Effect.SAFE or keyed_to_all
        return harmless or not any(a.may_have_run() for a in self.attempts)


class Entitlement:
    """A tenant's account at this router (paper 3.1, 3.3): in-flight count, burst, debt and token bucket."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.burst = self.debt = self.used_tokens = self.used_at = self.bucket_tokens = self.bucket_at = 0.0

    def usage_rate(self, now: float) -> float:
        """Tokens per ms admitted here recently."""
        self.used_tokens, self.used_at = self.used_tokens * exp((self.used_at - now) / USAGE_WINDOW_MS), now
        return self.used_tokens / USAGE_WINDOW_MS

    def refill(self, now: float, quota_rate: float, request_tokens: float) -> float:
        """Add the quota since the last call to the token bucket, up to its size; the tokens in it."""
        bucket_size = max(quota_rate * QUOTA_BURST_MS, QUOTA_BURST_MIN_REQUESTS * request_tokens)
        gained = bucket_size if self.bucket_at == 0.0 else quota_rate * (now - self.bucket_at)
        self.bucket_tokens, self.bucket_at = min(bucket_size, self.bucket_tokens + gained), now
        return self.bucket_tokens

    def settle(self, now: float, quota_rate: float, concurrency: float, elastic: bool) -> None:
        """Equations 2 and 3, at a completion; throughput stands for memory as well, which follows it."""
        share = self.usage_rate(now) / quota_rate if quota_rate > 0 else 1.0
        excess = 2.0 * max(0.0, share - 1.0) + max(0.0, self.in_flight / max(concurrency, 1.0) - 1.0)
        self.burst = GAMMA * self.burst + (1.0 - GAMMA) * excess
        if elastic:
            self.debt = max(DEBT_FLOOR, GAMMA * self.debt + (1.0 - GAMMA) * (1.0 - share))


class ReplicaPool:
    """The listed replicas, the pool of recent probe answers, and the predicted costs of a placement."""

    def __init__(self, settings: i.Settings, rng: Random) -> None:
        self.rng = rng
        self.replicas: dict[str, Replica] = {}
        self.serving, self.local, self.remote, self.slow_starting = (list[Replica]() for _ in range(4))
        self.recent_answers: deque[tuple[float, Replica]] = deque(maxlen=PROBE_POOL_SIZE)
        self.local_ring, self.remote_ring = HashRing[Replica](), HashRing[Replica]()  # own zone; other zones
        self.prefixes = PrefixCounts()
        self.mean_request_tokens = 2000.0  # moving average
        # Like mean_request_tokens, but a plain mean at first: the initial value then has no weight.
        self.mean_work, self.arrivals = 2000.0, count(1)
        self.zone_load_ms, self.zone_memory_share, self.zone_updated_at = (
            list[float](),
            list[float](),
            list[float](),
        )
        # Keys of zones by their numbers in this pool.
        self.zone_keys, self.late_factor, self.full_wait_ms = list[i.Key](), 1.0, 0.0
        self.configure(settings, set(), 0.0)

    def configure(self, settings: i.Settings, sent: set[Replica], now: float) -> None:
        """Apply settings. Keeps the zones they name and those of known replicas and of replicas in `sent`."""
        self.settings, before, known = settings, self.zone_keys, sent.union(self.replicas.values())
        used = [before[replica.zone] for replica in known]
        self.zone_keys = list(dict.fromkeys(settings.zone_keys() + used))
        for replica, key in zip(known, used, strict=True):
            replica.zone = self.zone_keys.index(key)
        old_numbers = [before.index(key) if key in before else -1 for key in self.zone_keys]
        for table in (self.zone_load_ms, self.zone_memory_share, self.zone_updated_at):
            table[:] = [table[n] if n >= 0 else 0.0 for n in old_numbers]
        self.serving, self.local_ring, self.remote_ring = [], HashRing(), HashRing()
        self.capacity = Capacity(settings.tip_after_ms)
        self.apply_list(i.ReplicaList(i.ListKind.CHANGES), now)

    def apply_list(self, event: i.ReplicaList, now: float) -> None:
        """Apply a replica list (rule 3: draining and removed replicas leave `serving` at once)."""
        before = set(self.serving)
        named = {entry.replica for entry in event.entries}
        for name in list(self.replicas) if event.kind is not i.ListKind.CHANGES else ():
            if name not in named:
                self.replicas.pop(name).serving = False
        for entry in event.entries:
            replica = self.replicas.get(entry.replica)
            if replica is None:
                replica = self.replicas[entry.replica] = Replica(entry)
            replica.update(entry)
            if entry.started_at_ms > replica.started_at:
                replica.started_at = entry.started_at_ms
                replica.report_at = replica.suspect_until = -1e12  # reports of the old process do not apply
                replica.suspect_count, replica.slow_factor, replica.decode_factor = 0, 1.0, 1.0
            if entry.state is i.ReplicaState.GONE:
                del self.replicas[entry.replica]
        self.serving = [r for r in self.replicas.values() if r.serving]
        self.slow_starting = [r for r in self.serving if r.started_at > max(0.0, now - self.settings.cold_ms)]
        self.local = [r for r in self.serving if r.zone == self.settings.zone]
        self.remote = [r for r in self.serving if r.zone != self.settings.zone]
        after = set(self.serving)
        for ring, members in ((self.local_ring, self.local), (self.remote_ring, self.remote)):
            ring.update([r for r in members if r not in before], after)
        self.capacity.set_members(self.serving, self.slow_starting)

    def preferred_replicas(self, request: Request, now: float) -> list[Replica]:
        """Replicas likely to have the prompt's prefix cached, best first: departure 1 of docs/design.md.

        Rendezvous hashing needs no communication between routers. A prefix prefers as many replicas as its
        traffic could fill, and its sessions are spread over them so that each returns to its own cache.
        """
        key = request.prefix or request.session
        if not key:
            return []
        self.prefixes.age(now, PREFIX_COUNT_HALF_LIFE_MS)
        self.prefixes.keyed_count += 1.0
        count = 1
        if request.prefix:
            self.prefixes.add(key)
            share = self.prefixes.share(key)
            wanted = PREFERRED_REPLICAS_FACTOR * len(self.local or self.remote) * share
            while count < wanted:
                count *= 2  # coarse steps, so that routers agree even where each counts few requests
        session = request.session or self.rng.getrandbits(63)
        # Ranking hundreds of replicas for each request costs too much.
        part = mix64(session, 2) % max(1, count // PREFERRED_PER_PART)
        chosen = (self.local_ring or self.remote_ring).walk(
            key + part, min(max(count, 2), PREFERRED_PER_PART)
        )
        if count > 1:
            chosen = sorted(chosen, key=lambda r: mix64(session, r.points[0]))[:2]
        return chosen + (self.remote_ring.walk(key, 1) if self.local_ring else [])

    def predict_wait(self, replica: Replica, now: float, with_failures: bool = False) -> float:
        """Predicted time until a replica starts to prefill another prompt, ms; `with_failures` adds to it."""
        weight = FRESH_REPORT_WEIGHT * max(0.0, 1.0 - (now - replica.report_at) / REPORT_FADE_MS)
        # An older mean counts as unknown, so that a zone without reports does not stay full.
        zone_known = now - self.zone_updated_at[replica.zone] < ZONE_MEAN_VALID_MS
        wait, memory = (
            self.zone_load_ms[replica.zone] * zone_known,
            self.zone_memory_share[replica.zone] * zone_known,
        )
        wait += weight * (replica.load_ms - wait)
        memory += weight * (replica.memory_share - memory)
        since = replica.report_at - REPORT_LAG_MS
        wait += sum(a.prefill_tokens for a in replica.unstarted if a.sent_at > since) / PREFILL_TOKENS_PER_MS
        wait += self.full_wait_ms * memory + max(0.0, memory - MEMORY_FULL_SHARE) * MEMORY_FULL_WAIT_MS
        if replica.probe_pending and now - replica.probed_at >= UNANSWERED_PROBE_SHARE * PROBE_HOLD_MS:
            wait += UNANSWERED_PROBE_WAIT_MS  # probe unanswered: paused, unresponsive or with much to prefill
        if replica.slow_factor > 1.0:
            wait *= 1.0 + (replica.slow_factor - 1.0) * exp((replica.slow_factor_at - now) / SLOW_FADE_MS)
        return wait + with_failures * FAILING_WAIT_MS * replica.failing_level * exp(
            (replica.failed_at - now) / SLOW_FADE_MS
        )

    def predict_prefill(self, request: Request, rank: int) -> float:
        """Tokens to prefill, by rank: first preferred replica, another preferred replica, any other."""
        uncached = request.prompt_tokens - request.shared_tokens * (
            1.0 - request.class_stats.prefix_miss_share[rank]
        )
        return min(uncached, request.class_stats.preferred_prefill_tokens) if rank == 0 else uncached

    def predict_first_token(self, wait_ms: float, prefill_tokens: float) -> float:
        """Predicted time to the first token, ms, from the wait before prefill and the tokens to prefill."""
        return (wait_ms + prefill_tokens / PREFILL_TOKENS_PER_MS) * self.late_factor + FIRST_TOKEN_OVERHEAD_MS

    def count_arrival(self, request: Request, now: float) -> None:
        """Count an arrival: the ratio of started to arriving requests bounds slow-starting replicas."""
        warm = None
        if self.slow_starting:
            # Unresponsive replicas start nothing, and must not lower the estimate for the others.
            warm = Counter(
                r.kind for r in self.serving if not (r.suspect_count or self.is_slow_starting(r, now))
            )
        preferred = request.preferred_replicas[0] if request.preferred_replicas else None
        self.capacity.count_arrival(now, preferred.id if preferred in self.slow_starting else None, warm)

    def is_slow_starting(self, replica: Replica, now: float) -> bool:
        """Whether the replica is in slow start."""
        return replica.started_at > 0.0 and now - replica.started_at < self.settings.cold_ms

    def slow_start_limit(self, replica: Replica, now: float) -> float:
        """Rule 4: what may be sent to a slow-starting replica, as a multiple of what a warm one starts."""
        settings, age = self.settings, max(0.0, now - replica.started_at)
        capacity_share = min(1.0, age / settings.cold_ms) if settings.cold_ms > 0.0 else 1.0
        return settings.overload_factor * (settings.cold_from + (1.0 - settings.cold_from) * capacity_share)

    def slow_start_allows(self, replica: Replica, request: Request, now: float, preferred: bool) -> bool:
        """Rule 4: whether slow start admits a request, by one draw for all its attempts (docs/design.md)."""
        if not self.is_slow_starting(replica, now):
            return True
        limit = self.slow_start_limit(replica, now)
        preferred_share = min(1.0, SLOW_START_PREFERRED_SHARE * limit)
        other_share = (SLOW_START_TOTAL_SHARE * limit - preferred_share) / max(1, len(self.serving))
        work = max(SLOW_START_WORK_MIN, request.expected_tokens / max(1.0, self.mean_work))
        # In overload more arrives than any replica can serve, so the limit follows what warm ones start.
        share = (preferred_share if preferred else other_share) * self.capacity.started_share(
            replica, now, preferred
        )
        share *= (SLOW_START_RESUMED_SHARE if request.resumed else 1.0) / work**2
        return mix64(request.slow_start_draw, replica.points[0]) < share * 2.0**64

    def record_report(self, replica: Replica, report: i.Report | None, lag_ms: float, now: float) -> None:
        """Record load from a probe answer or outcome; after a timeout, the lag is a lower bound of it."""
        replica.report_at, load_ms = now, lag_ms
        if report is not None:
            replica.sends_reports = True
            load_ms = max(lag_ms, report.unread_tokens / PREFILL_TOKENS_PER_MS) + QUEUED_REQUEST_MS * max(
                report.queued, 0.0
            )
            replica.memory_share = max(report.memory_share, report.busy_share, 0.0)
            self.zone_memory_share[replica.zone] += ZONE_MEAN_WEIGHT * (
                replica.memory_share - self.zone_memory_share[replica.zone]
            )
            self.recent_answers.append((now, replica))
        replica.load_ms, self.zone_updated_at[replica.zone] = load_ms, now
        # A few long queues do not represent the chosen replicas: one counts as twice the mean at most.
        mean = self.zone_load_ms[replica.zone]
        self.zone_load_ms[replica.zone] += ZONE_MEAN_WEIGHT * (
            min(load_ms, 2.0 * max(mean, QUEUED_REQUEST_MS)) - mean
        )

    def mark_alive(self, replica: Replica, now: float) -> None:
        """Record a response; ends any suspicion."""
        replica.last_response_at = now
        replica.suspect_until, replica.suspect_count, replica.unresponsive = -1e12, 0, False

    def mark_suspect(self, replica: Replica, now: float) -> None:
        """Exclude an unresponsive replica for a limited time that grows with repetition.

        Once it counts as unresponsive, each failed probe prolongs the exclusion. Otherwise it would get
        requests whenever an exclusion ends, before its next probe has failed.
        """
        if now < replica.suspect_until and not replica.unresponsive:
            return
        duration_ms = min(SUSPECT_MAX_MS, SUSPECT_MS * 2.0**replica.suspect_count)
        replica.suspect_count = min(replica.suspect_count + 1, 4)
        replica.suspect_until = now + duration_ms * (0.75 + 0.5 * self.rng.random())

    def record_lateness(self, replica: Replica, ratio: float, now: float) -> None:
        """Record that a first token took `ratio` times the prediction, for this replica and in general."""
        self.late_factor = min(
            LATE_FACTOR_MAX, max(1.0, self.late_factor * (1.0 + MEAN_WEIGHT * (min(ratio, 4.0) - 1.0)))
        )
        slow_factor = 1.0 + (replica.slow_factor - 1.0) * exp((replica.slow_factor_at - now) / SLOW_FADE_MS)
        replica.slow_factor, replica.slow_factor_at = (
            max(1.0, min(SLOW_FACTOR_MAX, 0.5 * slow_factor + 0.5 * ratio)),
            now,
        )

    def record_prefill(self, request: Request, attempt: Attempt, cached_tokens: int) -> None:
        """Update the averages of prefix cache hits from a served attempt."""
        prefill_tokens = max(1.0, float(request.prompt_tokens - cached_tokens))
        if attempt.rank == 0:
            request.class_stats.preferred_prefill_tokens += MEAN_WEIGHT * (
                prefill_tokens - request.class_stats.preferred_prefill_tokens
            )
        if request.shared_tokens > 0:
            miss_share = min(
                1.0,
                max(
                    0.0,
                    (prefill_tokens - (request.prompt_tokens - request.shared_tokens))
                    / request.shared_tokens,
                ),
            )
            request.class_stats.prefix_miss_share[attempt.rank] += MEAN_WEIGHT * (
                miss_share - request.class_stats.prefix_miss_share[attempt.rank]
            )


Choice = tuple[Replica, int, float, float]  # replica, rank (as in predict_prefill), predicted wait, tokens


class Router:
    """One router's decisions: `handle` takes events and returns actions, both in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings = settings
        self.rng, self.slow_start_rng = Random(seed), Random(~seed)
        self.pool, self.pacing = ReplicaPool(settings, self.rng), Pacing(settings, self.rng)
        self.requests: dict[str, Request] = {}
        self.entitlements, self.class_stats = dict[i.Key, Entitlement](), dict[i.Key, ClassStats]()
        self.actions: list[i.Action] = []
        self.now, self.hedge_budget, self.started = 0.0, 1.0, False
        self.configure(settings)
        self.subscribed, self.list_call_pending, self.list_called_at, self.list_due_at = (
            not settings.subscribe,
            False,
            0.0,
            0.0,
        )
        self.awaiting_probe: dict[str, list[Request]] = {}  # held requests, by the probed replica
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.RequestArrived: self._on_request,
            i.ProbeAnswered: self._on_probe_answer,
            i.TimerFired: self._on_timer,
            i.AttemptEnded: self._on_attempt_end,
            i.StreamStarted: self._on_stream_start,
            i.ReplicaList: self._on_list,
            i.RequestGone: self._on_client_disconnected,
        }

    def configure(self, settings: i.Settings) -> None:
        """Apply settings; accounts and averages are kept for tenants and classes whose names remain."""
        tenants = set(settings.tenant_keys())
        self.entitlements = {key: e for key, e in self.entitlements.items() if key in tenants}
        self.settings = self.pacing.settings = settings
        sent = {attempt.replica for request in self.requests.values() for attempt in request.attempts}
        self.pool.configure(settings, sent, self.now)
        self.mean_objective_ms = settings.mean_aim()
        self.class_terms = self._class_terms(settings)
        self.class_stats = {
            key: of[2] for key, of in zip(settings.class_keys(), self.class_terms, strict=True)
        }
        full_waits_ms = [
            FULL_WAIT_TOKEN_OBJECTIVES * c.token_aim_ms for c in settings.classes if c.token_aim_ms > 0
        ]
        self.full_wait_ms = self.pool.full_wait_ms = (
            sum(full_waits_ms) / len(full_waits_ms)
            if full_waits_ms
            else FULL_WAIT_OBJECTIVE_SHARE * self.mean_objective_ms
        )
        self.hedges_per_request = min(
            HEDGES_PER_REQUEST_MAX, HEDGE_WASTE_BUDGET / max(settings.waste_fee, 1e-9)
        )

    def _class_terms(self, settings: i.Settings) -> list[ClassTerms]:
        """Terms of each class of these settings; its averages are found by its name, or start anew."""
        relative_objectives = [cls.aim_ms / settings.mean_aim() for cls in settings.classes]
        tiers = settings.ranks(len(CLASS_WEIGHTS))
        weights = [
            CLASS_WEIGHTS[t] / (1.0 + ALPHA_SLO * objective)
            for t, objective in zip(tiers, relative_objectives, strict=True)
        ]
        stats = [self.class_stats.get(key) or ClassStats() for key in settings.class_keys()]
        return list(zip(weights, tiers, stats, strict=True))

    def handle(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Actions for a batch of events that happened at `now_ms`."""
        self.now, self.actions = now_ms, []
        if not self.started:
            self.started = True
            self._timer("sweep", SWEEP_INTERVAL_MS * (0.5 + self.rng.random()))
            if self.settings.subscribe:
                # Routers that start together would overload the list service.
                self._timer("list", self.pacing.first_call_ms())
        for event in events:
            self.handlers[type(event)](event)
        return self.actions

    def _timer(self, token: str, in_ms: float) -> None:
        self.actions.append(i.SetTimer(token, max(in_ms, 0.0)))

    def _on_list(self, event: i.ReplicaList) -> None:
        if event.kind is i.ListKind.FAILED:
            pause_ms = (
                self.pacing.call_failed_ms(self.now - self.list_called_at)
                if self.list_call_pending
                else self.pacing.watch_ended_ms()
            )
            self.subscribed = self.list_call_pending = False
            self.list_due_at = self.now + pause_ms  # timers of earlier failures make no further call
            return self._timer("list", pause_ms)
        if event.kind is not i.ListKind.RESTORED:
            self.subscribed, self.list_call_pending = True, False
            self.pacing.call_answered()
        self.pool.apply_list(event, self.now)

    def _on_timer(self, event: i.TimerFired) -> None:
        token = event.token
        if token == "sweep":
            self._sweep()
        elif token == "list" and not (
            self.subscribed or self.list_call_pending or self.now < self.list_due_at - TIMER_RESOLUTION_MS
        ):
            self.list_call_pending, self.list_called_at = True, self.now
            self.actions.append(i.Subscribe())
        elif token[:2] == "h:":
            if token[2:] in self.requests and self.requests[token[2:]].held:
                self._decide(self.requests[token[2:]])
        elif token[:2] == "s:":
            number, _, name = token[2:].partition(":")
            if name in self.requests and number.isdigit():
                self._on_late_start(self.requests[name], int(number))

    def _sweep(self) -> None:
        self._timer("sweep", SWEEP_INTERVAL_MS * (0.75 + 0.5 * self.rng.random()))
        if self.list_call_pending and self.now - self.list_called_at > LIST_CALL_LOST_MS:
            self.list_call_pending = False  # a call that is never answered must not be the last one
            self._on_timer(i.TimerFired("list"))
        probes_sent = 0
        for replica in self.pool.serving:
            # An answer to this probe ends a suspicion early. Where a waiting prompt is the only sign that a
            # replica stopped responding, its failure starts one: the late timer may have fired before that.
            lost = any(self.now - a.sent_at > SWEEP_INTERVAL_MS and not a.lost for a in replica.unstarted)
            quiet = replica.suspect_count or lost or replica.quiet_ms(self.now) >= SILENCE_MS
            if replica.failing_level >= 0.5:
                # It may lose further prompts, and none is overtaken where nothing is sent after them.
                now = self.now
                self._resend([a for a in replica.unstarted if now - a.sent_at > LOST_FACTOR * a.predicted_ms])
            if quiet and self.now - replica.probed_at > SUSPECT_MS and probes_sent < 2:
                probes_sent += self._probe(replica)

    def _probe(self, replica: Replica) -> bool:
        if not self.settings.probing or replica.probe_pending:
            return False
        replica.probe_pending, replica.probed_at = True, self.now
        self.actions.append(i.Probe(replica.id))
        return True

    def _on_probe_answer(self, event: i.ProbeAnswered) -> None:
        replica, waiting = self.pool.replicas.get(event.replica), self.awaiting_probe.pop(event.replica, ())
        if replica is None:
            return
        replica.probe_pending = False
        if event.outcome is i.Outcome.SERVED:
            self.pool.mark_alive(replica, self.now)
            if event.report is not None or not replica.sends_reports:
                # An unreadable report says nothing; from a replica that never sends any, the lag is the load.
                self.pool.record_report(replica, event.report, event.lag_ms, self.now)
            if event.report is not None and 0.0 <= event.report.unread_tokens < IDLE_UNREAD_TOKENS:
                self._mark_lost(replica, self.now - REPORT_LAG_MS - event.lag_ms)
        elif event.outcome is not i.Outcome.MOOT:
            # Probes that are served like requests time out in overload: that shows load, and must not exclude
            # every replica. It counts against the replica only where the zone's other replicas answer.
            zone_load_ms = self.pool.zone_load_ms[replica.zone]
            self.pool.record_report(replica, None, max(2.0 * event.lag_ms, self.full_wait_ms), self.now)
            if event.outcome is not i.Outcome.FULL and zone_load_ms < self.full_wait_ms:
                # Probes queue behind prefill: only a long time without any response is silence.
                replica.unresponsive = replica.unresponsive or replica.quiet_ms(self.now) >= SILENCE_MS
                self.pool.mark_suspect(replica, self.now)
                if replica.unresponsive:
                    self._resend(list(replica.unstarted))
        for request in (r for r in waiting if r.held):
            self._decide(request)

    def _on_request(self, event: i.RequestArrived) -> None:
        settings, pool = event.settings or self.settings, self.pool
        if event.request in self.requests:
            return
        if not 0 <= event.cls < len(settings.classes):  # unknown class: nothing may be assumed about it
            return self.actions.append(i.Refuse(event.request))
        terms = self.class_terms if settings is self.settings else self._class_terms(settings)
        self.requests[event.request] = request = Request(event, settings, terms[event.cls], self.now)
        answer_tokens = request.class_stats.mean_answer_ms / DECODE_MS_PER_TOKEN
        request.expected_tokens, request.slow_start_draw = (
            request.prompt_tokens + answer_tokens,
            self.slow_start_rng.getrandbits(63),
        )
        pool.mean_request_tokens += MEAN_WEIGHT * (request.expected_tokens - pool.mean_request_tokens)
        pool.mean_work += max(MEAN_WEIGHT, 1.0 / next(pool.arrivals)) * (
            request.expected_tokens - pool.mean_work
        )
        self.hedge_budget = min(HEDGE_BUDGET_MAX, self.hedge_budget + self.hedges_per_request)
        request.preferred_replicas = pool.preferred_replicas(request, self.now)
        pool.count_arrival(request, self.now)
        if self.settings.probing:
            probe_remote = pool.remote and (not pool.local or self.rng.random() < CROSS_ZONE_PROBE_SHARE)
            members = pool.remote if probe_remote else pool.local
            if members:
                probed = members[int(self.rng.random() * len(members))]
                if self.now >= probed.suspect_until:
                    self._probe(probed)
            preferred = next(
                (r for r in request.preferred_replicas if r.serving and self.now >= r.suspect_until), None
            )
            if preferred is not None and self.now - preferred.report_at > PREFERRED_REPORT_FRESH_MS:
                self._probe(preferred)
                if preferred.zone == self.settings.zone or not pool.local:
                    # Departure 2: a preferred replica without a recent report is probed first. In a large
                    # fleet, a replica's reports reach one router many seconds apart, and old ones do not
                    # show its load.
                    request.held = True
                    self.awaiting_probe.setdefault(preferred.id, []).append(request)
                    hold_ms = min(
                        PROBE_HOLD_MS, 0.05 * request.cls.aim_ms, 0.2 * (request.deadline - self.now)
                    )
                    return self._timer("h:" + request.id, hold_ms)
        self._decide(request)

    def _baseline_rate(self, request: Request) -> float:
        """Baseline rate of a request's tenant over all routers, tokens per ms."""
        if request.quota_per_s > 0.0:
            return request.quota_per_s * self.pool.mean_request_tokens / 1000.0
        # No quota set: an equal share of the capacity, estimated from usage and probed fullness.
        pool, zone = self.pool, self.settings.zone
        fullness = max(
            0.1, min(1.0, max(pool.zone_load_ms[zone] / self.full_wait_ms, pool.zone_memory_share[zone]))
        )
        used = sum(e.usage_rate(self.now) for e in self.entitlements.values())
        share = used * self.settings.nodes / fullness / max(1, len(self.entitlements))
        return max(share, self.pool.mean_request_tokens / QUOTA_BURST_MS)

    def _decide(self, request: Request) -> None:
        """Run the admission checks in the order of docs/design.md, then place the request."""
        request.held = False
        now, settings, pool = self.now, self.settings, self.pool
        entitlement = self.entitlements.setdefault(request.tenant, Entitlement())
        choice = fastest = self._choose(request)
        if choice is not None and choice[2] * pool.late_factor > self.full_wait_ms:
            # A busy preferred replica is no reason to refuse a request that others have room for. Where all
            # are busy, the request waits for the preferred one while it can be in time: prefill elsewhere
            # would fill the fleet. The busier the fleet, the more requests a prefill delays, so the higher
            # its cost.
            prefill_weight = min(
                1.0, max(0.0, pool.zone_load_ms[settings.zone] - QUEUED_REQUEST_MS) / self.full_wait_ms
            )
            fastest = self._choose(request, prefill_weight) or choice
            first_token_ms = pool.predict_first_token(*choice[2:])
            others_busy = fastest[2] * pool.late_factor >= PREFERRED_FULLNESS_SHARE * self.full_wait_ms
            choice = (
                choice
                if others_busy and first_token_ms <= PREFERRED_OBJECTIVE_SHARE * request.objective_ms
                else fastest
            )
        if choice is None or fastest is None:  # before the first list, retries must not come all at once
            return self._finish(request, 0.0 if pool.serving else settings.max_retry_after_ms / 1.5)
        wait_ms, prefill_tokens = fastest[2:]
        quota_rate = self._baseline_rate(request) / settings.nodes
        standing = (1.0 + ALPHA_DEBT * entitlement.debt) / (1.0 + ALPHA_BURST * entitlement.burst)
        request.priority = request.weight * standing * request.standing
        first_token_ms = pool.predict_first_token(wait_ms, prefill_tokens)
        wait_ms *= pool.late_factor
        if not request.resumed:
            bucket_tokens = entitlement.refill(now, quota_rate, pool.mean_request_tokens)
            refused = False
            if wait_ms > self.full_wait_ms and not request.promised:
                concurrency = (
                    (request.class_stats.mean_answer_ms + self.mean_objective_ms)
                    * quota_rate
                    / pool.mean_request_tokens
                )
                refused = (
                    entitlement.in_flight >= max(2.0 * concurrency, QUOTA_BURST_MIN_REQUESTS)
                    or bucket_tokens < request.expected_tokens
                )
                # Departure 3: nearly every request beats the lowest of many, so the cut rises with fullness.
                priorities = (r.priority for r in reversed(self.requests.values()) if r.entitlement)
                admitted = sorted(islice(priorities, PRIORITY_CUT_SAMPLE))
                excess = min(1.0, (wait_ms / self.full_wait_ms - 1.0) / PRIORITY_CUT_SPAN)
                cut = admitted[int(excess * (len(admitted) - 1))] if admitted else 0.0
                refused = refused or request.priority <= cut
            if (
                refused
                or now + first_token_ms > request.arrived_at + REFUSE_ABOVE_OBJECTIVES * request.objective_ms
            ):
                return self._finish(request, wait_ms)
        entitlement.bucket_tokens -= request.expected_tokens
        entitlement.usage_rate(now)
        entitlement.used_tokens += request.expected_tokens
        entitlement.in_flight += 1
        request.entitlement = entitlement
        self._send(request, *choice)

    def _choose(self, request: Request, prefill_weight: float = 1.0) -> Choice | None:
        """The cheapest of the preferred and recently probed replicas; without prefill cost, the soonest."""
        pool, now = self.pool, self.now
        while pool.recent_answers and now - pool.recent_answers[0][0] > PROBE_POOL_MS:
            pool.recent_answers.popleft()
        candidates = [(preferred, min(rank, 1)) for rank, preferred in enumerate(request.preferred_replicas)]
        candidates += [(r, 2) for _, r in pool.recent_answers if r not in request.preferred_replicas]
        # A router seldom probes a slow-starting replica by chance: those open to this request always compete.
        starting = [
            r
            for r in pool.slow_starting
            if pool.is_slow_starting(r, now) and r not in request.preferred_replicas
        ]
        candidates += [(r, 2) for r in starting if pool.slow_start_allows(r, request, now, False)]
        best = self._cheapest(request, candidates, False, prefill_weight)
        if best is None and pool.serving:
            # Suspicion must never empty the candidate set.
            sampled = [(pool.serving[int(self.rng.random() * len(pool.serving))], 2) for _ in range(6)]
            best = self._cheapest(request, sampled, False) or self._cheapest(
                request, candidates + sampled, True
            )
        return best

    def _cheapest(
        self,
        request: Request,
        candidates: list[tuple[Replica, int]],
        allow_suspects: bool,
        prefill_weight: float = 1.0,
    ) -> Choice | None:
        pool, now = self.pool, self.now
        tried = [a.replica for a in request.attempts]
        prefill_factor = 1.0 + (PREFILL_COST_FACTOR - 1.0) * prefill_weight
        cross_zone_cost = CROSS_ZONE_FEE_OBJECTIVES * self.settings.cross_zone_fee * request.objective_ms
        best: Choice | None = None
        lowest_cost = 1e18
        for replica, rank in candidates:
            if (
                not replica.serving
                or replica in tried
                or (now < replica.suspect_until and not allow_suspects)
            ):
                continue
            prefill_tokens = pool.predict_prefill(request, rank)
            wait = pool.predict_wait(replica, now)
            # Failures make a replica dearer than others, but must not make the fleet look full.
            cost = (
                pool.predict_wait(replica, now, True)
                + RUNNING_STREAM_COST_MS * replica.running_streams
                + prefill_factor * prefill_tokens / PREFILL_TOKENS_PER_MS
            )
            cost = (cost + self.full_wait_ms * max(0.0, replica.decode_factor - 1.0)) * (
                1.0 + 0.1 * self.rng.random()
            )
            if replica.zone != self.settings.zone:
                cost += cross_zone_cost
            elif wait * pool.late_factor > self.full_wait_ms and pool.remote:
                # A full zone must not refuse a request that another zone has room for.
                cost += request.objective_ms
            allowed = not request.attempts or request.may_send(replica, now)
            if cost < lowest_cost and allowed and pool.slow_start_allows(replica, request, now, rank == 0):
                best, lowest_cost = (replica, rank, wait, prefill_tokens), cost
        return best

    def _send(
        self, request: Request, replica: Replica, rank: int, wait: float, prefill_tokens: float
    ) -> None:
        now, pool = self.now, self.pool
        attempt = Attempt(request, replica, now, prefill_tokens, rank)
        attempt.predicted_ms = predicted_ms = pool.predict_first_token(wait, prefill_tokens)
        request.attempts.append(attempt)
        replica.unstarted.append(attempt)
        self.actions.append(i.Send(request.id, replica.id))
        late_ms = max(
            HEDGE_MIN_MS,
            min(HEDGE_FACTOR * predicted_ms, max(HEDGE_OBJECTIVE_SHARE * request.objective_ms, predicted_ms)),
        )
        if now + late_ms < request.deadline and len(request.attempts) < request.settings.max_attempts:
            self._timer(f"s:{len(request.attempts) - 1}:{request.id}", late_ms)

    def _on_late_start(self, request: Request, number: int) -> None:
        """Probe the replica of an attempt that has not started in time; hedge where that can still serve."""
        attempt = request.attempts[number] if number < len(request.attempts) else None
        if request.closed or request.started or attempt is None or attempt.outcome is not None:
            return
        replica = attempt.replica
        self.pool.record_lateness(
            replica, (self.now - attempt.sent_at) / max(attempt.predicted_ms, 50.0), self.now
        )
        if replica.last_response_at < attempt.sent_at:
            self._probe(replica)
            if replica.probed_at < self.now - HEDGE_MIN_MS:
                self.pool.mark_suspect(replica, self.now)
        if (
            number != len(request.attempts) - 1
            or self.hedge_budget < 1.0
            or len(self.pool.serving) <= number + 1
        ):
            return  # prevents retry storms: few requests are hedged; with no other replica, late is better
        choice = self._choose(request) if request.settings.second_copies else None
        if choice is not None:
            left_ms = request.arrived_at + request.objective_ms - self.now
            if (
                choice[2] * self.pool.late_factor < self.full_wait_ms
                and self.pool.predict_first_token(*choice[2:]) < left_ms
            ):
                self.hedge_budget -= 1.0
                self._send(request, *choice)
        elif not request.settings.second_copies and request.settings.cancelling and request.may_refuse():
            self.hedge_budget -= 1.0
            self.actions.append(i.Cancel(request.id, number))  # the next attempt follows its outcome

    def _mark_failing(self, replica: Replica) -> None:
        """Count an error as a wait for a while: a replica that fails fast looks idle and draws requests."""
        replica.failing_level, replica.failed_at = min(1.0, replica.failing_level + 0.5), self.now

    def _mark_lost(self, replica: Replica, before: float) -> None:
        """Resend older attempts that have not started; a replica that loses some looks idle as well."""
        lost = [a for a in replica.unstarted if a.sent_at < before]
        for attempt in (a for a in lost if not a.lost):
            attempt.lost = True
            self._mark_failing(replica)
        self._resend(lost)

    def _resend(self, lost: list[Attempt]) -> None:
        """Send requests to another replica, too, if their replica is unresponsive or has lost their attempts.

        Replicas prefill prompts in order of arrival: one sent well before another that has started is lost.
        Hedges are limited to prevent retry storms. These attempts need no such limit: their number is bounded
        by what one replica had when it stopped responding, or by what it loses, and they waste little work on
        the first attempt.
        """
        for attempt in lost:
            request = attempt.request
            last = request.attempts[-1] is attempt and not request.closed and not request.started
            if last and self.now - attempt.sent_at >= HEDGE_MIN_MS and request.settings.second_copies:
                choice = self._choose(request)
                if choice is not None and choice[0].suspect_until <= self.now:
                    self._send(request, *choice)

    def _on_stream_start(self, event: i.StreamStarted) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        self.pool.mark_alive(attempt.replica, self.now)
        if attempt in attempt.replica.unstarted:
            attempt.replica.unstarted.remove(attempt)
        attempt.replica.running_streams += attempt.first_token_ms < 0.0
        attempt.first_token_ms = self.now - attempt.sent_at
        self._mark_lost(attempt.replica, attempt.sent_at - OVERTAKEN_MS)
        self.pool.record_lateness(
            attempt.replica, attempt.first_token_ms / max(attempt.predicted_ms, 100.0), self.now
        )
        if not (request.started or self.pool.is_slow_starting(attempt.replica, self.now)):
            self.pool.capacity.count_start(attempt.replica.kind)
        request.started = True
        self._cancel_others(request, event.attempt)

    def _cancel_others(self, request: Request, keep: int) -> None:
        for number, attempt in enumerate(request.attempts):
            if number != keep and attempt.outcome is None and request.settings.cancelling:
                self.actions.append(i.Cancel(request.id, number))

    def _on_attempt_end(self, event: i.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        outcome, replica, now = event.outcome, attempt.replica, self.now
        attempt.outcome = outcome
        if attempt in replica.unstarted:
            replica.unstarted.remove(attempt)
        replica.running_streams -= attempt.first_token_ms >= 0.0
        if outcome is i.Outcome.SERVED:
            self.pool.mark_alive(replica, now)
            if attempt.first_token_ms >= 0.0:
                answer_ms, mean_answer_ms = (
                    now - attempt.sent_at - attempt.first_token_ms,
                    request.class_stats.mean_answer_ms,
                )
                replica.decode_factor += (
                    2.0 * MEAN_WEIGHT * (min(answer_ms / mean_answer_ms, 4.0) - replica.decode_factor)
                )
                request.class_stats.mean_answer_ms += MEAN_WEIGHT * (answer_ms - mean_answer_ms)
            self.pool.record_prefill(request, attempt, event.kept_tokens)
            replica.failing_level *= 0.7
        elif outcome is i.Outcome.REJECTED:
            # A client's error must not count against replicas, or be retried on others: a few faulty clients
            # made all replicas look failing, and ordinary requests were refused.
            self.pool.mark_alive(replica, now)
            if not (request.closed or request.started or event.closed):
                self.actions.append(i.Fail(request.id))
            return self._close(request)
        elif outcome is i.Outcome.FULL:
            self.pool.mark_alive(replica, now)
            self.pool.record_report(replica, None, 2.0 * self.full_wait_ms, now)
        elif outcome is i.Outcome.ERROR:
            self._mark_failing(replica)
        elif outcome is i.Outcome.UNREADABLE:
            # Every replica gives such answers equally: excluding one would only move its load to the others.
            self.pool.mark_alive(replica, now)
        elif (
            outcome not in (i.Outcome.CANCELLED, i.Outcome.MOOT)
            and replica.last_response_at < attempt.sent_at
        ):
            self.pool.mark_suspect(replica, now)
        if event.report is not None:
            self.pool.record_report(replica, event.report, 0.0, now)
        if event.closed or request.closed or outcome is i.Outcome.SERVED:
            self._close(request)
        elif not request.has_open_attempt():
            self._retry(request)

    def _on_client_disconnected(self, event: i.RequestGone) -> None:
        if event.request in self.requests:
            self._close(self.requests[event.request])

    def _retry(self, request: Request) -> None:
        """After every attempt has failed, send another where that is safe and in time, or give up."""
        if self.now + 2.0 * self.settings.tick_ms < request.deadline:
            choice = self._choose(request)
            if choice is not None:
                return self._send(request, *choice)
        self._finish(request)

    def _finish(self, request: Request, wait_ms: float = 0.0) -> None:
        """Give the final answer (rule 1): a refusal if a retry is harmless (rule 2), otherwise a failure."""
        if request.may_refuse() and self.now < request.deadline:
            pause_ms = max(wait_ms, 100.0) * (0.75 + 0.75 * self.rng.random()) * request.settings.retry_after
            self.actions.append(i.Refuse(request.id, min(pause_ms, request.settings.max_retry_after_ms)))
        else:
            self.actions.append(i.Fail(request.id))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Close a request: send nothing more, and settle its entitlement (equations 2 and 3)."""
        if not request.closed:
            request.closed, request.held = True, False
            self._cancel_others(request, -1)
            entitlement, request.entitlement = request.entitlement, None
            if entitlement is not None:
                entitlement.in_flight -= 1
                quota_rate, pool = self._baseline_rate(request) / self.settings.nodes, self.pool
                concurrency = (
                    (request.class_stats.mean_answer_ms + self.mean_objective_ms)
                    * quota_rate
                    / pool.mean_request_tokens
                )
                entitlement.settle(self.now, quota_rate, concurrency, request.tier < 2)
        if not request.has_open_attempt():
            self.requests.pop(request.id, None)
