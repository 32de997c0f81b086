"""The model of sessions: clusters of behaviour fitted to the fleet's counts, their names, and predictions.

A mixture over cells (class by shares, three lengths by normal distributions in octaves), fitted by
expectation maximization from a fixed start, so that the same counts give the same model. The number of
clusters minimizes the Bayesian information criterion, with a session's turns counted as one sample, since
they are alike.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import exp, isfinite, log, pi, sqrt

import msgspec
from msgspec import Struct

from spoolbarrow.sessions import cells
from spoolbarrow.sessions.turn_counts import MAX_COUNT, SCALE, Counts, trimmed

MAX_CLUSTERS = 8
FIT_CELLS = 400  # the heaviest; more cost time and add little
FIT_ITERATIONS = 20
MAX_WORSE_FITS = 2  # more clusters are tried until the criterion grew so often
MIN_TURNS = 200  # for a model
MIN_CLUSTER_SHARE = 0.01  # of all turns; smaller clusters are dropped
MIN_VARIANCE = 0.15  # octaves squared: the variance within a bin, an octave wide, is a twelfth
MIN_STAGE_TURNS = 100.0  # of a cluster, for hazards of its own; with fewer they are shrunk towards others
CLASS_PRIOR = 0.5  # turns of each class that are assumed for a cluster
SHRINKAGE = 4.0  # waits of the stage's common curve added to those of each cluster
SAME_DISTANCE = 4.0  # squared, in standard deviations, within which a cluster keeps its name
DRIFT_NATS = 0.05  # per turn, by which a newer model fits the counts better than the one before
Z = 1.645  # normal quantile with 5 % on either side
MAX_OWN_CELLS = 400  # the heaviest cells have their own waits in the model
CLUSTER_WEIGHT = 10.0  # waits that the clusters' prediction counts for, against a cell's own
RETURN_QUANTILE = 0.9
CHAIN_TURNS = 64  # turns ahead that are computed
MAX_RETURN_CHANCE = 0.98
CACHED_PREDICTIONS = 4096
FEATURES = 3  # gap, growth, answer

Vector = tuple[float, ...]
Integers = tuple[int, ...]


class Cluster(Struct, frozen=True):
    """One cluster of similar behaviour."""

    name: str
    shares: Vector  # share of the turns of each stage
    mean: Vector  # gap, growth, answer; octaves (of gaps above cells.GAP_BASE_MS)
    variance: Vector
    classes: dict[int, float]  # shares of its turns; of other classes by `CLASS_PRIOR`
    hazards: tuple[Vector, ...]  # by stage: chance of a return within each span, if away until then
    seen: Vector  # by stage: number of turns it is based on
    adds: Vector  # by stage: tokens that the next turn adds, in octaves


class Own(Struct, frozen=True, array_like=True):
    """The waits of one cell itself, which correct the clusters where lengths are not normally distributed."""

    returned: Integers  # by span, without trailing zeros
    outlasted: Integers


NO_WAITS = Own((), ())


class Model(Struct, frozen=True):
    """The model that all routers apply: the clusters, and the evidence behind them."""

    clusters: tuple[Cluster, ...]
    cells: dict[int, Own]
    turns: int
    next_name: int
    drift: float = 0.0  # gain in nats per turn over the previous model
    drifted: bool = False

    def with_fewer_cells(self) -> Model:
        """The model with the heavier half of its cells, to fit the size limit of documents."""
        kept = dict(list(self.cells.items())[: len(self.cells) // 2])
        return msgspec.structs.replace(self, cells=kept)


EMPTY_MODEL = Model((), {}, 0, 1)


class Prediction(Struct, frozen=True):
    """The prediction for sessions in a cell, with its uncertainty."""

    return_chance: float  # of a return within the horizon, right after a turn
    low: float  # bounds of a 90 % interval of the true chance
    high: float
    away: Vector  # share of sessions still away at the end of each span
    growth_tokens: float  # median of the tokens that the next turn adds
    cluster: str  # the likeliest cluster
    weights: Vector  # probabilities of the clusters, in the model's order, given a return
    median_return_ms: float = 0.0  # time within which half of the returns occur
    p90_return_ms: float = 0.0  # time within which RETURN_QUANTILE of the returns occur
    p90_return_chance: float = 0.0  # chance of a return within that time

    def later(self, away_ms: float) -> float:
        """The chance of a return within the horizon, given the time away so far."""
        stays = self.share_away(away_ms)
        return max(0.0, 1.0 - self.away[-1] / stays) if stays > 0.0 else 0.0

    def share_away(self, away_ms: float) -> float:
        """Share of sessions away for longer than that, interpolated within a span."""
        n = cells.span(away_ms)
        if n >= cells.SPANS:
            return self.away[-1]
        low = cells.EDGES_MS[n - 1] if n else 0.0
        before = self.away[n - 1] if n else 1.0
        part = max(0.0, away_ms - low) / (cells.EDGES_MS[n] - low)
        return before + part * (self.away[n] - before)


def within(away: Sequence[float], share: float) -> float:
    """The time away within which this share of all returns occur, in ms."""
    target = 1.0 - share * (1.0 - away[-1])
    low = 0.0
    before = 1.0
    for edge, after in zip(cells.EDGES_MS, away, strict=True):
        if after <= target:
            part = (before - target) / (before - after) if before > after else 1.0
            return low + part * (edge - low)
        low, before = edge, after
    return cells.HORIZON_MS


class _Point:
    """A weighted sample of the fit, from cells that differ in stage alone."""

    __slots__ = ("cls", "known", "weight", "x")

    def __init__(self, cls: int, known: bool, weight: float, x: Vector) -> None:
        self.cls, self.known, self.weight, self.x = cls, known, weight, x


class _Component:
    """A cluster during the fit."""

    __slots__ = ("classes", "mean", "shares", "variance")

    def __init__(self, mean: Vector, variance: Vector, classes: dict[int, float], shares: Vector) -> None:
        self.mean, self.variance, self.classes, self.shares = mean, variance, classes, shares

    def log_density(self, cls: int, x: Vector, gap_known: bool) -> float:
        """Log density without the cluster's share; an unknown gap is left out."""
        total = log(self.classes.get(cls, 1e-6))
        for n in range(0 if gap_known else 1, FEATURES):
            if x[n] >= 0.0:
                offset = x[n] - self.mean[n]
                total -= 0.5 * (offset * offset / self.variance[n] + log(2.0 * pi * self.variance[n]))
        return total


