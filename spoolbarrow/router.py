"""The decisions of one node; every type, event and action it uses is defined in interface.py.

Ordinary path: token pools (W. J. Cunningham, "Token Management in Multi-Tenant AI Inference Platforms",
CAIS '26, sections 3 and 4.3). A request names its tenant's entitlement; the ordered checks admit it or
refuse it at once; a small pool of fresh probe answers places it on its least loaded replica. What departs
from that, when it acts and why, stands in docs/design.md; here each guard says what it guards against.
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

# Priority (paper 3.3, equation 1; section 4.3)
CLASS_WEIGHTS = (1000.0, 100.0, 1.0, 0.1)  # by worth rank: guaranteed, elastic, spot, preemptible
ALPHA_SLO, ALPHA_BURST, ALPHA_DEBT = 2.0, 1.0, 4.0  # the paper's coefficients
GAMMA = 0.7  # kept share of debt and burst at a completion, the paper's
DEBT_FLOOR = -0.2  # credit at which the debt factor would leave 1 + 4d >= 0.2: it must stay positive
USAGE_WINDOW_MS = 5000.0  # usage is a rate over this span: some requests even in a thin slice
QUOTA_BURST_MS = 4000.0  # a slice saves up so much: Poisson arrivals are not a flood
QUOTA_BURST_MIN_REQUESTS = 2.0  # requests; a slice below one request must still let one through
# Fullness
FULL_WAIT_TOKEN_OBJECTIVES = (
    12.0  # token aims: waits are guessed from few reports, and most come true far below the guess
)
FULL_WAIT_OBJECTIVE_SHARE = 0.25  # of the mean aim, where no token aim is told
REFUSE_ABOVE_OBJECTIVES = (
    1.0  # aims; predicted later than this, an attempt is refused: late, it would only make others late
)
PRIORITY_CUT_SAMPLE, PRIORITY_CUT_SPAN = (
    200,
    1.0,
)  # newest admitted, for the cut; fullness beyond full at which it is highest
MEMORY_FULL_SHARE, MEMORY_FULL_WAIT_MS = (
    0.85,
    4000.0,
)  # memory held: beyond it requests are thrown back; wait for all beyond
QUEUED_REQUEST_MS = 30.0  # wait counted for a request in the queue
# Reports
FRESH_REPORT_WEIGHT = (
    0.6  # of a fresh answer against its zone's mean: others sent too, and the least of several flatters
)
ZONE_MEAN_WEIGHT = 0.15  # weight of one answer in its zone's mean: few come from other zones
ZONE_MEAN_VALID_MS = 8000.0  # an unprobed zone's mean is believed so long
REPORT_FADE_MS = 4000.0  # a report older than this says no more than the zone's mean
REPORT_LAG_MS = 600.0  # own sends of that time before a report may not be in it
PROBE_POOL_MS, PROBE_POOL_SIZE = 2000.0, 5  # answers older than this leave the pool; so many are compared
PREFERRED_REPORT_FRESH_MS = 700.0  # a home's answer younger than this needs no new probe
PROBE_HOLD_MS = 25.0  # a request waits so long at most for its home's answer
UNANSWERED_PROBE_WAIT_MS = (
    1200.0  # wait counted for a home that does not answer within the hold: probes wait like prompts
)
UNANSWERED_PROBE_SHARE = (
    0.9  # of the hold: a timer that fires on the very millisecond must not miss the silence
)
CROSS_ZONE_PROBE_SHARE = 0.2  # share of the spare probes, one a request, that go to other zones
# Reading
PREFILL_TOKENS_PER_MS = 12.0  # tokens a millisecond; an order of magnitude, since loads are only compared
RUNNING_STREAM_COST_MS = (
    40.0  # a stream of this node's that runs there; on a slow replica they last, and add up
)
PREFILL_COST_FACTOR = (
    8.0  # a token read keeps all who run on the replica waiting, not only the request itself
)
FIRST_TOKEN_OVERHEAD_MS, DECODE_MS_PER_TOKEN = (
    30.0,
    30.0,
)  # first-token time that is not reading; streaming time taken as one token
MEAN_WEIGHT = 0.05  # weight of one sample in learnt means
# Homes
PREFERRED_OBJECTIVE_SHARE, PREFERRED_FULLNESS_SHARE = (
    0.65,
    0.4,
)  # of the aim, and of fullness: see where they are used
PREFERRED_REPLICAS_FACTOR = 2.0  # homes of a prefix, as a multiple of the replicas its traffic could fill
PREFERRED_PER_PART = (
    16  # homes among which a session is placed: a prefix with more has them in parts of so many
)
PREFIX_COUNT_HALF_LIFE_MS = 60000.0  # prefix counts halve in this time
CROSS_ZONE_FEE_OBJECTIVES = (
    3.0  # cross-zone fee in aims of waiting: missing an aim loses the worth the fee is a share of
)
# Health
SUSPECT_MS, SUSPECT_MAX_MS = 1000.0, 8000.0  # first and longest time a silent replica is left out
SILENCE_MS = 1500.0  # with a prompt waiting and a probe failed: less is a pause, or long prompts being read
OVERTAKEN_MS = 500.0  # a prompt sent so long before one that has started was swallowed
IDLE_UNREAD_TOKENS = 200.0  # with no more than that to read, a prompt that waits for long is not there
LOST_FACTOR = 4.0  # predicted first-token times after which one is given up where others were swallowed
SLOW_FACTOR_MAX, SLOW_FADE_MS = 8.0, 10000.0  # largest factor believed of a slow replica, and its half life
FAILING_WAIT_MS = 2000.0  # wait counted for a replica whose attempts of late all ended in errors
HEDGE_FACTOR, HEDGE_MIN_MS = 2.0, 200.0  # a second attempt after so many predicted first-token times,
HEDGE_OBJECTIVE_SHARE = 0.5  # but not later than this share of the aim, so that it can still serve in time
HEDGE_WASTE_BUDGET, HEDGES_PER_REQUEST_MAX, HEDGE_BUDGET_MAX = (
    0.004,
    0.2,
    5.0,
)  # waste paid for them, most for each request, saved up
LATE_FACTOR_MAX = (
    6.0  # largest general factor of late first tokens: loaded replicas read slower than idle ones
)
SWEEP_INTERVAL_MS = 500.0  # between looks at what no event wakes
SLOW_START_TOTAL_SHARE, SLOW_START_PREFERRED_SHARE = (
    0.5,
    0.2,
)  # of what rule 4 tolerates: in all, for those at home there
SLOW_START_WORK_MIN, SLOW_START_RESUMED_SHARE = (
    0.5,
    0.05,
)  # mean works counted at least; chance of moved streams: they come at once
LIST_CALL_LOST_MS, TIMER_RESOLUTION_MS = (
    3500.0,
    1.0,
)  # a call without an answer for so long is lost; timers are so exact


class Replica:
    """What this node knows of a replica."""

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
        """Take over a line of the list."""
        self.zone, self.kind, self.cell = entry.zone, entry.kind, entry.cell
        self.serving = entry.state is i.ReplicaState.SERVING

    def quiet_ms(self, now: float) -> float:
        """How long a prompt waits here without any sign of life."""
        return now - max(self.last_response_at, self.unstarted[0].sent_at) if self.unstarted else 0.0


class Attempt:
    """One sending of a request."""

    def __init__(self, request: Request, replica: Replica, now: float, read: float, rank: int) -> None:
        self.request, self.replica, self.sent_at, self.prefill_tokens, self.rank = (
            request,
            replica,
            now,
            read,
            rank,
        )
        self.outcome: i.Outcome | None = None
        self.predicted_ms, self.first_token_ms, self.lost = 0.0, -1.0, False

    def may_have_run(self) -> bool:
        """Whether it ran or may yet run."""
        return self.outcome not in i.NEVER_RAN


class ClassStats:
    """What served requests of a class have taught, from a first guess on."""

    def __init__(self) -> None:
        self.mean_answer_ms, self.preferred_prefill_tokens = (
            60.0 * DECODE_MS_PER_TOKEN,
            600.0,
        )  # streaming; tokens read at a session's home
        self.prefix_miss_share = [0.5, 0.5, 0.9]  # share of the prefix read, by rank


ClassTerms = tuple[
    float, int, ClassStats
]  # of a class: its weight, its tier among the others, what it taught


class Request:
    """A client's request until its last attempt has ended, under the settings that it was taken under."""

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
        """Whether an attempt still has no outcome."""
        return any(a.outcome is None for a in self.attempts)

    def may_send(self, replica: Replica, now: float) -> bool:
        """Rule 2: whether one more attempt, on this replica, cannot cause a second effect."""
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
        """Rule 2: whether the client may be told that trying again is harmless."""
        keyed_to_all = self.cls.effect is i.Effect.KEYED and self.cls.group is i.Group.ALL
        harmless = self.cls.effect is i.Effect.SAFE or keyed_to_all
        return harmless or not any(a.may_have_run() for a in self.attempts)


