"""Execution of the demo: load, fault injection and evaluation."""

import random
import time
from collections.abc import Callable

import eventlet
from eventlet.greenpool import GreenPool

from wigeonspoke.core.membership import MarkState
from wigeonspoke.demo.evaluation import EventTimes, RunEvaluator, RunRecord
from wigeonspoke.demo.local_deployment import (
    LocalDeployment,
    check_document,
    load_document,
)
from wigeonspoke.demo.report import (
    DemoReport,
    DeploymentReport,
    combine_reports,
)
from wigeonspoke.load import Caller, CallRecord, LoadDriver, LoadPlan
from wigeonspoke.standins import Fault
from wigeonspoke.standins.engine import StandInEngine
from wigeonspoke.standins.platform import FaultKind

DEPLOYMENTS = ('consorcio.toml', 'mareas.toml')
CONCURRENCY = 104
MAX_TOKENS = 8
OPERATION_INTERVAL_SECONDS = 0.15
RESEND_SHARE = 0.3
OUTAGE_SECONDS = 0.6
POLL_INTERVAL_SECONDS = 0.1

# The times of the faults, as shares of the duration of the load.
KILL_AT_SHARE = 0.45
STORE_FAULTS_AT_SHARE = 0.6
REVISION_AT_SHARE = 0.65
DRAIN_AT_SHARE = 0.66
STOP_AT_SHARE = 0.75

ProgressCallback = Callable[[str], None]