def _points(counts: Mapping[int, Counts]) -> list[_Point]:
    """Samples for the fit: cells merged over stages, with mean lengths instead of bins."""
    sums: dict[tuple[int, int, int, int], list[int]] = {}
    for cell, cell_counts in counts.items():
        cls, _, *bins = cells.parts(cell)
        total = sums.setdefault((cls, bins[0], bins[1], bins[2]), [0, 0, 0, 0])
        for n, value in enumerate(
            (cell_counts.count, cell_counts.gap, cell_counts.growth, cell_counts.answer)
        ):
            total[n] += value
    heaviest = sorted(sums.items(), key=lambda one: (-one[1][0], one[0]))[:FIT_CELLS]
    return [
        _Point(
            key[0], key[1] > 0, float(total[0]),
            tuple(total[n] / total[0] / SCALE if key[n] else cells.UNKNOWN for n in (1, 2, 3)),
        )
        for key, total in heaviest
    ]  # fmt: skip


def _initial_components(points: list[_Point], count: int) -> list[_Component]:
    """Initial components around points that are heavy and far from each other."""

    def squared_distance(a: _Point, b: _Point) -> float:
        pairs = [(x, y) for x, y in zip(a.x, b.x, strict=True) if x >= 0.0 and y >= 0.0]
        return sum((x - y) ** 2 for x, y in pairs) + 4.0 * (a.cls != b.cls)

    seeds = [points[0]]
    nearest = [squared_distance(p, seeds[0]) for p in points]
    while len(seeds) < count and max(nearest) > 0.0:
        n = max(range(len(points)), key=lambda n: (points[n].weight * nearest[n], -n))
        seeds.append(points[n])
        nearest = [min(old, squared_distance(p, points[n])) for old, p in zip(nearest, points, strict=True)]
    classes = {p.cls for p in points}
    even = 1.0 / len(seeds)
    components = []
    for seed in seeds:
        shares = {c: (0.8 if c == seed.cls else 0.0) + 0.2 / len(classes) for c in classes}
        mean = tuple(x if x >= 0.0 else 8.0 for x in seed.x)
        components.append(_Component(mean, (1.0,) * FEATURES, shares, (even, even)))
    return components


