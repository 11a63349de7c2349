"""The demo's script: load, faults and what came of them."""

import random
import time
from collections import Counter
from collections.abc import Callable

import eventlet
from eventlet.greenpool import GreenPool

from wigeonspoke.core.membership import MarkState
from wigeonspoke.demo.report import (
    DemoReport,
    DeploymentReport,
    Operations,
    Promises,
    Throughput,
    sum_up,
)
from wigeonspoke.demo.world import World, check_document, load_document
from wigeonspoke.load import (
    Caller,
    CallRecord,
    LoadDriver,
    LoadPlan,
    Verdict,
)
from wigeonspoke.standins import Fault
from wigeonspoke.standins.engine import StandInEngine
from wigeonspoke.standins.platform import FaultKind

DEPLOYMENTS = ('consorcio.toml', 'mareas.toml')
CONCURRENCY = 104
MAX_TOKENS = 8
OPERATION_SECONDS = 0.15
RESEND_SHARE = 0.3
DRAIN_SECONDS = 2.0
WINDOW_SECONDS = 1.0
STEP_SECONDS = 0.05
RECOVERED_SHARE = 0.95
OUTAGE_SECONDS = 0.6
WATCH_SECONDS = 0.1

STEADY_FROM = 0.2
KILL_AT = 0.45
STORE_AT = 0.6
REVISE_AT = 0.65
DRAIN_AT = 0.66
STOP_AT = 0.75

Progress = Callable[[str], None]


class Moments:
    """When the load began and ended and when faults struck, 0 if not yet."""

    __slots__ = ('drain', 'ended', 'kill', 'start', 'stop')

    def __init__(self) -> None:
        self.start = 0
        self.ended = 0
        self.kill = 0
        self.drain = 0
        self.stop = 0


class DemoRun:
    """One deployment under load and faults."""

    __slots__ = (
        'calls',
        'driver',
        'drained',
        'generations',
        'in_progress',
        'killed',
        'moments',
        'pool',
        'progress',
        'random',
        'recovery',
        'reverts',
        'seconds',
        'stopped',
        'world',
    )

    def __init__(
        self,
        name: str,
        seed: int,
        seconds: float,
        progress: Progress,
    ) -> None:
        self.world = World(load_document(name))
        self.seconds = seconds
        self.progress = progress
        self.random = random.Random(seed)
        self.pool = GreenPool()
        self.calls: list[CallRecord] = []
        self.recovery: dict[str, float | None] = {}
        self.generations: dict[str, int] = {}
        self.reverts = 0
        self.in_progress = 0
        self.stopped = ''
        self.moments = Moments()
        plan = LoadPlan(
            model=self.world.model['name'],
            layers=self.world.layers,
            seconds=seconds,
            concurrency=CONCURRENCY,
            max_tokens=MAX_TOKENS,
            seed=seed,
        )
        self.driver = LoadDriver(plan, self.world.balancer, self.world.keys)
        self.drained = self._engine(2, 0)
        self.killed = self._engine(1, 1)

    def run(self) -> DeploymentReport:
        """Run the script and give the findings."""
        self.world.start()
        self.moments.start = time.monotonic()
        watcher = eventlet.spawn(self._watch_generations)
        script = (
            (KILL_AT, self._kill_stage),
            (STORE_AT, self._lose_store_answer),
            (STORE_AT, self._refuse_without_store),
            (REVISE_AT, self._revise),
            (DRAIN_AT, self._drain),
            (STOP_AT, self._stop_node),
        )
        for share, fault in script:
            self.pool.spawn(self._strike, share * self.seconds, fault)
        self.pool.spawn(self._operate)
        self.driver.run()
        self.moments.ended = time.monotonic()
        self.pool.waitall()
        watcher.kill()
        report = Findings(self).report()
        self.world.close()
        return report

    def _strike(self, delay: float, fault: Callable[[], None]) -> None:
        eventlet.sleep(delay)
        fault()

    def _engine(self, domain: int, stage: int) -> StandInEngine:
        name = self.world.document['failure_domains'][domain]
        return [
            engine
            for engine in self.world.engines
            if engine.record.failure_domain == name
        ][stage]

    def _watch_generations(self) -> None:
        while True:
            for node in self.world.nodes:
                name = node.settings.name
                seen = node.config_sync.generation
                if seen < self.generations.get(name, 0):
                    self.reverts += 1
                self.generations[name] = seen
            eventlet.sleep(WATCH_SECONDS)

    def _operate(self) -> None:
        """Submit operations; some are sent again to another node at once."""
        callers = [Caller(key) for key in self.world.keys]
        end = time.monotonic() + self.seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            caller = self.random.choice(callers)
            copies = 2 if self.random.random() < RESEND_SHARE else 1
            for _ in range(copies):
                self.pool.spawn(self._submit, caller, f'operation-{number}')
            eventlet.sleep(OPERATION_SECONDS)

    def _submit(self, caller: Caller, identity: str) -> CallRecord:
        service = self.world.service
        path = next(
            operation['path']
            for operation in service['operations']
            if not operation['repeatable']
        )
        record = caller.operate(
            self.world.balancer.pick(),
            service['name'],
            path,
            identity,
            identity.encode(),
        )
        self.calls.append(record)
        return record

    def _kill_stage(self) -> None:
        self.progress(f'killing {self.killed.name}')
        self.moments.kill = time.monotonic()
        self.killed.kill()

    def _lose_store_answer(self) -> None:
        self.progress('losing the answer to a claim after the write')
        lost = Fault(FaultKind.LOST_ANSWER, 'claims')
        self.world.platform.faults.append(lost)
        caller = Caller(self.world.keys[0])
        record = self._submit(caller, 'operation-with-lost-answer')
        answered = record.outcome == 'completed' and self.world.platform.lost
        spent = record.ended - record.started
        self.recovery['lost store answer'] = spent if answered else None

    def _refuse_without_store(self) -> None:
        eventlet.sleep(OUTAGE_SECONDS / 2)
        self.progress('taking the claims table down')
        outage = Fault(FaultKind.OUTAGE, 'claims', count=0)
        self.world.platform.faults.append(outage)
        eventlet.sleep(OUTAGE_SECONDS)
        self.world.platform.faults.remove(outage)

    def _revise(self) -> None:
        """Put a revision in force while everything else goes on."""
        self.progress('revising the questionnaire')
        started = time.monotonic()
        document = dict(self.world.document)
        accounts = [dict(account) for account in document['accounts']]
        accounts[0]['weight'] += 1
        document['accounts'] = accounts
        published = self.world.store.publish(
            check_document(document),
            1,
            'demo',
        )
        generation = published.unwrap().generation
        while any(
            node.config_sync.generation < generation
            for node in self.world.nodes
            if not node.stopping
        ):
            eventlet.sleep(WATCH_SECONDS)
        self.recovery['revision in force'] = time.monotonic() - started

    def _drain(self) -> None:
        name = self.drained.name
        self.progress(f'draining {name}')
        self.moments.drain = time.monotonic()
        node = self.world.nodes[0]
        node.mark_sync.mark(name, MarkState.DRAIN, 0)

    def _stop_node(self) -> None:
        node = self.world.nodes[2]
        self.progress(f'stopping {node.settings.name} as planned')
        self.moments.stop = time.monotonic()
        self.stopped = node.callers.address
        self.in_progress = len(node.runtime.router.generation.sessions)
        node.stop()
        self.recovery['planned stop'] = time.monotonic() - self.moments.stop