class DemoRun:
    """Runs one deployment under load and injects faults."""

    __slots__ = (
        'deployment',
        'drained_engine',
        'driver',
        'killed_engine',
        'pool',
        'record',
        'report_progress',
        'rng',
        'seconds',
    )

    def __init__(
        self,
        name: str,
        seed: int,
        seconds: float,
        report_progress: ProgressCallback,
    ) -> None:
        self.deployment = LocalDeployment(load_document(name))
        self.seconds = seconds
        self.report_progress = report_progress
        self.rng = random.Random(seed)
        self.pool = GreenPool()
        plan = LoadPlan(
            model=self.deployment.model['name'],
            layers=self.deployment.layers,
            seconds=seconds,
            concurrency=CONCURRENCY,
            max_tokens=MAX_TOKENS,
            seed=seed,
        )
        self.driver = LoadDriver(
            plan, self.deployment.balancer, self.deployment.api_keys
        )
        self.drained_engine = self._find_engine(2, 0)
        self.killed_engine = self._find_engine(1, 1)
        self.record = RunRecord(
            deployment=self.deployment,
            seconds=seconds,
            event_times=EventTimes(),
            killed_endpoint=self.killed_engine.name,
            drained_endpoint=self.drained_engine.name,
            answers=self.driver.records,
        )

    def run(self) -> DeploymentReport:
        """Apply the load, inject the faults and return the report."""
        self.deployment.start()
        self.record.event_times.load_start = time.monotonic()
        watcher_thread = eventlet.spawn(self._watch_generations)
        fault_schedule = (
            (KILL_AT_SHARE, self._kill_stage),
            (STORE_FAULTS_AT_SHARE, self._lose_store_reply),
            (STORE_FAULTS_AT_SHARE, self._take_store_down),
            (REVISION_AT_SHARE, self._publish_revision),
            (DRAIN_AT_SHARE, self._drain_stage),
            (STOP_AT_SHARE, self._stop_node),
        )
        for time_share, inject_fault in fault_schedule:
            self.pool.spawn(
                self._inject_after, time_share * self.seconds, inject_fault
            )
        self.pool.spawn(self._submit_operations)
        self.driver.run()
        self.record.event_times.load_end = time.monotonic()
        self.pool.waitall()
        watcher_thread.kill()
        report = RunEvaluator(self.record).report()
        self.deployment.close()
        return report

    def _inject_after(
        self, delay: float, inject_fault: Callable[[], None]
    ) -> None:
        eventlet.sleep(delay)
        inject_fault()

    def _find_engine(self, domain: int, stage: int) -> StandInEngine:
        name = self.deployment.document['failure_domains'][domain]
        return [
            engine
            for engine in self.deployment.engines
            if engine.record.failure_domain == name
        ][stage]

    def _watch_generations(self) -> None:
        while True:
            for node in self.deployment.nodes:
                name = node.settings.name
                seen = node.config_sync.generation
                if seen < self.record.generations.get(name, 0):
                    self.record.observed_reverts += 1
                self.record.generations[name] = seen
            eventlet.sleep(POLL_INTERVAL_SECONDS)

    def _submit_operations(self) -> None:
        """Submit operations, some of them to two nodes at the same time."""
        callers = [Caller(key) for key in self.deployment.api_keys]
        end = time.monotonic() + self.seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            caller = self.rng.choice(callers)
            copies = 2 if self.rng.random() < RESEND_SHARE else 1
            for _ in range(copies):
                self.pool.spawn(self._submit, caller, f'operation-{number}')
            eventlet.sleep(OPERATION_INTERVAL_SECONDS)

    def _submit(self, caller: Caller, identity: str) -> CallRecord:
        service = self.deployment.service
        path = next(
            operation['path']
            for operation in service['operations']
            if not operation['repeatable']
        )
        record = caller.run_operation(
            self.deployment.balancer.pick(),
            service['name'],
            path,
            identity,
            identity.encode(),
        )
        self.record.calls.append(record)
        return record

    def _kill_stage(self) -> None:
        self.report_progress(f'killing {self.killed_engine.name}')
        self.record.event_times.kill = time.monotonic()
        self.killed_engine.kill()

    def _lose_store_reply(self) -> None:
        self.report_progress(
            'dropping the reply of the store to a claim after the write'
        )
        lost_reply = Fault(FaultKind.LOST_ANSWER, 'claims')
        self.deployment.platform.faults.append(lost_reply)
        caller = Caller(self.deployment.api_keys[0])
        record = self._submit(caller, 'operation-with-lost-answer')
        answered = (
            record.outcome == 'completed'
            and self.deployment.platform.lost_answers
        )
        elapsed = record.ended - record.started
        self.record.recovery['lost store answer'] = (
            elapsed if answered else None
        )

    def _take_store_down(self) -> None:
        eventlet.sleep(OUTAGE_SECONDS / 2)
        self.report_progress('making the claims table unavailable')
        outage = Fault(FaultKind.OUTAGE, 'claims', count=0)
        self.deployment.platform.faults.append(outage)
        eventlet.sleep(OUTAGE_SECONDS)
        self.deployment.platform.faults.remove(outage)

    def _publish_revision(self) -> None:
        """Publish a revised configuration and wait until all nodes use it."""
        self.report_progress('revising the questionnaire')
        started = time.monotonic()
        document = dict(self.deployment.document)
        accounts = [dict(account) for account in document['accounts']]
        accounts[0]['weight'] += 1
        document['accounts'] = accounts
        published = self.deployment.store.publish(
            check_document(document),
            1,
            'demo',
        )
        generation = published.unwrap().generation
        while any(
            node.config_sync.generation < generation
            for node in self.deployment.nodes
            if not node.is_stopping
        ):
            eventlet.sleep(POLL_INTERVAL_SECONDS)
        self.record.recovery['revision in force'] = time.monotonic() - started

    def _drain_stage(self) -> None:
        name = self.drained_engine.name
        self.report_progress(f'draining {name}')
        self.record.event_times.drain = time.monotonic()
        node = self.deployment.nodes[0]
        node.mark_sync.set_mark(name, MarkState.DRAIN, 0)

    def _stop_node(self) -> None:
        node = self.deployment.nodes[2]
        self.report_progress(f'stopping {node.settings.name} as planned')
        self.record.event_times.stop = time.monotonic()
        self.record.stopped_node_address = node.callers.address
        self.record.in_progress_at_stop = len(
            node.runtime.router.generations.sessions
        )
        node.stop()
        self.record.recovery['planned stop'] = (
            time.monotonic() - self.record.event_times.stop
        )


def run_demo(
    seed: int, seconds: float, report_progress: ProgressCallback
) -> DemoReport:
    """Run the deployments in sequence, with ``seconds`` of load each."""
    reports: list[DeploymentReport] = []
    for number, name in enumerate(DEPLOYMENTS):
        report_progress(f'starting {name.removesuffix(".toml")}')
        run = DemoRun(name, seed + number, seconds, report_progress)
        reports.append(run.run())
    return combine_reports(seed, tuple(reports))