def _responsibilities(
    components: list[_Component], cls: int, x: Vector, gap_known: bool, shares: list[float]
) -> tuple[Vector, float]:
    """The probabilities of the components for a point, and its log likelihood."""
    logs = [
        component.log_density(cls, x, gap_known) + log(max(share, 1e-9))
        for component, share in zip(components, shares, strict=True)
    ]
    top = max(logs)
    weights = [exp(one - top) for one in logs]
    total = sum(weights)
    return tuple(one / total for one in weights), top + log(total)


def _fit(points: list[_Point], count: int) -> tuple[list[_Component], float]:
    """Components after FIT_ITERATIONS, and the log likelihood of all points."""
    components = _initial_components(points, count)
    classes = sorted({p.cls for p in points})
    likelihood = 0.0
    for _ in range(FIT_ITERATIONS):
        shares = [[component.shares[known] for component in components] for known in (0, 1)]
        sums = [[0.0] * (3 * FEATURES) for _ in components]
        by_class = [dict.fromkeys(classes, CLASS_PRIOR) for _ in components]
        weights = [[1e-9] * len(components), [1e-9] * len(components)]
        likelihood = 0.0
        for p in points:
            responsibilities, log_density = _responsibilities(
                components, p.cls, p.x, p.known, shares[p.known]
            )
            likelihood += p.weight * log_density
            for k, share in enumerate(responsibilities):
                w = p.weight * share
                if w < 1e-6:
                    continue
                weights[p.known][k] += w
                by_class[k][p.cls] += w
                moments = sums[k]
                for n in range(FEATURES):
                    if p.x[n] >= 0.0:
                        moments[3 * n] += w
                        moments[3 * n + 1] += w * p.x[n]
                        moments[3 * n + 2] += w * p.x[n] * p.x[n]
        for k, component in enumerate(components):
            mean, variance = list(component.mean), list(component.variance)
            for n in range(FEATURES):
                w, x, xx = sums[k][3 * n : 3 * n + 3]
                if w > 1e-3:
                    mean[n] = x / w
                    variance[n] = max(MIN_VARIANCE, xx / w - mean[n] ** 2 + 1.0 / 12.0)
            total = sum(by_class[k].values())
            component.mean, component.variance = tuple(mean), tuple(variance)
            component.classes = {c: v / total for c, v in by_class[k].items()}
            component.shares = tuple(weights[known][k] / sum(weights[known]) for known in (0, 1))
    return components, likelihood


def _best_components(points: list[_Point]) -> list[_Component]:
    """Components in the number with the least information criterion."""
    turns = sum(p.weight for p in points)
    sessions = max(1.0, sum(p.weight for p in points if not p.known))
    classes = len({p.cls for p in points})
    best: list[_Component] = []
    least, worse = float("inf"), 0
    for count in range(1, min(MAX_CLUSTERS, len(points)) + 1):
        components, likelihood = _fit(points, count)
        free = count * (2 * FEATURES + classes - 1) + 2 * (count - 1)
        criterion = -2.0 * likelihood * min(1.0, sessions / turns) + free * log(max(sessions, 2.0))
        if criterion < least:
            best, least, worse = components, criterion, 0
        else:
            worse += 1
            if worse >= MAX_WORSE_FITS:
                break
    weight = [0.0] * len(best)
    for p in points:
        responsibilities, _ = _responsibilities(
            best, p.cls, p.x, p.known, [component.shares[p.known] for component in best]
        )
        for k, share in enumerate(responsibilities):
            weight[k] += p.weight * share / turns
    return [component for component, share in zip(best, weight, strict=True) if share >= MIN_CLUSTER_SHARE]


def _centre(cell: int) -> tuple[int, int, Vector, bool]:
    cls, stage, *bins = cells.parts(cell)
    return cls, stage, tuple(b - 0.5 if b else cells.UNKNOWN for b in bins), bins[0] > 0