class Findings:
    """Judges a finished run from the records of stand-ins and callers."""

    __slots__ = ('ledger', 'records', 'run', 'world')

    def __init__(self, run: DemoRun) -> None:
        self.run = run
        self.world = run.world
        self.ledger = run.world.ledger
        self.records = run.driver.records

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
            answers_refused=self._count(Verdict.REFUSED),
        )

    def _promises(self) -> Promises:
        found = self.ledger.check()
        asked = len(self.records)
        steps = found.tokens_checked
        return Promises(
            layers_out_of_order=found.layers_out_of_order if steps else None,
            answers_whole=self._count(Verdict.WHOLE),
            answers_cut=self._count(Verdict.CUT) if asked else None,
            answers_wrong=self._count(Verdict.WRONG) if asked else None,
            answers_failed=self._count(Verdict.FAILED) if asked else None,
            repeated_operations=self._repeated(found.repeated_operations),
            not_run_but_ran=self._not_run_but_ran(),
            work_after_drain=self._work_after_drain(),
            cut_by_planned_stop=self._cut_by_stop(),
            generation_reverts=self._reverts(),
        )

    def _count(self, verdict: Verdict) -> int:
        return sum(1 for one in self.records if one.verdict is verdict)

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
        return self.ledger.opened_after(self.run.drained.name, moment)

    def _cut_by_stop(self) -> int | None:
        if not self.run.in_progress:
            return None
        return sum(
            1
            for record in self.records
            if record.node == self.run.stopped
            and record.ended >= self.run.moments.stop
            and record.verdict in {Verdict.CUT, Verdict.FAILED}
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
        tokens = self.ledger.tokens_between(start, end, self.world.layers)
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
        killed = (self.run.killed.name,)
        share = self.world.bound(killed) / self.world.bound()
        wanted = RECOVERED_SHARE * share * self._steady_rate()
        kill = self.run.moments.kill
        start = kill
        while start + WINDOW_SECONDS <= self.run.moments.ended:
            tokens = self.ledger.tokens_between(
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
        name = self.run.killed.name
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


def run_demo(seed: int, seconds: float, progress: Progress) -> DemoReport:
    """Run both deployments in turn, ``seconds`` of load each."""
    parts: list[DeploymentReport] = []
    for number, name in enumerate(DEPLOYMENTS):
        progress(f'starting {name.removesuffix(".toml")}')
        run = DemoRun(name, seed + number, seconds, progress)
        parts.append(run.run())
    return sum_up(seed, tuple(parts))
