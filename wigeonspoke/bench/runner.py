"""Runs a scenario and works out its figures."""

import itertools
import math
from collections.abc import Iterable
from functools import cache

import msgspec

from wigeonspoke.bench.cluster import (
    AnswerLog,
    PolicyFactory,
    VirtualCluster,
)
from wigeonspoke.bench.deployment import (
    LAYERS,
    make_deployment,
    node_homes,
)
from wigeonspoke.bench.naive import NaiveRouter
from wigeonspoke.bench.scenarios import Scenario, Target
from wigeonspoke.bench.traffic import ANSWER_TOKENS, Traffic
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.router import Router
from wigeonspoke.core.routes.throughput import throughput_bound
from wigeonspoke.observe import LatencyRecorder, Percentiles
from wigeonspoke.standins.model import expected_tokens

WARM_SECONDS = 2.0
BUCKET_SECONDS = 0.25
STEADY_BUCKETS = 4
RECOVERED_SHARE = 0.95
POLICIES: dict[str, PolicyFactory] = {
    'present': Router,
    'naive': NaiveRouter,
}


class ScenarioResult(msgspec.Struct, frozen=True):
    """What one policy did in one scenario.

    ``retry_share`` is the share of steps run that belonged to attempts
    after a request's first.  Refused answers are neither whole nor cut.
    """

    name: str
    seed: int
    policy: str
    bound: float
    goodput: float
    goodput_over_bound: float
    offered_over_bound: float
    recovery_seconds: float | None
    answers_whole: int
    answers_cut: int
    answers_wrong: int
    answers_refused: int
    first_token_seconds: Percentiles
    between_tokens_seconds: Percentiles
    fairness: float
    retry_share: float
    target_met: bool


class ScenarioResults(msgspec.Struct, frozen=True):
    """The results of a run, for files."""

    scenarios: tuple[ScenarioResult, ...]


class ScenarioRun:
    """One policy in one scenario."""

    __slots__ = ('cluster', 'policy', 'scenario', 'seed', 'traffic')

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.cluster = VirtualCluster(
            make_deployment(scenario.size),
            node_homes(scenario.size),
            POLICIES[policy],
            seed,
        )
        self.traffic = Traffic(
            self.cluster,
            scenario.load * self.bound(),
            seed,
            scenario.batch_share,
        )

    def bound(self) -> float:
        """Give the bound with the engines that are alive."""
        alive = [
            engine.record
            for engine in self.cluster.engines.values()
            if engine.alive and not engine.frozen
        ]
        return throughput_bound(alive, LAYERS)

    def run(self) -> ScenarioResult:
        """Run the scenario and give its figures."""
        bound = self.bound()
        scheduler = self.cluster.scheduler
        for strike in self.scenario.strikes:
            scheduler.after(
                WARM_SECONDS + strike.after,
                strike.fault,
                self.cluster,
            )
        self.cluster.start()
        self.traffic.start()
        scheduler.run_until(WARM_SECONDS + self.scenario.seconds)
        return self._result(bound, self.bound())

    def _result(self, bound: float, bound_left: float) -> ScenarioResult:
        logs = list(set(self.cluster.answers.values()))
        counted = sum(
            1 for log in logs for time in log.times if time >= WARM_SECONDS
        )
        goodput = counted / self.scenario.seconds
        judged = [log for log in logs if log.arrived >= WARM_SECONDS]
        wanted = min(self._offered(judged), bound_left)
        found = ScenarioResult(
            name=self.scenario.name,
            seed=self.seed,
            policy=self.policy,
            bound=round(bound, 1),
            goodput=round(goodput, 1),
            goodput_over_bound=round(goodput / bound, 4),
            offered_over_bound=round(self._offered(judged) / bound, 4),
            recovery_seconds=self._recovery(logs, wanted),
            answers_whole=sum(1 for log in logs if log.is_whole),
            answers_cut=sum(map(_is_cut, logs)),
            answers_wrong=sum(map(_is_wrong, logs)),
            answers_refused=sum(map(_is_refused, logs)),
            first_token_seconds=_percentiles(
                log.times[0] - log.arrived for log in judged if log.times
            ),
            between_tokens_seconds=_percentiles(_gaps(judged)),
            fairness=_fairness(judged),
            retry_share=self._retry_share(),
            target_met=False,
        )
        met = _meets(found, self.scenario.target, goodput / wanted)
        return msgspec.structs.replace(found, target_met=met)

    def _offered(self, logs: Iterable[AnswerLog]) -> float:
        """Give the tokens a second of the answers asked for."""
        tokens = sum(
            len(_expected(log, log.request.max_tokens)) for log in logs
        )
        return tokens / self.scenario.seconds

    def _recovery(
        self,
        logs: Iterable[AnswerLog],
        wanted: float,
    ) -> float | None:
        """Give the time from the last fault until things are normal.

        Normal is when goodput stays near what is wanted and every answer
        that was in progress has gone on.
        """
        if not self.scenario.strikes:
            return None
        last = max(strike.after for strike in self.scenario.strikes)
        fault = WARM_SECONDS + last
        found = list(logs)
        rate = self._seconds_to_rate(found, fault, wanted)
        answers = _seconds_to_answers(found, fault)
        if rate is None or answers is None:
            return None
        return round(max(rate, answers), 3)

    def _seconds_to_rate(
        self,
        logs: Iterable[AnswerLog],
        fault: float,
        wanted: float,
    ) -> float | None:
        times = [time for log in logs for time in log.times if time >= fault]
        needed = RECOVERED_SHARE * wanted
        start = fault
        span = STEADY_BUCKETS * BUCKET_SECONDS
        while start + span <= self.cluster.scheduler.now:
            tokens = sum(1 for time in times if start <= time < start + span)
            if tokens >= needed * span:
                return start - fault
            start += BUCKET_SECONDS
        return None

    def _retry_share(self) -> float:
        runs = [
            key.attempt
            for engine in self.cluster.engines.values()
            for key in engine.runs
        ]
        retried = sum(1 for attempt in runs if attempt > 1)
        return round(retried / max(1, len(runs)), 4)