def _hazards(returned: list[float], outlasted: list[float], common: Vector, strength: float) -> Vector:
    return tuple(
        (e + strength * h) / (e + s + strength) for e, s, h in zip(returned, outlasted, common, strict=True)
    )


class _Curves:
    """Sums of waits over a stage, or over a stage of one cluster."""

    def __init__(self) -> None:
        self.returned, self.outlasted = [0.0] * cells.SPANS, [0.0] * cells.SPANS
        self.seen = self.added = 0.0

    def add(self, counts: Counts, weight: float) -> None:
        self.seen += weight * counts.count
        self.added += weight * counts.added / SCALE
        for n in range(cells.SPANS):
            self.returned[n] += weight * counts.returned[n]
            self.outlasted[n] += weight * counts.outlasted[n]


def _hazards_by_stage(
    k: int, components: list[_Component], curves: list[list[_Curves]], common: list[Vector]
) -> tuple[Vector, ...]:
    """A cluster's hazards by stage; with few turns, shrunk towards the nearest cluster that has enough.

    Means settle over a session's turns, so some clusters hold young sessions only, whose later stages are
    observed in other clusters.
    """
    nearest = sorted(range(len(components)), key=lambda m: (distance(components[k], components[m]), m))
    result: list[Vector] = []
    for u, c in enumerate(curves[k]):
        prior = common[u]
        if c.seen < MIN_STAGE_TURNS:
            other = next((curves[m][u] for m in nearest if curves[m][u].seen >= MIN_STAGE_TURNS), None)
            if other is not None:
                prior = _hazards(other.returned, other.outlasted, common[u], SHRINKAGE)
            elif result:
                prior = result[-1]
        strength = SHRINKAGE if c.seen >= MIN_STAGE_TURNS else MIN_STAGE_TURNS
        result.append(_hazards(c.returned, c.outlasted, prior, strength))
    return tuple(result)


def _clusters(components: list[_Component], counts: Mapping[int, Counts]) -> list[Cluster]:
    """Clusters with shares and hazards by stage, from all counts."""
    overall = _Curves()
    stages = [_Curves() for _ in range(cells.STAGES)]
    curves = [[_Curves() for _ in range(cells.STAGES)] for _ in components]
    for cell, cell_counts in counts.items():
        cls, stage, x, gap_known = _centre(cell)
        responsibilities, _ = _responsibilities(
            components, cls, x, gap_known, [component.shares[gap_known] for component in components]
        )
        overall.add(cell_counts, 1.0)
        stages[stage].add(cell_counts, 1.0)
        for k, share in enumerate(responsibilities):
            if share > 1e-4:
                curves[k][stage].add(cell_counts, share)
    overall_hazards = _hazards(overall.returned, overall.outlasted, (0.0,) * cells.SPANS, 1.0)
    common = [_hazards(s.returned, s.outlasted, overall_hazards, SHRINKAGE) for s in stages]
    totals = [sum(curves[k][u].seen for k in range(len(components))) for u in range(cells.STAGES)]
    return [
        Cluster(
            "",
            tuple((curves[k][u].seen + 1.0) / (totals[u] + len(components)) for u in range(cells.STAGES)),
            component.mean,
            component.variance,
            component.classes,
            _hazards_by_stage(k, components, curves, common),
            tuple(c.seen for c in curves[k]),
            tuple(
                (c.added + SHRINKAGE * component.mean[1]) / (sum(c.returned) + SHRINKAGE) for c in curves[k]
            ),
        )
        for k, component in enumerate(components)
    ]


def distance(a: Cluster | _Component, b: Cluster | _Component) -> float:
    """Squared distance of two clusters in joint standard deviations, with a term for their classes."""
    pairs = zip(a.mean, b.mean, a.variance, b.variance, strict=True)
    apart = sum((x - y) ** 2 / (v + w) for x, y, v, w in pairs)
    both = a.classes.keys() | b.classes.keys()
    return apart + 4.0 * (1.0 - sum(sqrt(a.classes.get(c, 0.0) * b.classes.get(c, 0.0)) for c in both))


