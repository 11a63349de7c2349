"""Evaluation of a demo run from the records of stand-ins and callers."""

from collections import Counter

import msgspec

from wigeonspoke.demo.local_deployment import LocalDeployment
from wigeonspoke.demo.report import (
    DeploymentReport,
    Guarantees,
    Operations,
    Throughput,
)
from wigeonspoke.load import AnswerRecord, AnswerResult, CallRecord

DRAIN_SECONDS = 2.0
RATE_WINDOW_SECONDS = 1.0
WINDOW_STEP_SECONDS = 0.05
RECOVERED_SHARE = 0.95
STEADY_STATE_START = 0.2


class EventTimes:
    """Monotonic times of the load and the injected faults, 0 until then."""

    __slots__ = ('drain', 'kill', 'load_end', 'load_start', 'stop')

    def __init__(self) -> None:
        self.load_start = 0
        self.load_end = 0
        self.kill = 0
        self.drain = 0
        self.stop = 0


class RunRecord(msgspec.Struct):
    """Faults, calls and observations of a run, for its evaluation.

    ``in_progress_at_stop`` counts the answers in progress at the stopped node
    when its planned stop began.  ``observed_reverts`` counts how often the
    configuration generation of a node decreased.
    """

    deployment: LocalDeployment
    seconds: float
    event_times: EventTimes
    killed_endpoint: str
    drained_endpoint: str
    answers: list[AnswerRecord] = []
    calls: list[CallRecord] = []
    recovery: dict[str, float | None] = {}
    generations: dict[str, int] = {}
    observed_reverts: int = 0
    in_progress_at_stop: int = 0
    stopped_node_address: str = ''