def _seconds_to_answers(
    logs: Iterable[AnswerLog],
    fault: float,
) -> float | None:
    """Give the time until the last answer in progress has gone on."""
    waits = [
        _seconds_to_next(log, fault) for log in logs if _in_progress(log, fault)
    ]
    longest = max(waits, default=0)
    return None if math.isinf(longest) else longest


def _in_progress(log: AnswerLog, moment: float) -> bool:
    ended = log.finish is not None and log.ended <= moment
    return log.arrived <= moment and not ended


def _seconds_to_next(log: AnswerLog, fault: float) -> float:
    following = [time for time in log.times if time > fault]
    if log.finish:
        following.append(log.ended)
    return min(following, default=math.inf) - fault


def _is_cut(log: AnswerLog) -> bool:
    return bool(log.finish and log.finish.error and log.tokens)


def _is_refused(log: AnswerLog) -> bool:
    if log.finish is None or log.finish.error is None:
        return False
    return log.finish.error.outcome is Outcome.NOT_RUN


def _is_wrong(log: AnswerLog) -> bool:
    return log.tokens != _expected(log, len(log.tokens))


def _expected(log: AnswerLog, count: int) -> list[int]:
    return _longest_answer(log.request.prompt)[:count]


@cache
def _longest_answer(prompt: tuple[int, ...]) -> list[int]:
    return expected_tokens(LAYERS, prompt, ANSWER_TOKENS[1])


def _gaps(logs: Iterable[AnswerLog]) -> Iterable[float]:
    for log in logs:
        for earlier, later in itertools.pairwise(log.times):
            yield later - earlier


def _percentiles(seconds: Iterable[float]) -> Percentiles:
    recorder = LatencyRecorder()
    for latency in seconds:
        recorder.add(latency)
    return recorder.percentiles()


def _fairness(logs: Iterable[AnswerLog]) -> float:
    """Give Jain's index over accounts' shares of what they asked for."""
    asked: dict[str, int] = {}
    served: dict[str, int] = {}
    for log in logs:
        account = log.request.account
        asked[account] = asked.get(account, 0) + log.request.max_tokens
        served[account] = served.get(account, 0) + len(log.tokens)
    shares = [served[name] / asked[name] for name in asked]
    squares = sum(share * share for share in shares)
    if not squares:
        return 0
    return round(sum(shares) ** 2 / (len(shares) * squares), 4)


def _meets(
    found: ScenarioResult,
    target: Target,
    goodput_share: float,
) -> bool:
    limits = (
        (target.first_token_p95, found.first_token_seconds.p95),
        (target.between_tokens_p95, found.between_tokens_seconds.p95),
    )
    if any(limit and reached > limit for limit, reached in limits):
        return False
    if target.recovery_seconds is not None:
        recovery = found.recovery_seconds
        if recovery is None or recovery > target.recovery_seconds:
            return False
    if target.goodput is not None and goodput_share < target.goodput:
        return False
    return found.answers_cut <= target.cut and not found.answers_wrong