class Entitlement:
    """A tenant's account at this node (paper 3.1 and 3.3): in-flight count, burst, debt and slice."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.burst = self.debt = self.used_tokens = self.used_at = self.bucket_tokens = self.bucket_at = 0.0

    def usage_rate(self, now: float) -> float:
        """Tokens a millisecond admitted here of late."""
        self.used_tokens, self.used_at = self.used_tokens * exp((self.used_at - now) / USAGE_WINDOW_MS), now
        return self.used_tokens / USAGE_WINDOW_MS

    def refill(self, now: float, slice_rate: float, request_tokens: float) -> float:
        """What the slice has saved up."""
        depth = max(slice_rate * QUOTA_BURST_MS, QUOTA_BURST_MIN_REQUESTS * request_tokens)
        gained = depth if self.bucket_at == 0.0 else slice_rate * (now - self.bucket_at)
        self.bucket_tokens, self.bucket_at = min(depth, self.bucket_tokens + gained), now
        return self.bucket_tokens

    def settle(self, now: float, slice_rate: float, concurrency: float, elastic: bool) -> None:
        """Equations 2 and 3, at a completion; throughput stands for memory too, which follows it."""
        share = self.usage_rate(now) / slice_rate if slice_rate > 0 else 1.0
        excess = 2.0 * max(0.0, share - 1.0) + max(0.0, self.in_flight / max(concurrency, 1.0) - 1.0)
        self.burst = GAMMA * self.burst + (1.0 - GAMMA) * excess
        if elastic:
            self.debt = max(DEBT_FLOOR, GAMMA * self.debt + (1.0 - GAMMA) * (1.0 - share))


class ReplicaPool:
    """The list, the pool of fresh probe answers, and what placing a request on a replica would cost."""

    def __init__(self, settings: i.Settings, rng: Random) -> None:
        self.rng = rng
        self.replicas: dict[str, Replica] = {}
        self.serving, self.local, self.remote, self.slow_starting = (list[Replica]() for _ in range(4))
        self.recent_answers: deque[tuple[float, Replica]] = deque(maxlen=PROBE_POOL_SIZE)
        self.local_ring, self.remote_ring = (
            HashRing[Replica](),
            HashRing[Replica](),
        )  # of own zone's replicas, of others'
        self.prefix_counts: dict[int, float] = {}
        self.keyed_count, self.counts_halved_at, self.prefix_count_sum, self.prefixes_seen_once = (
            0.0,
            0.0,
            0.0,
            0,
        )  # all, of prefixes, of ones
        self.mean_request_tokens = 2000.0  # mean tokens of a request, learnt
        self.mean_work, self.arrivals = (
            2000.0,
            count(1),
        )  # as mean_request_tokens, but from the first request on
        self.zone_load_ms, self.zone_memory_share, self.zone_updated_at = (
            list[float](),
            list[float](),
            list[float](),
        )
        self.zone_keys, self.late_factor, self.full_wait_ms = (
            list[i.Key](),
            1.0,
            0.0,
        )  # zones by their numbers here
        self.configure(settings, set(), 0.0)

    def configure(self, settings: i.Settings, sent: set[Replica], now: float) -> None:
        """Go by these settings; zones that they name or that replicas known or `sent` to are in are kept."""
        self.settings, before, known = settings, self.zone_keys, sent.union(self.replicas.values())
        used = [before[replica.zone] for replica in known]
        self.zone_keys = list(dict.fromkeys(settings.zone_keys() + used))
        for replica, key in zip(known, used, strict=True):
            replica.zone = self.zone_keys.index(key)
        old = [before.index(key) if key in before else -1 for key in self.zone_keys]
        for table in (self.zone_load_ms, self.zone_memory_share, self.zone_updated_at):
            table[:] = [table[n] if n >= 0 else 0.0 for n in old]
        self.serving, self.local_ring, self.remote_ring = [], HashRing(), HashRing()
        self.capacity = Capacity(settings.tip_after_ms)
        self.apply_list(i.ReplicaList(i.ListKind.CHANGES), now)

    def apply_list(self, event: i.ReplicaList, now: float) -> None:
        """Follow the list (rule 3: what drains or is gone is out of `serving` from here on)."""
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
                replica.report_at = replica.suspect_until = -1e12  # nothing known of the old process holds
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
        """Where the kept beginning of a request lies, best first: departure 1 of docs/design.md.

        Rendezvous hashing needs no talk between nodes. A prefix has as many homes as its traffic could
        fill; its sessions are spread over them, so that each comes back to what it left.
        """
        key = request.prefix or request.session
        if not key:
            return []
        if now - self.counts_halved_at > PREFIX_COUNT_HALF_LIFE_MS:
            self.counts_halved_at = now
            self.prefix_counts = {k: v / 2 for k, v in self.prefix_counts.items() if v > 0.5}
            self.keyed_count, self.prefix_count_sum = self.keyed_count / 2.0, sum(self.prefix_counts.values())
            self.prefixes_seen_once = sum(v <= 1.0 for v in self.prefix_counts.values())
        self.keyed_count += 1.0
        count = 1
        if request.prefix:
            heat = self.prefix_counts[key] = self.prefix_counts.get(key, 0.0) + 1.0
            # What was seen once stands for what was not seen (Good and Turing): the rest alone tells shares.
            self.prefix_count_sum, self.prefixes_seen_once = (
                self.prefix_count_sum + 1.0,
                self.prefixes_seen_once + (heat <= 1.0) - (1.0 < heat <= 2.0),
            )
            covered = (self.prefix_count_sum - self.prefixes_seen_once + 1.0) / (self.prefix_count_sum + 4.0)
            wanted = (
                PREFERRED_REPLICAS_FACTOR
                * len(self.local or self.remote)
                * covered
                * heat
                / (self.keyed_count + 5.0)
            )
            while count < wanted:
                count *= 2  # coarse steps: nodes that count few requests must still agree on homes
        session = request.session or self.rng.getrandbits(63)
        part = mix64(session, 2) % max(
            1, count // PREFERRED_PER_PART
        )  # ranking hundreds for each costs too much
        chosen = (self.local_ring or self.remote_ring).walk(
            key + part, min(max(count, 2), PREFERRED_PER_PART)
        )
        if count > 1:
            chosen = sorted(chosen, key=lambda r: mix64(session, r.points[0]))[:2]
        return chosen + (self.remote_ring.walk(key, 1) if self.local_ring else [])

    def predict_wait(self, replica: Replica, now: float, with_failures: bool = False) -> float:
        """Predicted time before a replica begins to read one more prompt, ms; more where it is failing."""
        weight = FRESH_REPORT_WEIGHT * max(0.0, 1.0 - (now - replica.report_at) / REPORT_FADE_MS)
        heard = (
            now - self.zone_updated_at[replica.zone] < ZONE_MEAN_VALID_MS
        )  # else unknown: fullness must not stick
        wait, memory = self.zone_load_ms[replica.zone] * heard, self.zone_memory_share[replica.zone] * heard
        wait += weight * (replica.load_ms - wait)
        memory += weight * (replica.memory_share - memory)
        since = replica.report_at - REPORT_LAG_MS
        wait += sum(a.prefill_tokens for a in replica.unstarted if a.sent_at > since) / PREFILL_TOKENS_PER_MS
        wait += self.full_wait_ms * memory + max(0.0, memory - MEMORY_FULL_SHARE) * MEMORY_FULL_WAIT_MS
        if replica.probe_pending and now - replica.probed_at >= UNANSWERED_PROBE_SHARE * PROBE_HOLD_MS:
            wait += UNANSWERED_PROBE_WAIT_MS  # asked and not answered: paused, silent or deep in work
        if replica.slow_factor > 1.0:
            wait *= 1.0 + (replica.slow_factor - 1.0) * exp((replica.slow_factor_at - now) / SLOW_FADE_MS)
        return wait + with_failures * FAILING_WAIT_MS * replica.failing_level * exp(
            (replica.failed_at - now) / SLOW_FADE_MS
        )

    def predict_prefill(self, request: Request, rank: int) -> float:
        """Tokens of the prompt that a replica must still read: at its home, at a prefix home, elsewhere."""
        elsewhere = request.prompt_tokens - request.shared_tokens * (
            1.0 - request.class_stats.prefix_miss_share[rank]
        )
        return min(elsewhere, request.class_stats.preferred_prefill_tokens) if rank == 0 else elsewhere

    def predict_first_token(self, wait: float, read: float) -> float:
        """Predicted time to the first token, ms: so long before reading begins, so many tokens to read."""
        return (wait + read / PREFILL_TOKENS_PER_MS) * self.late_factor + FIRST_TOKEN_OVERHEAD_MS

    def count_arrival(self, request: Request, now: float) -> None:
        """Count what comes, against what warm replicas begin: cold ones are open to their part of that."""
        warm = None
        if self.slow_starting:
            # What hangs begins nothing, and must not make the others look as if they bore little.
            warm = Counter(
                r.kind for r in self.serving if not (r.suspect_count or self.is_slow_starting(r, now))
            )
        preferred = request.preferred_replicas[0] if request.preferred_replicas else None
        self.capacity.count_arrival(now, preferred.id if preferred in self.slow_starting else None, warm)

    def is_slow_starting(self, replica: Replica, now: float) -> bool:
        """Whether it is in its slow start."""
        return replica.started_at > 0.0 and now - replica.started_at < self.settings.cold_ms

    def slow_start_limit(self, replica: Replica, now: float) -> float:
        """Rule 4: what a cold replica may be sent, as a multiple of what a warm one begins."""
        settings, age = self.settings, max(0.0, now - replica.started_at)
        grown = min(1.0, age / settings.cold_ms) if settings.cold_ms > 0.0 else 1.0
        return settings.overload_factor * (settings.cold_from + (1.0 - settings.cold_from) * grown)

    def slow_start_allows(self, replica: Replica, request: Request, now: float, home: bool) -> bool:
        """Rule 4: a cold replica is open to a request by its draw, the same at each attempt (design.md)."""
        if not self.is_slow_starting(replica, now):
            return True
        tolerated = self.slow_start_limit(replica, now)
        at_home = min(1.0, SLOW_START_PREFERRED_SHARE * tolerated)
        others = (SLOW_START_TOTAL_SHARE * tolerated - at_home) / max(1, len(self.serving))
        work = max(SLOW_START_WORK_MIN, request.expected_tokens / max(1.0, self.mean_work))
        # In overload what comes is more than any replica bears: what is begun bounds it.
        share = (at_home if home else others) * self.capacity.started_share(replica, now, home)
        share *= (SLOW_START_RESUMED_SHARE if request.resumed else 1.0) / work**2
        return mix64(request.slow_start_draw, replica.points[0]) < share * 2.0**64

    def record_report(self, replica: Replica, report: i.Report | None, lag: float, now: float) -> None:
        """A probe (or outcome) brought news; one that timed out says that the wait is longer than that."""
        replica.report_at, load = now, lag
        if report is not None:
            replica.sends_reports = True
            load = max(lag, report.unread_tokens / PREFILL_TOKENS_PER_MS) + QUEUED_REQUEST_MS * max(
                report.queued, 0.0
            )
            replica.memory_share = max(report.memory_share, report.busy_share, 0.0)
            self.zone_memory_share[replica.zone] += ZONE_MEAN_WEIGHT * (
                replica.memory_share - self.zone_memory_share[replica.zone]
            )
            self.recent_answers.append((now, replica))
        replica.load_ms, self.zone_updated_at[replica.zone] = load, now
        # A few deep queues say nothing of those that are chosen: one counts as twice the mean at most.
        mean = self.zone_load_ms[replica.zone]
        self.zone_load_ms[replica.zone] += ZONE_MEAN_WEIGHT * (
            min(load, 2.0 * max(mean, QUEUED_REQUEST_MS)) - mean
        )

    def mark_alive(self, replica: Replica, now: float) -> None:
        """It lives."""
        replica.last_response_at = now
        replica.suspect_until, replica.suspect_count, replica.unresponsive = -1e12, 0, False

    def mark_suspect(self, replica: Replica, now: float) -> None:
        """It was silent: left out for a while that grows with repeats, and ends by itself.

        Once it counts as silent, each failed probe prolongs that: else it is offered requests again
        whenever a suspicion runs out, before the next probe of it has failed.
        """
        if now < replica.suspect_until and not replica.unresponsive:
            return
        length = min(SUSPECT_MAX_MS, SUSPECT_MS * 2.0**replica.suspect_count)
        replica.suspect_count = min(replica.suspect_count + 1, 4)
        replica.suspect_until = now + length * (0.75 + 0.5 * self.rng.random())

    def record_lateness(self, replica: Replica, ratio: float, now: float) -> None:
        """First tokens come `ratio` times as late as predicted, from this replica and in general."""
        self.late_factor = min(
            LATE_FACTOR_MAX, max(1.0, self.late_factor * (1.0 + MEAN_WEIGHT * (min(ratio, 4.0) - 1.0)))
        )
        old = 1.0 + (replica.slow_factor - 1.0) * exp((replica.slow_factor_at - now) / SLOW_FADE_MS)
        replica.slow_factor, replica.slow_factor_at = (
            max(1.0, min(SLOW_FACTOR_MAX, 0.5 * old + 0.5 * ratio)),
            now,
        )

    def record_prefill(self, request: Request, attempt: Attempt, kept: int) -> None:
        """What a served attempt shows of kept prompts."""
        read = max(1.0, float(request.prompt_tokens - kept))
        if attempt.rank == 0:
            request.class_stats.preferred_prefill_tokens += MEAN_WEIGHT * (
                read - request.class_stats.preferred_prefill_tokens
            )
        if request.shared_tokens > 0:
            missed = min(
                1.0,
                max(0.0, (read - (request.prompt_tokens - request.shared_tokens)) / request.shared_tokens),
            )
            request.class_stats.prefix_miss_share[attempt.rank] += MEAN_WEIGHT * (
                missed - request.class_stats.prefix_miss_share[attempt.rank]
            )


Choice = tuple[Replica, int, float, float]  # replica, rank among homes, predicted wait, tokens to read


class Router:
    """One node's decisions: `handle` takes what happened and returns what to do, in order."""

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
        self.awaiting_probe: dict[str, list[Request]] = {}  # requests held, by the replica asked
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
        """Decide by these settings from here on; what was learnt stays where its name does."""
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
        pace = [FULL_WAIT_TOKEN_OBJECTIVES * c.token_aim_ms for c in settings.classes if c.token_aim_ms > 0]
        self.full_wait_ms = self.pool.full_wait_ms = (
            sum(pace) / len(pace) if pace else FULL_WAIT_OBJECTIVE_SHARE * self.mean_objective_ms
        )
        self.hedges_per_request = min(
            HEDGES_PER_REQUEST_MAX, HEDGE_WASTE_BUDGET / max(settings.waste_fee, 1e-9)
        )

    def _class_terms(self, settings: i.Settings) -> list[ClassTerms]:
        """Of each class of these settings; what it has taught goes by its name, and is new where that is."""
        aims = [cls.aim_ms / settings.mean_aim() for cls in settings.classes]
        tiers = settings.ranks(len(CLASS_WEIGHTS))
        weights = [CLASS_WEIGHTS[t] / (1.0 + ALPHA_SLO * aim) for t, aim in zip(tiers, aims, strict=True)]
        learnt = [self.class_stats.get(key) or ClassStats() for key in settings.class_keys()]
        return list(zip(weights, tiers, learnt, strict=True))

    def handle(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Decide on a batch of events that happened at `now_ms`."""
        self.now, self.actions = now_ms, []
        if not self.started:
            self.started = True
            self._timer("sweep", SWEEP_INTERVAL_MS * (0.5 + self.rng.random()))
            if self.settings.subscribe:
                self._timer(
                    "list", self.pacing.first_call_ms()
                )  # nodes that start together would swamp the service
        for event in events:
            self.handlers[type(event)](event)
        return self.actions

    def _timer(self, token: str, in_ms: float) -> None:
        self.actions.append(i.SetTimer(token, max(in_ms, 0.0)))

    def _on_list(self, event: i.ReplicaList) -> None:
        if event.kind is i.ListKind.FAILED:
            pause = (
                self.pacing.call_failed_ms(self.now - self.list_called_at)
                if self.list_call_pending
                else self.pacing.watch_ended_ms()
            )
            self.subscribed = self.list_call_pending = False
            self.list_due_at = self.now + pause  # a timer of an earlier failure makes no call of its own
            return self._timer("list", pause)
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
            self.list_call_pending = False  # a call whose answer never came must not end the asking
            self._on_timer(i.TimerFired("list"))
        spent = 0
        for replica in self.pool.serving:
            # Suspicion ends early where an answer shows life, and begins where a waiting prompt is the only
            # sign that a replica fell silent: its late timer may have fired before that.
            lost = any(self.now - a.sent_at > SWEEP_INTERVAL_MS and not a.lost for a in replica.unstarted)
            quiet = replica.suspect_count or lost or replica.quiet_ms(self.now) >= SILENCE_MS
            if replica.failing_level >= 0.5:
                # It may swallow the next ones too, and with nothing sent after them none is overtaken.
                now = self.now
                self._resend([a for a in replica.unstarted if now - a.sent_at > LOST_FACTOR * a.predicted_ms])
            if quiet and self.now - replica.probed_at > SUSPECT_MS and spent < 2:
                spent += self._probe(replica)

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
                # A report that can't be read is no news; where none ever come, the lag is the news.
                self.pool.record_report(replica, event.report, event.lag_ms, self.now)
            if event.report is not None and 0.0 <= event.report.unread_tokens < IDLE_UNREAD_TOKENS:
                self._mark_lost(replica, self.now - REPORT_LAG_MS - event.lag_ms)
        elif event.outcome is not i.Outcome.MOOT:
            # A probe that is served like a request times out in overload: that is load, and must not
            # blind the node. Only where the zone's others answer is it taken for silence.
            usual = self.pool.zone_load_ms[replica.zone]
            self.pool.record_report(replica, None, max(2.0 * event.lag_ms, self.full_wait_ms), self.now)
            if event.outcome is not i.Outcome.FULL and usual < self.full_wait_ms:
                # Probes wait behind prompts being read: silence is that nothing at all comes for long.
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
        if not 0 <= event.cls < len(settings.classes):  # a class never told: nothing may be assumed of it
            return self.actions.append(i.Refuse(event.request))
        terms = self.class_terms if settings is self.settings else self._class_terms(settings)
        self.requests[event.request] = request = Request(event, settings, terms[event.cls], self.now)
        answer = request.class_stats.mean_answer_ms / DECODE_MS_PER_TOKEN
        request.expected_tokens, request.slow_start_draw = (
            request.prompt_tokens + answer,
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
            far = pool.remote and (not pool.local or self.rng.random() < CROSS_ZONE_PROBE_SHARE)
            members = pool.remote if far else pool.local
            if members:
                spare = members[int(self.rng.random() * len(members))]
                if self.now >= spare.suspect_until:
                    self._probe(spare)
            home = next(
                (r for r in request.preferred_replicas if r.serving and self.now >= r.suspect_until), None
            )
            if home is not None and self.now - home.report_at > PREFERRED_REPORT_FRESH_MS:
                self._probe(home)
                if home.zone == self.settings.zone or not pool.local:
                    # Departure 2: a home not heard of lately is asked first. At full size a node hears of
                    # one replica every many seconds; older news says nothing of the home's load.
                    request.held = True
                    self.awaiting_probe.setdefault(home.id, []).append(request)
                    hold = min(PROBE_HOLD_MS, 0.05 * request.cls.aim_ms, 0.2 * (request.deadline - self.now))
                    return self._timer("h:" + request.id, hold)
        self._decide(request)

    def _baseline_rate(self, request: Request) -> float:
        """The baseline of a request's tenant over all nodes, tokens a millisecond."""
        if request.quota_per_s > 0.0:
            return request.quota_per_s * self.pool.mean_request_tokens / 1000.0
        # Not told: an equal share of the capacity that usage and probed fullness suggest.
        pool, zone = self.pool, self.settings.zone
        fullness = max(
            0.1, min(1.0, max(pool.zone_load_ms[zone] / self.full_wait_ms, pool.zone_memory_share[zone]))
        )
        used = sum(e.usage_rate(self.now) for e in self.entitlements.values())
        share = used * self.settings.nodes / fullness / max(1, len(self.entitlements))
        return max(share, self.pool.mean_request_tokens / QUOTA_BURST_MS)

    def _decide(self, request: Request) -> None:
        """The checks, in the design's order, then placement."""
        request.held = False
        now, settings, pool = self.now, self.settings, self.pool
        entitlement = self.entitlements.setdefault(request.tenant, Entitlement())
        choice = soonest = self._choose(request)
        if choice is not None and choice[2] * pool.late_factor > self.full_wait_ms:
            # A home that keeps a prompt waiting is no reason to refuse it where others have room. Where all
            # are busy it waits at home while it can be in time: else its reading fills the fleet.
            # The busier the fleet, the more wait for what is read anew: it goes elsewhere the less for that.
            care = min(
                1.0, max(0.0, pool.zone_load_ms[settings.zone] - QUEUED_REQUEST_MS) / self.full_wait_ms
            )
            soonest = self._choose(request, care) or choice
            first = pool.predict_first_token(*choice[2:])
            busy = soonest[2] * pool.late_factor >= PREFERRED_FULLNESS_SHARE * self.full_wait_ms
            choice = choice if busy and first <= PREFERRED_OBJECTIVE_SHARE * request.objective_ms else soonest
        if choice is None or soonest is None:  # with no list yet, all must not come back in one wave
            return self._finish(request, 0.0 if pool.serving else settings.max_retry_after_ms / 1.5)
        wait, read = soonest[2:]
        slice_rate = self._baseline_rate(request) / settings.nodes
        standing = (1.0 + ALPHA_DEBT * entitlement.debt) / (1.0 + ALPHA_BURST * entitlement.burst)
        request.priority = request.weight * standing * request.standing
        first = pool.predict_first_token(wait, read)
        wait *= pool.late_factor
        if not request.resumed:
            saved = entitlement.refill(now, slice_rate, pool.mean_request_tokens)
            refused = False
            if wait > self.full_wait_ms and not request.promised:
                seconds = (
                    (request.class_stats.mean_answer_ms + self.mean_objective_ms)
                    * slice_rate
                    / pool.mean_request_tokens
                )
                refused = (
                    entitlement.in_flight >= max(2.0 * seconds, QUOTA_BURST_MIN_REQUESTS)
                    or saved < request.expected_tokens
                )
                # Departure 3: the lowest of many is beaten by nearly all; the fuller, the higher the cut.
                newest = (r.priority for r in reversed(self.requests.values()) if r.entitlement)
                admitted = sorted(islice(newest, PRIORITY_CUT_SAMPLE))
                over = min(1.0, (wait / self.full_wait_ms - 1.0) / PRIORITY_CUT_SPAN)
                cut = admitted[int(over * (len(admitted) - 1))] if admitted else 0.0
                refused = refused or request.priority <= cut
            if refused or now + first > request.arrived_at + REFUSE_ABOVE_OBJECTIVES * request.objective_ms:
                return self._finish(request, wait)
        entitlement.bucket_tokens -= request.expected_tokens
        entitlement.usage_rate(now)
        entitlement.used_tokens += request.expected_tokens
        entitlement.in_flight += 1
        request.entitlement = entitlement
        self._send(request, *choice)

    def _choose(self, request: Request, care: float = 1.0) -> Choice | None:
        """The least loaded of its homes and the pool of fresh answers; with no care for all, the soonest."""
        pool, now = self.pool, self.now
        while pool.recent_answers and now - pool.recent_answers[0][0] > PROBE_POOL_MS:
            pool.recent_answers.popleft()
        candidates = [(home, min(rank, 1)) for rank, home in enumerate(request.preferred_replicas)]
        candidates += [(r, 2) for _, r in pool.recent_answers if r not in request.preferred_replicas]
        # A node meets a cold replica seldom by chance: those that this request may use are always compared.
        cold = [
            r
            for r in pool.slow_starting
            if pool.is_slow_starting(r, now) and r not in request.preferred_replicas
        ]
        candidates += [(r, 2) for r in cold if pool.slow_start_allows(r, request, now, False)]
        best = self._cheapest(request, candidates, False, care)
        if best is None and pool.serving:
            # Nobody left to trust: suspicion must never empty the candidate set.
            some = [(pool.serving[int(self.rng.random() * len(pool.serving))], 2) for _ in range(6)]
            best = self._cheapest(request, some, False) or self._cheapest(request, candidates + some, True)
        return best

    def _cheapest(
        self, request: Request, among: list[tuple[Replica, int]], desperate: bool, care: float = 1.0
    ) -> Choice | None:
        pool, now = self.pool, self.now
        tried = [a.replica for a in request.attempts]
        price = 1.0 + (PREFILL_COST_FACTOR - 1.0) * care
        cross = CROSS_ZONE_FEE_OBJECTIVES * self.settings.cross_zone_fee * request.objective_ms
        best: Choice | None = None
        least = 1e18
        for replica, rank in among:
            if not replica.serving or replica in tried or (now < replica.suspect_until and not desperate):
                continue
            read = pool.predict_prefill(request, rank)
            wait = pool.predict_wait(replica, now)
            # Failing is a reason to choose another, not to think the fleet full and refuse.
            cost = (
                pool.predict_wait(replica, now, True)
                + RUNNING_STREAM_COST_MS * replica.running_streams
                + price * read / PREFILL_TOKENS_PER_MS
            )
            cost = (cost + self.full_wait_ms * max(0.0, replica.decode_factor - 1.0)) * (
                1.0 + 0.1 * self.rng.random()
            )
            if replica.zone != self.settings.zone:
                cost += cross
            elif wait * pool.late_factor > self.full_wait_ms and pool.remote:
                cost += request.objective_ms  # a full zone must not refuse what another has room for
            allowed = not request.attempts or request.may_send(replica, now)
            if cost < least and allowed and pool.slow_start_allows(replica, request, now, rank == 0):
                best, least = (replica, rank, wait, read), cost
        return best

    def _send(self, request: Request, replica: Replica, rank: int, wait: float, read: float) -> None:
        now, pool = self.now, self.pool
        attempt = Attempt(request, replica, now, read, rank)
        attempt.predicted_ms = predicted = pool.predict_first_token(wait, read)
        request.attempts.append(attempt)
        replica.unstarted.append(attempt)
        self.actions.append(i.Send(request.id, replica.id))
        late = max(
            HEDGE_MIN_MS,
            min(HEDGE_FACTOR * predicted, max(HEDGE_OBJECTIVE_SHARE * request.objective_ms, predicted)),
        )
        if now + late < request.deadline and len(request.attempts) < request.settings.max_attempts:
            self._timer(f"s:{len(request.attempts) - 1}:{request.id}", late)

    def _on_late_start(self, request: Request, number: int) -> None:
        """An attempt has not started in time: ask its replica, and try another where that can still serve."""
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
            return  # no retry storm: few requests are tried twice; with nowhere else to go, late is better
        choice = self._choose(request) if request.settings.second_copies else None
        if choice is not None:
            left = request.arrived_at + request.objective_ms - self.now
            if (
                choice[2] * self.pool.late_factor < self.full_wait_ms
                and self.pool.predict_first_token(*choice[2:]) < left
            ):
                self.hedge_budget -= 1.0
                self._send(request, *choice)
        elif not request.settings.second_copies and request.settings.cancelling and request.may_refuse():
            self.hedge_budget -= 1.0
            self.actions.append(i.Cancel(request.id, number))  # its outcome brings the next attempt

    def _mark_failing(self, replica: Replica) -> None:
        """One that fails fast looks idle and would draw ever more: that counts as waiting, for a while."""
        replica.failing_level, replica.failed_at = min(1.0, replica.failing_level + 0.5), self.now

    def _mark_lost(self, replica: Replica, before: float) -> None:
        """What was sent before then and has not started is lost; one that swallows some looks idle too."""
        lost = [a for a in replica.unstarted if a.sent_at < before]
        for attempt in (a for a in lost if not a.lost):
            attempt.lost = True
            self._mark_failing(replica)
        self._resend(lost)

    def _resend(self, lost: list[Attempt]) -> None:
        """What waits on a replica that does not answer its probes, or was overtaken, goes elsewhere as well.

        Prompts are read first come, first served: one sent well before another that has started is lost.
        Second attempts by lateness are few, to be no retry storm; these are bounded by what was out on
        one replica when it fell silent, or by what it swallows, and waste little work on the first attempt.
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
                spent, usual = (
                    now - attempt.sent_at - attempt.first_token_ms,
                    request.class_stats.mean_answer_ms,
                )
                replica.decode_factor += 2.0 * MEAN_WEIGHT * (min(spent / usual, 4.0) - replica.decode_factor)
                request.class_stats.mean_answer_ms += MEAN_WEIGHT * (spent - usual)
            self.pool.record_prefill(request, attempt, event.kept_tokens)
            replica.failing_level *= 0.7
        elif outcome is i.Outcome.REJECTED:
            # A client's fault says nothing against the replica, and sent again it would spoil the next one's
            # standing: a few bad clients made all replicas look failing, and usual requests were refused.
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
            # Such answers come from any replica equally: left out for one, it only sends its work to others.
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
        """Every attempt has failed and the client still waits: another one where it is safe and in time."""
        if self.now + 2.0 * self.settings.tick_ms < request.deadline:
            choice = self._choose(request)
            if choice is not None:
                return self._send(request, *choice)
        self._finish(request)

    def _finish(self, request: Request, wait: float = 0.0) -> None:
        """The final answer (rule 1): refused where that promise may be given (rule 2), failed otherwise."""
        if request.may_refuse() and self.now < request.deadline:
            pause = max(wait, 100.0) * (0.75 + 0.75 * self.rng.random()) * request.settings.retry_after
            self.actions.append(i.Refuse(request.id, min(pause, request.settings.max_retry_after_ms)))
        else:
            self.actions.append(i.Fail(request.id))
        self._close(request)

    def _close(self, request: Request) -> None:
        """The answer is given: nothing more is sent; the entitlement is settled (equations 2 and 3)."""
        if not request.closed:
            request.closed, request.held = True, False
            self._cancel_others(request, -1)
            entitlement, request.entitlement = request.entitlement, None
            if entitlement is not None:
                entitlement.in_flight -= 1
                slice_rate, pool = self._baseline_rate(request) / self.settings.nodes, self.pool
                seconds = (
                    (request.class_stats.mean_answer_ms + self.mean_objective_ms)
                    * slice_rate
                    / pool.mean_request_tokens
                )
                entitlement.settle(self.now, slice_rate, seconds, request.tier < 2)
        if not request.has_open_attempt():
            self.requests.pop(request.id, None)