def _with_names(new: list[Cluster], last: Model | None) -> tuple[tuple[Cluster, ...], int]:
    """Give clusters the names of similar ones in the last model, nearest first, or new names."""
    old = last.clusters if last is not None else ()
    number = last.next_name if last is not None else 1
    pairs = sorted((distance(a, b), n, m) for n, a in enumerate(new) for m, b in enumerate(old))
    names: dict[int, str] = {}
    used: set[int] = set()
    for gap, n, m in pairs:
        if gap <= SAME_DISTANCE and n not in names and m not in used:
            names[n] = old[m].name
            used.add(m)
    for n in range(len(new)):
        if n not in names:
            names[n] = f"k{number}"
            number += 1
    named = [msgspec.structs.replace(one, name=names[n]) for n, one in enumerate(new)]
    return tuple(sorted(named, key=lambda one: int(one.name[1:]))), number


def likelihood(model: Model, counts: Mapping[int, Counts]) -> float:
    """Log likelihood of these counts under a model, in nats per turn: of their cells and of their waits."""
    components, total, turns = _components(model), 0.0, 0
    for cell, cell_counts in counts.items():
        cls, stage, x, gap_known = _centre(cell)
        responsibilities, log_density = _responsibilities(
            components, cls, x, gap_known, [c.shares[stage] for c in model.clusters]
        )
        turns += cell_counts.count
        total += cell_counts.count * log_density
        for n in range(cells.SPANS):
            hazard = sum(
                w * c.hazards[stage][n] for w, c in zip(responsibilities, model.clusters, strict=True)
            )
            hazard = min(1.0 - 1e-6, max(1e-6, hazard))
            total += cell_counts.returned[n] * log(hazard) + cell_counts.outlasted[n] * log(1.0 - hazard)
    return total / max(1, turns)


def _components(model: Model) -> list[_Component]:
    return [_Component(c.mean, c.variance, c.classes, ()) for c in model.clusters]


def fit(counts: Mapping[int, Counts], last: Model | None) -> Model | None:
    """Fit a model to these counts; None: there are too few."""
    turns = sum(cell_counts.count for cell_counts in counts.values())
    if turns < MIN_TURNS:
        return None
    components = _best_components(_points(counts))
    clusters, number = _with_names(_clusters(components, counts), last)
    heaviest = sorted(counts, key=lambda cell: (-counts[cell].count, cell))[:MAX_OWN_CELLS]
    own = {cell: Own(trimmed(counts[cell].returned), trimmed(counts[cell].outlasted)) for cell in heaviest}
    fitted = Model(clusters, own, turns, number)
    if last is None:
        return fitted
    drift = round(likelihood(fitted, counts) - likelihood(last, counts), 6)
    return msgspec.structs.replace(fitted, drift=drift, drifted=drift > DRIFT_NATS)


def is_valid(model: Model) -> bool:
    """Whether a received model is valid."""
    if not 0 < len(model.clusters) <= MAX_CLUSTERS or model.turns < 0 or model.next_name < 1:
        return False
    if len({c.name for c in model.clusters}) < len(model.clusters) or len(model.cells) > MAX_OWN_CELLS:
        return False
    for cell, own in model.cells.items():
        lists = (own.returned, own.outlasted)
        if not cells.is_valid(cell) or any(len(its) > cells.SPANS for its in lists):
            return False
        if not all(0 <= n <= MAX_COUNT * MAX_CLUSTERS for its in lists for n in its):
            return False
    for c in model.clusters:
        if not c.name[1:].isdigit() or len(c.name) > 16 or len(c.classes) > cells.MAX_CLASS + 1:
            return False
        if len(c.shares) != cells.STAGES or len(c.hazards) != cells.STAGES or len(c.seen) != cells.STAGES:
            return False
        if len(c.adds) != cells.STAGES or not all(0.0 <= x <= cells.MAX_OCTAVE + 1 for x in c.adds):
            return False
        if (
            len(c.mean) != FEATURES
            or len(c.variance) != FEATURES
            or any(len(h) != cells.SPANS for h in c.hazards)
        ):
            return False
        chances = [*c.shares, *c.classes.values(), *(h for its in c.hazards for h in its)]
        if not all(0.0 <= p <= 1.0 for p in chances):  # False for NaN, too
            return False
        if not all(isfinite(x) for x in (*c.mean, *c.seen)) or not all(
            MIN_VARIANCE <= v < 1e4 for v in c.variance
        ):
            return False
    return True


