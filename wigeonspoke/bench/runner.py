"""Execution of benchmark scenarios and evaluation of their results."""

import itertools
import math
from collections.abc import Iterable
from functools import cache

import msgspec

from wigeonspoke.bench.cluster import (
    PolicyFactory,
    RequestRecord,
    VirtualCluster,
)
from wigeonspoke.bench.deployment import (
    LAYERS,
    make_deployment,
    node_domains,
)
from wigeonspoke.bench.naive import NaiveRouter
from wigeonspoke.bench.scenarios import Scenario, Target
from wigeonspoke.bench.traffic import MAX_TOKENS_RANGE, TrafficGenerator
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.router import Router
from wigeonspoke.core.routes.throughput import throughput_bound
from wigeonspoke.observe import LatencyRecorder, Percentiles
from wigeonspoke.standins.model import expected_tokens

WARMUP_SECONDS = 2.0
# Goodput after a fault is measured in windows of WINDOW_STEPS steps.
WINDOW_STEP_SECONDS = 0.25
WINDOW_STEPS = 4
RECOVERED_SHARE = 0.95
POLICIES: dict[str, PolicyFactory] = {
    'present': Router,
    'naive': NaiveRouter,
}


class ScenarioResult(msgspec.Struct, frozen=True):
    """Results of one policy in one scenario.

    Throughputs are in tokens per second.  ``bound`` is the throughput bound
    of all engines before any fault.  ``fairness`` is Jain's index over the
    accounts.  ``retry_share`` is the share of executed steps that belonged to
    a second or later attempt.  A refused answer counts neither as whole nor
    as cut.
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
    """Results of a benchmark run, as written to a JSON file."""

    scenarios: tuple[ScenarioResult, ...]


class ScenarioRun:
    """Runs one policy in one scenario."""

    __slots__ = ('cluster', 'policy', 'scenario', 'seed', 'traffic')

    def __init__(self, scenario: Scenario, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.cluster = VirtualCluster(
            make_deployment(scenario.size),
            node_domains(scenario.size),
            POLICIES[policy],
            seed,
        )
        self.traffic = TrafficGenerator(
            self.cluster,
            scenario.load * self.current_bound(),
            seed,
            scenario.batch_share,
        )

    def current_bound(self) -> float:
        """Return the throughput bound of the engines that work now."""
        alive = [
            engine.record
            for engine in self.cluster.engines.values()
            if engine.alive and not engine.hung
        ]
        return throughput_bound(alive, LAYERS)

    def run(self) -> ScenarioResult:
        """Run the scenario and return its results."""
        bound = self.current_bound()
        scheduler = self.cluster.scheduler
        for fault in self.scenario.faults:
            scheduler.call_later(
                WARMUP_SECONDS + fault.delay_seconds,
                fault.inject,
                self.cluster,
            )
        self.cluster.start()
        self.traffic.start()
        scheduler.run_until(WARMUP_SECONDS + self.scenario.seconds)
        return self._result(bound, self.current_bound())

    def _result(self, bound: float, final_bound: float) -> ScenarioResult:
        records = list(set(self.cluster.request_records.values()))
        token_count = sum(
            1
            for record in records
            for time in record.token_times
            if time >= WARMUP_SECONDS
        )
        goodput = token_count / self.scenario.seconds
        measured = [
            record
            for record in records
            if record.arrival_time >= WARMUP_SECONDS
        ]
        attainable = min(self._offered_rate(measured), final_bound)
        result = ScenarioResult(
            name=self.scenario.name,
            seed=self.seed,
            policy=self.policy,
            bound=round(bound, 1),
            goodput=round(goodput, 1),
            goodput_over_bound=round(goodput / bound, 4),
            offered_over_bound=round(self._offered_rate(measured) / bound, 4),
            recovery_seconds=self._recovery_seconds(records, attainable),
            answers_whole=sum(1 for record in records if record.is_complete),
            answers_cut=sum(map(_is_cut, records)),
            answers_wrong=sum(map(_is_wrong, records)),
            answers_refused=sum(map(_is_refused, records)),
            first_token_seconds=_percentiles(
                record.token_times[0] - record.arrival_time
                for record in measured
                if record.token_times
            ),
            between_tokens_seconds=_percentiles(_token_intervals(measured)),
            fairness=_fairness(measured),
            retry_share=self._retry_share(),
            target_met=False,
        )
        met = _meets_target(result, self.scenario.target, goodput / attainable)
        return msgspec.structs.replace(result, target_met=met)

    def _offered_rate(self, records: Iterable[RequestRecord]) -> float:
        """Return the requested tokens per second."""
        tokens = sum(
            len(_expected(record, record.request.max_tokens))
            for record in records
        )
        return tokens / self.scenario.seconds

    def _recovery_seconds(
        self,
        records: Iterable[RequestRecord],
        attainable: float,
    ) -> float | None:
        """Return the time from the last fault until the cluster recovered.

        The cluster has recovered when goodput is close to the attainable
        throughput and every answer in progress at the fault has made progress.
        """
        if not self.scenario.faults:
            return None
        last_delay = max(fault.delay_seconds for fault in self.scenario.faults)
        fault_time = WARMUP_SECONDS + last_delay
        all_records = list(records)
        goodput_delay = self._seconds_to_goodput(
            all_records, fault_time, attainable
        )
        progress_delay = _seconds_to_all_progress(all_records, fault_time)
        if goodput_delay is None or progress_delay is None:
            return None
        return round(max(goodput_delay, progress_delay), 3)

    def _seconds_to_goodput(
        self,
        records: Iterable[RequestRecord],
        fault_time: float,
        attainable: float,
    ) -> float | None:
        token_times = [
            time
            for record in records
            for time in record.token_times
            if time >= fault_time
        ]
        needed = RECOVERED_SHARE * attainable
        start = fault_time
        window_seconds = WINDOW_STEPS * WINDOW_STEP_SECONDS
        while start + window_seconds <= self.cluster.scheduler.now:
            tokens = sum(
                1
                for time in token_times
                if start <= time < start + window_seconds
            )
            if tokens >= needed * window_seconds:
                return start - fault_time
            start += WINDOW_STEP_SECONDS
        return None

    def _retry_share(self) -> float:
        runs = [
            key.attempt
            for engine in self.cluster.engines.values()
            for key in engine.step_runs
        ]
        retried = sum(1 for attempt in runs if attempt > 1)
        return round(retried / max(1, len(runs)), 4)


def _seconds_to_all_progress(
    records: Iterable[RequestRecord],
    fault_time: float,
) -> float | None:
    """Return the time until all answers in progress have made progress.

    An answer makes progress with its next token or its end.  The time is
    ``None`` if an answer has made none by the end of the run.
    """
    delays = [
        _seconds_to_progress(record, fault_time)
        for record in records
        if _in_progress(record, fault_time)
    ]
    longest = max(delays, default=0)
    return None if math.isinf(longest) else longest


def _in_progress(record: RequestRecord, moment: float) -> bool:
    ended = record.finish is not None and record.end_time <= moment
    return record.arrival_time <= moment and not ended


def _seconds_to_progress(record: RequestRecord, fault_time: float) -> float:
    later_times = [time for time in record.token_times if time > fault_time]
    if record.finish:
        later_times.append(record.end_time)
    return min(later_times, default=math.inf) - fault_time


def _is_cut(record: RequestRecord) -> bool:
    return bool(record.finish and record.finish.error and record.tokens)


def _is_refused(record: RequestRecord) -> bool:
    if record.finish is None or record.finish.error is None:
        return False
    return record.finish.error.outcome is Outcome.NOT_RUN


def _is_wrong(record: RequestRecord) -> bool:
    return record.tokens != _expected(record, len(record.tokens))


def _expected(record: RequestRecord, count: int) -> list[int]:
    return _longest_answer(record.request.prompt)[:count]


@cache
def _longest_answer(prompt: tuple[int, ...]) -> list[int]:
    return expected_tokens(LAYERS, prompt, MAX_TOKENS_RANGE[1])


def _token_intervals(records: Iterable[RequestRecord]) -> Iterable[float]:
    for record in records:
        for earlier, later in itertools.pairwise(record.token_times):
            yield later - earlier


def _percentiles(seconds: Iterable[float]) -> Percentiles:
    recorder = LatencyRecorder()
    for latency in seconds:
        recorder.add(latency)
    return recorder.percentiles()


def _fairness(records: Iterable[RequestRecord]) -> float:
    """Return Jain's fairness index over the accounts.

    The index uses the ratio of received to requested tokens of each account.
    """
    requested: dict[str, int] = {}
    served: dict[str, int] = {}
    for record in records:
        account = record.request.account
        requested[account] = (
            requested.get(account, 0) + record.request.max_tokens
        )
        served[account] = served.get(account, 0) + len(record.tokens)
    shares = [served[name] / requested[name] for name in requested]
    squares = sum(share * share for share in shares)
    if not squares:
        return 0
    return round(sum(shares) ** 2 / (len(shares) * squares), 4)


def _meets_target(
    result: ScenarioResult,
    target: Target,
    goodput_share: float,
) -> bool:
    limits = (
        (target.first_token_p95, result.first_token_seconds.p95),
        (target.between_tokens_p95, result.between_tokens_seconds.p95),
    )
    if any(limit and observed > limit for limit, observed in limits):
        return False
    if target.recovery_seconds is not None:
        recovery = result.recovery_seconds
        if recovery is None or recovery > target.recovery_seconds:
            return False
    if target.goodput is not None and goodput_share < target.goodput:
        return False
    return (
        result.answers_cut <= target.max_answers_cut
        and not result.answers_wrong
    )
