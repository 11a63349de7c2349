"""The demo's script: load, faults and what came of them."""

import random
import time
from collections.abc import Callable

import eventlet
from eventlet.greenpool import GreenPool

from wigeonspoke.core.membership import MarkState
from wigeonspoke.demo.findings import Findings, Moments, RunRecord
from wigeonspoke.demo.report import DemoReport, DeploymentReport, sum_up
from wigeonspoke.demo.world import World, check_document, load_document
from wigeonspoke.load import Caller, CallRecord, LoadDriver, LoadPlan
from wigeonspoke.standins import Fault
from wigeonspoke.standins.engine import StandInEngine
from wigeonspoke.standins.platform import FaultKind

DEPLOYMENTS = ('consorcio.toml', 'mareas.toml')
CONCURRENCY = 104
MAX_TOKENS = 8
OPERATION_SECONDS = 0.15
RESEND_SHARE = 0.3
OUTAGE_SECONDS = 0.6
WATCH_SECONDS = 0.1

KILL_AT = 0.45
STORE_AT = 0.6
REVISE_AT = 0.65
DRAIN_AT = 0.66
STOP_AT = 0.75

Progress = Callable[[str], None]


class DemoRun:
    """One deployment under load and faults."""

    __slots__ = (
        'drained',
        'driver',
        'killed',
        'pool',
        'progress',
        'random',
        'record',
        'seconds',
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
        self.record = RunRecord(
            world=self.world,
            seconds=seconds,
            moments=Moments(),
            killed=self.killed.name,
            drained=self.drained.name,
            answers=self.driver.records,
        )

    def run(self) -> DeploymentReport:
        """Run the script and give the findings."""
        self.world.start()
        self.record.moments.start = time.monotonic()
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
        self.record.moments.ended = time.monotonic()
        self.pool.waitall()
        watcher.kill()
        report = Findings(self.record).report()
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
                if seen < self.record.generations.get(name, 0):
                    self.record.reverts += 1
                self.record.generations[name] = seen
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
        record = caller.run_operation(
            self.world.balancer.pick(),
            service['name'],
            path,
            identity,
            identity.encode(),
        )
        self.record.calls.append(record)
        return record

    def _kill_stage(self) -> None:
        self.progress(f'killing {self.killed.name}')
        self.record.moments.kill = time.monotonic()
        self.killed.kill()

    def _lose_store_answer(self) -> None:
        self.progress('losing the answer to a claim after the write')
        lost = Fault(FaultKind.LOST_ANSWER, 'claims')
        self.world.platform.faults.append(lost)
        caller = Caller(self.world.keys[0])
        record = self._submit(caller, 'operation-with-lost-answer')
        answered = (
            record.outcome == 'completed' and self.world.platform.lost_answers
        )
        spent = record.ended - record.started
        self.record.recovery['lost store answer'] = spent if answered else None

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
        self.record.recovery['revision in force'] = time.monotonic() - started

    def _drain(self) -> None:
        name = self.drained.name
        self.progress(f'draining {name}')
        self.record.moments.drain = time.monotonic()
        node = self.world.nodes[0]
        node.mark_sync.set_mark(name, MarkState.DRAIN, 0)

    def _stop_node(self) -> None:
        node = self.world.nodes[2]
        self.progress(f'stopping {node.settings.name} as planned')
        self.record.moments.stop = time.monotonic()
        self.record.stopped = node.callers.address
        self.record.in_progress = len(node.runtime.router.generation.sessions)
        node.stop()
        self.record.recovery['planned stop'] = (
            time.monotonic() - self.record.moments.stop
        )


def run_demo(seed: int, seconds: float, progress: Progress) -> DemoReport:
    """Run both deployments in turn, ``seconds`` of load each."""
    parts: list[DeploymentReport] = []
    for number, name in enumerate(DEPLOYMENTS):
        progress(f'starting {name.removesuffix(".toml")}')
        run = DemoRun(name, seed + number, seconds, progress)
        parts.append(run.run())
    return sum_up(seed, tuple(parts))