class Predictor:
    """Predictions of a model by cell, cached after the first request."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self._components = _components(model)
        self._cached: dict[int, Prediction] = {}
        self._turns_left = [self._chain(c) for c in model.clusters]

    def _chain(self, c: Cluster) -> Vector:
        """Expected remaining turns after each turn, in one cluster."""
        chances = []
        for stage in range(cells.STAGES):
            stays = 1.0
            for h in c.hazards[stage]:
                stays *= 1.0 - h
            chances.append(min(MAX_RETURN_CHANCE, 1.0 - stays))
        left = [chances[-1] / (1.0 - chances[-1])]
        for turn in range(CHAIN_TURNS - 1, 0, -1):
            left.append(chances[cells.stage(turn)] * (1.0 + left[-1]))
        return tuple(reversed(left))

    def predict(self, cell: int) -> Prediction:
        """The prediction for sessions in this cell."""
        prediction = self._cached.get(cell)
        if prediction is None:
            if len(self._cached) >= CACHED_PREDICTIONS:
                self._cached.clear()
            prediction = self._cached[cell] = self._compute(cell)
        return prediction

    def turns_left(self, prediction: Prediction, turns: int) -> float:
        """Expected remaining turns of a session with this prediction, after so many turns."""
        n = min(turns + 1, CHAIN_TURNS) - 1
        more = sum(w * left[n] for w, left in zip(prediction.weights, self._turns_left, strict=True))
        return prediction.return_chance * (1.0 + more)

    def _compute(self, cell: int) -> Prediction:
        cls, stage, x, gap_known = _centre(cell)
        clusters = self.model.clusters
        responsibilities, _ = _responsibilities(
            self._components, cls, x, gap_known, [c.shares[stage] for c in clusters]
        )
        mixed = [0.0] * cells.SPANS
        chances, turns = [], 0.0
        for w, c in zip(responsibilities, clusters, strict=True):
            stays = 1.0
            for n, hazard in enumerate(c.hazards[stage]):
                stays *= 1.0 - hazard
                mixed[n] += w * stays
            chances.append(1.0 - stays)
            turns += w * c.seen[stage]
        own = self.model.cells.get(cell, NO_WAITS)
        away, before, stays = [], 1.0, 1.0
        for n, after in enumerate(mixed):
            hazard = 1.0 - after / before if before > 0.0 else 0.0
            returned = own.returned[n] if n < len(own.returned) else 0
            at_risk = returned + (own.outlasted[n] if n < len(own.outlasted) else 0)
            stays *= 1.0 - (returned + CLUSTER_WEIGHT * hazard) / (at_risk + CLUSTER_WEIGHT)
            away.append(stays)
            before = after
        chance = 1.0 - stays
        total_chance = sum(w * p for w, p in zip(responsibilities, chances, strict=True))
        after_return = (
            tuple(w * p / total_chance for w, p in zip(responsibilities, chances, strict=True))
            if total_chance > 0.0
            else responsibilities
        )
        # Uncertainty from the number of waits, and from the cluster where the cell has few waits itself.
        own_waits = sum(own.returned) + (own.outlasted[-1] if len(own.outlasted) == cells.SPANS else 0)
        cluster_variance = sum(
            w * (p - 1.0 + mixed[-1]) ** 2 for w, p in zip(responsibilities, chances, strict=True)
        )
        cluster_variance *= CLUSTER_WEIGHT / (own_waits + CLUSTER_WEIGHT)
        sample_variance = chance * (1.0 - chance) / (min(turns, own_waits + CLUSTER_WEIGHT) + SHRINKAGE)
        margin = Z * sqrt(sample_variance + cluster_variance)
        growth = sum(w * c.adds[stage] for w, c in zip(after_return, clusters, strict=True))
        return Prediction(
            chance, max(0.0, chance - margin), min(1.0, chance + margin), tuple(away), 2.0**growth,
            clusters[max(range(len(clusters)), key=responsibilities.__getitem__)].name, after_return,
            within(away, 0.5), within(away, RETURN_QUANTILE), RETURN_QUANTILE * chance,
        )  # fmt: skip