class RunEvaluator:
    """Checks the guarantees and computes the figures of a finished run."""

    __slots__ = ('deployment', 'execution_log', 'records', 'run_record')

    def __init__(self, run: RunRecord) -> None:
        self.run_record = run
        self.deployment = run.deployment
        self.execution_log = run.deployment.execution_log
        self.records = run.answers

    def report(self) -> DeploymentReport:
        """Return the results of the run."""
        recovery = {'stage killed': self._kill_recovery_seconds()}
        recovery.update(self.run_record.recovery)
        return DeploymentReport(
            deployment=self.deployment.document['deployment'],
            promises=self._check_guarantees(),
            throughput=self._measure_throughput(),
            recovery_seconds=recovery,
            operations=self._count_operations(),
            answers_refused=self._count_answers(AnswerResult.REFUSED),
        )

    def _check_guarantees(self) -> Guarantees:
        findings = self.execution_log.check()
        has_answers = len(self.records)
        has_steps = findings.tokens_checked
        return Guarantees(
            layers_out_of_order=findings.layers_out_of_order
            if has_steps
            else None,
            answers_whole=self._count_answers(AnswerResult.WHOLE),
            answers_cut=self._count_answers(AnswerResult.CUT)
            if has_answers
            else None,
            answers_wrong=self._count_answers(AnswerResult.WRONG)
            if has_answers
            else None,
            answers_failed=self._count_answers(AnswerResult.FAILED)
            if has_answers
            else None,
            repeated_operations=self._repeated_operations(
                findings.repeated_operations
            ),
            not_run_but_ran=self._not_run_but_ran(),
            work_after_drain=self._work_after_drain(),
            cut_by_planned_stop=self._cut_by_planned_stop(),
            generation_reverts=self._generation_reverts(),
        )

    def _count_answers(self, result: AnswerResult) -> int:
        return sum(1 for record in self.records if record.result is result)

    def _repeated_operations(self, repeated: int) -> int | None:
        request_counts = Counter(
            call.identity for call in self.run_record.calls
        )
        sent_again = any(count > 1 for count in request_counts.values())
        return repeated if sent_again else None

    def _not_run_but_ran(self) -> int | None:
        outcomes: dict[str, set[str]] = {}
        for call in self.run_record.calls:
            outcomes.setdefault(call.identity, set()).add(call.outcome)
        refused = [
            identity
            for identity, seen in outcomes.items()
            if seen == {'not-run'}
        ]
        if not refused:
            return None
        runs = self.execution_log.runs_by_operation()
        return sum(1 for identity in refused if identity in runs)

    def _work_after_drain(self) -> int | None:
        deadline = self.run_record.event_times.drain + DRAIN_SECONDS
        has_later_streams = any(
            step.opened and step.at > deadline
            for step in self.execution_log.steps
        )
        if not self.run_record.event_times.drain or not has_later_streams:
            return None
        return self.execution_log.count_streams_opened_after(
            self.run_record.drained_endpoint, deadline
        )

    def _cut_by_planned_stop(self) -> int | None:
        if not self.run_record.in_progress_at_stop:
            return None
        return sum(
            1
            for record in self.records
            if record.node == self.run_record.stopped_node_address
            and record.ended >= self.run_record.event_times.stop
            and record.result in {AnswerResult.CUT, AnswerResult.FAILED}
        )

    def _generation_reverts(self) -> int | None:
        revised = max(self.run_record.generations.values(), default=0) > 1
        return self.run_record.observed_reverts if revised else None

    def _count_operations(self) -> Operations:
        runs = self.execution_log.runs_by_operation()
        calls = self.run_record.calls
        return Operations(
            asked=len({call.identity for call in calls}),
            requests=len(calls),
            run=len(runs),
            most_runs=max(runs.values(), default=0),
            refused_not_run=sum(
                1 for call in calls if call.outcome == 'not-run'
            ),
        )

    def _steady_rate(self) -> float:
        start = (
            self.run_record.event_times.load_start
            + STEADY_STATE_START * self.run_record.seconds
        )
        end = self.run_record.event_times.kill
        tokens = self.execution_log.count_tokens_between(
            start, end, self.deployment.layers
        )
        return tokens / (end - start)

    def _measure_throughput(self) -> Throughput:
        bound = self.deployment.throughput_bound()
        token_rate = self._steady_rate()
        return Throughput(
            round(bound, 2),
            round(token_rate, 2),
            round(token_rate / bound, 3),
        )

    def _kill_recovery_seconds(self) -> float | None:
        """Return the time from the kill of a stage until recovery.

        The deployment has recovered when the token rate over one second is
        back at the level that the remaining engines allow and every answer
        that the stage took part in has made progress.
        """
        rate_delay = self._seconds_to_token_rate()
        progress_delay = self._seconds_to_all_progress()
        if rate_delay is None or progress_delay is None:
            return None
        return round(max(rate_delay, progress_delay), 2)

    def _seconds_to_token_rate(self) -> float | None:
        """Return the time until 95 % of the steady rate is reached.

        The steady rate is scaled by the ratio of the throughput bounds
        without and with the killed stage.
        """
        killed = (self.run_record.killed_endpoint,)
        bound_ratio = (
            self.deployment.throughput_bound(killed)
            / self.deployment.throughput_bound()
        )
        required_rate = RECOVERED_SHARE * bound_ratio * self._steady_rate()
        kill = self.run_record.event_times.kill
        start = kill
        while (
            start + RATE_WINDOW_SECONDS <= self.run_record.event_times.load_end
        ):
            tokens = self.execution_log.count_tokens_between(
                start,
                start + RATE_WINDOW_SECONDS,
                self.deployment.layers,
            )
            if tokens >= required_rate * RATE_WINDOW_SECONDS:
                return start - kill
            start += WINDOW_STEP_SECONDS
        return None

    def _seconds_to_all_progress(self) -> float | None:
        """Return the time until every interrupted answer has a new token."""
        kill = self.run_record.event_times.kill
        attempts = self._interrupted_attempts()
        resumed: dict[str, float] = {}
        for step in self.execution_log.steps:
            attempt = attempts.get(step.request_id)
            is_last_stage = step.end_layer == self.deployment.layers
            if attempt and step.attempt > attempt and is_last_stage:
                resumed.setdefault(step.request_id, step.at - kill)
        if len(resumed) < len(attempts):
            return None
        return max(resumed.values(), default=0)

    def _interrupted_attempts(self) -> dict[str, int]:
        """Return the attempt of each request that the kill interrupted.

        It is the last attempt in which the stage ran a step.  A request
        without a later attempt no longer needed the stage and is left out.
        """
        kill = self.run_record.event_times.kill
        killed_endpoint = self.run_record.killed_endpoint
        last_attempts_on_killed = {
            step.request_id: step.attempt
            for step in self.execution_log.steps
            if step.endpoint == killed_endpoint
        }
        last_attempts = {
            step.request_id: step.attempt for step in self.execution_log.steps
        }
        return {
            request_id: attempt
            for request_id, attempt in last_attempts_on_killed.items()
            if last_attempts[request_id] > attempt
            and self._has_step_after(request_id, kill)
        }

    def _has_step_after(self, request_id: str, moment: float) -> bool:
        return any(
            step.request_id == request_id and step.at > moment
            for step in self.execution_log.steps
        )
