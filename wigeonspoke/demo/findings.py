"""Judges a finished run from the records of stand-ins and callers."""

from collections import Counter

import msgspec

from wigeonspoke.demo.report import (
    DeploymentReport,
    Operations,
    Promises,
    Throughput,
)
from wigeonspoke.demo.world import World
from wigeonspoke.load import AnswerRecord, AnswerResult, CallRecord

DRAIN_SECONDS = 2.0
WINDOW_SECONDS = 1.0
STEP_SECONDS = 0.05
RECOVERED_SHARE = 0.95
STEADY_FROM = 0.2


class Moments:
    """When the load began and ended and when faults struck, 0 if not yet."""

    __slots__ = ('drain', 'ended', 'kill', 'start', 'stop')

    def __init__(self) -> None:
        self.start = 0
        self.ended = 0
        self.kill = 0
        self.drain = 0
        self.stop = 0


class RunRecord(msgspec.Struct):
    """What a run did and saw, for the judgement.

    ``in_progress`` counts the answers at the node that was stopped when its
    stop began, ``reverts`` the times a node's generation was seen to fall.
    """

    world: World
    seconds: float
    moments: Moments
    killed: str
    drained: str
    answers: list[AnswerRecord] = []
    calls: list[CallRecord] = []
    recovery: dict[str, float | None] = {}
    generations: dict[str, int] = {}
    reverts: int = 0
    in_progress: int = 0
    stopped: str = ''


class Findings:
    """Judges a finished run from the records of stand-ins and callers."""

    __slots__ = ('ledger', 'records', 'run', 'world')

    def __init__(self, run: RunRecord) -> None:
        self.run = run
        self.world = run.world
        self.ledger = run.world.ledger
        self.records = run.answers

    def report(self) -> DeploymentReport:
        """Give the findings."""
        recovery = {'stage killed': self._recovery_after_kill()}
        recovery.update(self.run.recovery)
        return DeploymentReport(
            deployment=self.world.document['deployment'],
            promises=self._promises(),
            throughput=self._throughput(),
            recovery_seconds=recovery,
            operations=self._operations(),
            answers_refused=self._count(AnswerResult.REFUSED),
        )

    def _promises(self) -> Promises:
        found = self.ledger.check()
        asked = len(self.records)
        steps = found.tokens_checked
        return Promises(
            layers_out_of_order=found.layers_out_of_order if steps else None,
            answers_whole=self._count(AnswerResult.WHOLE),
            answers_cut=self._count(AnswerResult.CUT) if asked else None,
            answers_wrong=self._count(AnswerResult.WRONG) if asked else None,
            answers_failed=self._count(AnswerResult.FAILED) if asked else None,
            repeated_operations=self._repeated(found.repeated_operations),
            not_run_but_ran=self._not_run_but_ran(),
            work_after_drain=self._work_after_drain(),
            cut_by_planned_stop=self._cut_by_stop(),
            generation_reverts=self._reverts(),
        )

    def _count(self, verdict: AnswerResult) -> int:
        return sum(1 for one in self.records if one.result is verdict)

    def _repeated(self, repeated: int) -> int | None:
        asked = Counter(call.identity for call in self.run.calls)
        sent_again = any(count > 1 for count in asked.values())
        return repeated if sent_again else None

    def _not_run_but_ran(self) -> int | None:
        outcomes: dict[str, set[str]] = {}
        for call in self.run.calls:
            outcomes.setdefault(call.identity, set()).add(call.outcome)
        refused = [
            identity
            for identity, seen in outcomes.items()
            if seen == {'not-run'}
        ]
        if not refused:
            return None
        runs = self.ledger.runs_by_operation()
        return sum(1 for identity in refused if identity in runs)

    def _work_after_drain(self) -> int | None:
        moment = self.run.moments.drain + DRAIN_SECONDS
        elsewhere = any(
            step.opened and step.at > moment for step in self.ledger.steps
        )
        if not self.run.moments.drain or not elsewhere:
            return None
        return self.ledger.count_streams_opened_after(self.run.drained, moment)

    def _cut_by_stop(self) -> int | None:
        if not self.run.in_progress:
            return None
        return sum(
            1
            for record in self.records
            if record.node == self.run.stopped
            and record.ended >= self.run.moments.stop
            and record.result in {AnswerResult.CUT, AnswerResult.FAILED}
        )

    def _reverts(self) -> int | None:
        revised = max(self.run.generations.values(), default=0) > 1
        return self.run.reverts if revised else None

    def _operations(self) -> Operations:
        runs = self.ledger.runs_by_operation()
        calls = self.run.calls
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
        start = self.run.moments.start + STEADY_FROM * self.run.seconds
        end = self.run.moments.kill
        tokens = self.ledger.count_tokens_between(start, end, self.world.layers)
        return tokens / (end - start)

    def _throughput(self) -> Throughput:
        bound = self.world.bound()
        rate = self._steady_rate()
        return Throughput(
            round(bound, 2),
            round(rate, 2),
            round(rate / bound, 3),
        )

    def _recovery_after_kill(self) -> float | None:
        """Give the time until things are normal after a stage was killed.

        Normal is when a second's rate is back where it can be and every
        answer that the stage took part in goes on.
        """
        rate = self._seconds_to_rate()
        answers = self._seconds_to_answers()
        if rate is None or answers is None:
            return None
        return round(max(rate, answers), 2)

    def _seconds_to_rate(self) -> float | None:
        """Give the time until 95 in 100 of the steady rate are reached.

        The steady rate is scaled by the bound without the killed stage
        over the bound with it.
        """
        killed = (self.run.killed,)
        share = self.world.bound(killed) / self.world.bound()
        wanted = RECOVERED_SHARE * share * self._steady_rate()
        kill = self.run.moments.kill
        start = kill
        while start + WINDOW_SECONDS <= self.run.moments.ended:
            tokens = self.ledger.count_tokens_between(
                start,
                start + WINDOW_SECONDS,
                self.world.layers,
            )
            if tokens >= wanted * WINDOW_SECONDS:
                return start - kill
            start += STEP_SECONDS
        return None

    def _seconds_to_answers(self) -> float | None:
        """Give the time until the last interrupted answer has a new token."""
        kill = self.run.moments.kill
        attempts = self._interrupted_attempts()
        resumed: dict[str, float] = {}
        for step in self.ledger.steps:
            attempt = attempts.get(step.request_id)
            is_token = step.end_layer == self.world.layers
            if attempt and step.attempt > attempt and is_token:
                resumed.setdefault(step.request_id, step.at - kill)
        if len(resumed) < len(attempts):
            return None
        return max(resumed.values(), default=0)

    def _interrupted_attempts(self) -> dict[str, int]:
        """Give the attempt in which the killed stage last ran a request.

        A request that went on without a new attempt had no further need of
        the stage.
        """
        kill = self.run.moments.kill
        name = self.run.killed
        ran = {
            step.request_id: step.attempt
            for step in self.ledger.steps
            if step.endpoint == name
        }
        last = {step.request_id: step.attempt for step in self.ledger.steps}
        return {
            request_id: attempt
            for request_id, attempt in ran.items()
            if last[request_id] > attempt and self._lasted(request_id, kill)
        }

    def _lasted(self, request_id: str, moment: float) -> bool:
        return any(
            step.request_id == request_id and step.at > moment
            for step in self.ledger.steps
        )
