"""A deployment in one process, with stand-ins, nodes and a load balancer.

All parts communicate over real sockets on free loopback ports.
"""

import tomllib
from collections.abc import Container
from importlib import resources
from typing import Any

import eventlet
import msgspec
from eventlet.greenthread import GreenThread
from returns.result import Success

from wigeonspoke.config import ConfigStore, Questionnaire, read_answers
from wigeonspoke.core.deployment import Engine, LayerRange
from wigeonspoke.core.routes.throughput import throughput_bound
from wigeonspoke.load import Balancer
from wigeonspoke.load.balancer import NodeAddresses
from wigeonspoke.node import Node, NodeSettings
from wigeonspoke.standins import (
    ExecutionLog,
    StandInEngine,
    StandInPlatform,
    StandInService,
)
from wigeonspoke.store import HostEntry, HttpPlatform
from wigeonspoke.transport import HttpClient

NODES_PER_DOMAIN = 2
LOOK_AWAY_SECONDS = 0.6
ADMIN_KEY = 'demo-admin-key'
CLUSTER_KEY = 'demo-cluster-key'
READY_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.02


class LocalDeployment:
    """A deployment that is built from a questionnaire document.

    The addresses of the stand-ins are written into the document.
    """

    __slots__ = (
        'api_keys',
        'balancer',
        'document',
        'engines',
        'execution_log',
        'health_check_thread',
        'model',
        'nodes',
        'platform',
        'questionnaire',
        'service',
        'service_replicas',
        'store',
    )

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.execution_log = ExecutionLog()
        self.platform = StandInPlatform()
        self.model = document['models'][0]
        self.engines = [
            self._start_engine(group) for group in document['engines']
        ]
        self.service = document['services'][0]
        self.service_replicas = [
            self._start_replica(replica) for replica in self.service['replicas']
        ]
        self.questionnaire = check_document(document)
        self.api_keys = tuple(
            f'demo-key-{account["name"]}' for account in document['accounts']
        )
        client = HttpClient()
        self.store = ConfigStore(HttpPlatform(self.platform.address, client))
        self.nodes = self._start_nodes()
        targets = tuple(
            NodeAddresses(node.callers.address, node.admin.address)
            for node in self.nodes
        )
        self.balancer = Balancer(targets)
        self.health_check_thread: GreenThread | None = None

    @property
    def layers(self) -> int:
        """The number of layers of the model."""
        return self.model['layers']

    def start(self) -> None:
        """Publish the first configuration and wait for all nodes."""
        self.store.publish(self.questionnaire, 0, 'demo').unwrap()
        for node in self.nodes:
            node.start()
        self.health_check_thread = eventlet.spawn(self.balancer.check_forever)
        timeout = eventlet.Timeout(READY_TIMEOUT_SECONDS)
        try:
            while len(self.balancer.ready) < len(self.nodes):
                eventlet.sleep(POLL_INTERVAL_SECONDS)
        finally:
            timeout.cancel()

    def throughput_bound(self, without: Container[str] = ()) -> float:
        """Return the maximum tokens per second of the engines.

        The engines whose names are in ``without`` are left out.
        """
        engines = [
            engine.record
            for engine in self.engines
            if engine.record.name not in without
        ]
        return throughput_bound(engines, self.layers)

    def close(self) -> None:
        """Stop all parts of the deployment."""
        if self.health_check_thread is not None:
            self.health_check_thread.kill()
        for node in self.nodes:
            node.kill()
        for engine in self.engines:
            engine.kill()
        for replica in self.service_replicas:
            replica.kill()
        self.platform.listener.abort()

    def _start_engine(self, group: dict[str, Any]) -> StandInEngine:
        accelerators = {
            accelerator['name']: accelerator
            for accelerator in self.document['accelerators']
        }
        accelerator = accelerators[group['accelerator']]
        record = Engine(
            name='',
            address='',
            failure_domain=group['failure_domain'],
            model=group['model'],
            layers=LayerRange(group['first_layer'], group['end_layer']),
            accelerator=accelerator['name'],
            step_seconds=accelerator['step_seconds'],
            max_batch=accelerator['max_batch'],
            max_streams=accelerator['max_streams'],
            checks_fencing=group['checks_fencing'],
        )
        engine = StandInEngine(record, self.layers, self.execution_log)
        engine.record = msgspec.structs.replace(
            record,
            name=f'{record.model}-{engine.address}',
            address=engine.address,
        )
        group['addresses'] = [engine.address]
        return engine

    def _start_replica(self, replica: dict[str, Any]) -> StandInService:
        name = self.service['name']
        number = replica['failure_domain']
        started = StandInService(f'{name}-{number}', name, self.execution_log)
        replica['address'] = started.address
        return started

    def _start_nodes(self) -> list[Node]:
        nodes: list[Node] = []
        for domain in self.document['failure_domains']:
            for number in range(NODES_PER_DOMAIN):
                name = f'{domain}-entry-{number + 1}'
                nodes.append(self._make_node(name, domain))
        self.platform.host_entries = tuple(
            HostEntry(
                node.settings.name,
                node.peers.address,
                node.settings.failure_domain,
                is_entry=True,
            )
            for node in nodes
        )
        return nodes

    def _make_node(self, name: str, domain: str) -> Node:
        settings = NodeSettings(
            name=name,
            failure_domain=domain,
            platform=self.platform.address,
            admin_key=ADMIN_KEY,
            cluster_key=CLUSTER_KEY,
            look_away_seconds=LOOK_AWAY_SECONDS,
        )
        return Node(settings)


def load_document(name: str) -> dict[str, Any]:
    """Read one of the demo's questionnaire files."""
    text = resources.files('wigeonspoke.demo').joinpath(name).read_text()
    return tomllib.loads(text)


def check_document(document: dict[str, Any]) -> Questionnaire:
    """Validate a document and convert it to a questionnaire."""
    questionnaire = read_answers(msgspec.json.encode(document))
    if isinstance(questionnaire, Success):
        return questionnaire.unwrap()
    problems = '; '.join(error.describe() for error in questionnaire.failure())
    raise ValueError(problems)
