"""A request that ends each replica is not sent to one after another."""

import math
import time
from collections.abc import Callable, Collection, Iterator
from functools import partial

import eventlet
import msgspec
import pytest

from wigeonspoke.ingress import IngressNode
from wigeonspoke.platform.standins import (
    EngineStandin,
    ReceivedRequest,
    ReplicaFault,
    ReplicaStandin,
    StoreFault,
    StoreStandin,
)
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import (
    API_KEY,
    ZONES,
    Harness,
    make_configuration,
    send_request,
    start_node,
    stop_node,
)

ACCOUNT = 'acme'
OTHER_KEY = 'key-of-bond'
# The target: after the third crash and this time, at most three requests.
WINDOW_SECONDS = 3.0
CRASHES_BEFORE_WINDOW = 3
MAX_LATER_REQUESTS = 3
# How long requests go on after the window.
AFTER_WINDOW_SECONDS = 1.2
REQUEST_INTERVAL_SECONDS = 0.15
# Replicas that have ended are away for some seconds; here they come back
# sooner, so that more of them could end within the test.
RESTART_SECONDS = 0.3
# Nodes that are replaced are so this time after the third crash.
CHANGE_SECONDS = 0.5
MAX_ROUNDS = 40
MAX_WAIT_SECONDS = 1.0
# Crashes of another cause, and the time between them.
OTHER_CRASHES = 6
OTHER_CRASH_SECONDS = 0.5
EVENTS = 5
SERVED = 200
REFUSED = 503
GATEWAY_ERRORS = (502, REFUSED, 504)

Response = tuple[int, dict[str, str], bytes]
NO_RESPONSE: Response = (0, {}, b'')


class Request(msgspec.Struct, frozen=True):
    """What makes a request the same as another one."""

    method: str
    path: str
    body: bytes = b''
    key: str = API_KEY


BAD_REQUESTS = {
    'safe': Request('GET', '/read/bad'),
    'unsafe': Request('POST', '/write/bad', b'order'),
    'stream': Request('POST', '/draft/bad', b'prompt'),
}
# Requests that differ from the one that ends replicas in one respect.
INNOCENTS: dict[str, Callable[[Request], Request]] = {
    'path': lambda bad: msgspec.structs.replace(bad, path=f'{bad.path}-not'),
    'caller': lambda bad: msgspec.structs.replace(bad, key=OTHER_KEY),
    'body': lambda bad: msgspec.structs.replace(bad, body=b'other'),
}


def _is_bad(bad: Request, received: ReceivedRequest) -> bool:
    return (
        received.method == bad.method
        and received.target == bad.path
        and received.body == bad.body
        and received.headers.get('tenant') == ACCOUNT
    )


class CrashingDeployment(Deployment):
    """A deployment where one request of each kind ends replicas.

    The kinds have services of their own, so that each has its own crashes.
    """

    def __init__(self, node_count: int) -> None:
        harness = Harness()
        self._add_service(harness)
        harness.store.put('op', 'config', _make_configuration())
        super().__init__(harness, node_count)
        self.replica_registry = eventlet.spawn(harness.follow_replicas)
        harness.place_layers()
        self.stores: list[StoreStandin] = []
        self.replicas = {
            'safe': harness.replicas[:2],
            'unsafe': harness.replicas[2:],
            'stream': harness.engines,
        }
        for kind, replicas in self.replicas.items():
            for replica in replicas:
                replica.restart_seconds = RESTART_SECONDS
                replica.ends_under = partial(_is_bad, BAD_REQUESTS[kind])
        for engine in harness.engines:
            engine.keeps_layers = True
            engine.events = EVENTS

    def wait_until_served(self) -> None:
        """Wait until each node knows all endpoints and the configuration."""
        self.harness.wait_until(self._is_up)
        for node in self.nodes:
            self.harness.wait_until(partial(self._knows_all, node))
            self.harness.wait_until(partial(_has_chains, node))

    def add_node(self, name: str, **overrides: object) -> None:
        """Start a further node."""
        self.nodes.append(start_node(self.harness, name, **overrides))

    def add_node_without_store(self) -> None:
        """Start a node whose store never answers."""
        store = StoreStandin()
        store.fault = StoreFault.UNAVAILABLE
        self.stores.append(store)
        self.add_node('node-8', store=store.address)

    def replace_nodes(self) -> None:
        """Kill all nodes at once, and start as many that know no other."""
        count = len(self.nodes)
        for node in self.nodes:
            stop_node(node)
        self.nodes.clear()
        for number in range(count):
            domain = ZONES[number % len(ZONES)]
            seeds = [first.peers.address for first in self.nodes[:1]]
            self.add_node(
                f'new-{number}', seeds=tuple(seeds), failure_domain=domain
            )
        self.harness.node = self.nodes[0]

    def spare_replicas(self, kind: str) -> None:
        """Let the request of a kind end replicas no more."""
        for replica in self.replicas[kind]:
            replica.ends_under = _ends_never

    def crashes(self, kind: str) -> list[float]:
        """Return when replicas ended, in order."""
        return sorted(
            crash
            for replica in self.replicas[kind]
            for crash in replica.crashes
        )

    def third_crash(self, kind: str) -> float | None:
        """Return when the third replica ended, None if it has not."""
        crashes = self.crashes(kind)
        if len(crashes) < CRASHES_BEFORE_WINDOW:
            return None
        return crashes[CRASHES_BEFORE_WINDOW - 1]

    def bad_arrivals(self, kind: str) -> list[ReceivedRequest]:
        """Return the requests that end replicas, as replicas received them."""
        return [
            received
            for replica in self.replicas[kind]
            for received in replica.received
            if _is_bad(BAD_REQUESTS[kind], received)
        ]

    def send(
        self, request: Request, request_id: str, node: IngressNode
    ) -> Response:
        """Send a request; return ``NO_RESPONSE`` if it got no complete one."""
        try:
            return send_request(
                self.harness,
                request.method,
                request.path,
                request_id,
                node=node,
                body=request.body,
                Credential=request.key,
                Model='m',
                Token_Usage='100,100',
            )
        except (AssertionError, OSError):
            return NO_RESPONSE

    def close(self) -> None:
        """Stop everything, once all replicas that ended have come back."""
        for kind in BAD_REQUESTS:
            self.spare_replicas(kind)
        self.harness.wait_until(self._is_up)
        self.replica_registry.kill()
        super().close()
        self.harness.close()
        for store in self.stores:
            store.server.close()

    def _add_service(self, harness: Harness) -> None:
        for zone in ZONES:
            replica = ReplicaStandin(f'a-{zone}', 'archive', zone)
            harness.replicas.append(replica)
        harness.publish_endpoints()

    def _is_up(self) -> bool:
        return all(
            replica.is_up
            for replicas in self.replicas.values()
            for replica in replicas
        )

    def _knows_all(self, node: IngressNode) -> bool:
        return (
            node.is_ready
            and node.state.routing_table.version == 2
            and {
                (replica.endpoint_id, replica.born)
                for replicas in self.replicas.values()
                for replica in replicas
            }
            == {
                (endpoint.endpoint_id, endpoint.born)
                for endpoint in node.state.fleet.endpoints.values()
            }
        )


def _ends_never(_received: ReceivedRequest) -> bool:
    return False


def _has_chains(node: IngressNode) -> bool:
    service = node.state.routing_table.services['drafting']
    chains = node.state.chains.chains('drafting', service.engine)
    heads = {chain.head.failure_domain for chain in chains}
    return heads == set(ZONES)


def _make_configuration() -> dict[str, object]:
    configuration = make_configuration(version=2)
    configuration['services'].append(
        {'name': 'archive', 'health-path': '/healthz'}
    )
    read, write, draft = configuration['routes']
    configuration['routes'] = [read, {**write, 'service': 'archive'}, draft]
    return configuration


class Play:
    """Bad requests and innocent ones of all kinds, at a constant rate."""

    def __init__(
        self,
        deployment: CrashingDeployment,
        kinds: Collection[str] = BAD_REQUESTS,
    ) -> None:
        self.deployment = deployment
        self.kinds = kinds
        self.changed_at = -math.inf
        self.bad_responses: dict[str, Response] = {}
        # When each innocent request was sent, and whether it was served.
        self.innocents: dict[str, list[tuple[float, bool]]] = {
            kind: [] for kind in BAD_REQUESTS
        }
        self._number = 0
        self._greenlets: list[eventlet.greenthread.GreenThread] = []

    def run(self, change: Callable[[], None] | None = None) -> None:
        """Send requests until some time after the window of all kinds.

        ``change`` is called after the third crash of all kinds.
        """
        self.send_until_crashed()
        if change is not None:
            self.send_for(CHANGE_SECONDS)
            change()
            self.changed_at = time.monotonic()
        ends = [self.window_end(kind) for kind in BAD_REQUESTS]
        self.send_for(max(ends) + AFTER_WINDOW_SECONDS - time.monotonic())
        for greenlet in self._greenlets:
            greenlet.wait()
        self.deployment.wait_until_served()

    def send_until_crashed(self) -> None:
        """Send requests until three replicas of each kind have ended."""
        for _ in range(MAX_ROUNDS):
            if None not in map(self.deployment.third_crash, self.kinds):
                return
            self._send_round()

    def window_end(self, kind: str) -> float:
        """Return from when on the target holds.

        A node that has started is bound by it a window later.
        """
        third_crash = self.deployment.third_crash(kind)
        begin = time.monotonic() if third_crash is None else third_crash
        return max(begin, self.changed_at) + WINDOW_SECONDS

    def later_arrivals(self, kind: str) -> int:
        """Return how often the bad request reached replicas too late."""
        window_end = self.window_end(kind)
        return sum(
            received.received_at > window_end
            for received in self.deployment.bad_arrivals(kind)
        )

    def later_innocents(self, kind: str) -> list[bool]:
        """Return whether innocent requests after the window were served."""
        window_end = self.window_end(kind)
        return [
            is_served
            for sent_at, is_served in self.innocents[kind]
            if sent_at > window_end
        ]

    def send_for(self, seconds: float) -> None:
        """Send requests for some time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self._send_round()

    def _send_round(self) -> None:
        self._number += 1
        innocent = list(INNOCENTS.values())[self._number % len(INNOCENTS)]
        for kind in self.kinds:
            bad = BAD_REQUESTS[kind]
            self._spawn(self._send_bad, kind, bad)
            self._spawn(self._send_innocent, kind, innocent(bad))
        eventlet.sleep(REQUEST_INTERVAL_SECONDS)

    def _spawn(
        self,
        send: Callable[[str, Request, str, IngressNode], None],
        kind: str,
        request: Request,
    ) -> None:
        nodes = self.deployment.nodes
        node = nodes[self._number % len(nodes)]
        request_id = f'{send.__name__}-{kind}-{self._number}'
        self._greenlets.append(
            eventlet.spawn(send, kind, request, request_id, node)
        )

    def _send_bad(
        self, kind: str, request: Request, request_id: str, node: IngressNode
    ) -> None:
        response = self.deployment.send(request, request_id, node)
        self.bad_responses[request_id] = response

    def _send_innocent(
        self, kind: str, request: Request, request_id: str, node: IngressNode
    ) -> None:
        sent_at = time.monotonic()
        response = self.deployment.send(request, request_id, node)
        self.innocents[kind].append((sent_at, response[0] == SERVED))


def _keep_ids(deployment: CrashingDeployment) -> None:
    for replica in deployment.harness.replicas:
        replica.keeps_id = True


# What is done at the start, and what after the third crash.
SCENARIOS: dict[
    str, tuple[int, Callable[[CrashingDeployment], None] | None]
] = {
    'one-node': (1, None),
    'two-nodes': (2, None),
    'six-nodes': (6, None),
    'same-ids': (2, _keep_ids),
    'node-without-store': (2, CrashingDeployment.add_node_without_store),
}
CHANGES: dict[str, Callable[[CrashingDeployment], None]] = {
    'all-nodes-new': CrashingDeployment.replace_nodes,
}
ALL_SCENARIOS = (*SCENARIOS, *CHANGES)


@pytest.fixture(scope='module')
def play(request) -> Iterator[Play]:
    """Yield a play of the scenario that the test's parameter names."""
    node_count, prepare = SCENARIOS.get(request.param, (2, None))
    deployment = CrashingDeployment(node_count)
    if prepare is not None:
        prepare(deployment)
    deployment.wait_until_served()
    change = CHANGES.get(request.param)
    started = Play(deployment)
    started.run(partial(change, deployment) if change else None)
    yield started
    deployment.close()


# BUDGET: replicas ended one after the other under the same request.
@pytest.mark.parametrize('kind', BAD_REQUESTS)
@pytest.mark.parametrize('play', ALL_SCENARIOS, indirect=True)
def test_a_request_that_crashes_replicas_is_stopped(play, kind):
    assert len(play.deployment.crashes(kind)) >= CRASHES_BEFORE_WINDOW
    assert play.later_arrivals(kind) <= MAX_LATER_REQUESTS


@pytest.mark.parametrize('kind', BAD_REQUESTS)
@pytest.mark.parametrize('play', ALL_SCENARIOS, indirect=True)
def test_a_request_that_was_refused_did_not_run(play, kind):
    run_ids = {
        run.request_id
        for replica in play.deployment.replicas[kind]
        for run in replica.runs
    }
    for request_id, response in play.bad_responses.items():
        if response[0] == REFUSED:
            assert request_id not in run_ids
            assert float(response[1]['retry-after']) > 0


# A trial that ends a replica must not end in an error of the node itself.
@pytest.mark.parametrize('kind', BAD_REQUESTS)
@pytest.mark.parametrize('play', ALL_SCENARIOS, indirect=True)
def test_a_request_that_crashes_replicas_gets_a_gateway_error(play, kind):
    statuses = {
        response[0]
        for request_id, response in play.bad_responses.items()
        if f'-{kind}-' in request_id
    }
    assert statuses <= {*GATEWAY_ERRORS, NO_RESPONSE[0]}


# The target for parts of prompts: half of the sound requests are served.  They
# may be sent on to another replica; unsafe ones that a crash breaks may not.
@pytest.mark.parametrize('kind', ['safe', 'stream'])
@pytest.mark.parametrize('play', ['one-node', 'two-nodes'], indirect=True)
def test_innocent_requests_are_served_after_the_window(play, kind):
    served = play.later_innocents(kind)
    assert served
    assert sum(served) * 2 >= len(served)


@pytest.mark.parametrize('difference', INNOCENTS)
@pytest.mark.parametrize('kind', BAD_REQUESTS)
@pytest.mark.parametrize('play', ALL_SCENARIOS, indirect=True)
def test_a_request_that_differs_is_served_by_each_node(play, kind, difference):
    innocent = INNOCENTS[difference](BAD_REQUESTS[kind])
    play.deployment.wait_until_served()
    for number, node in enumerate(play.deployment.nodes):
        request_id = f'innocent-{kind}-{difference}-{number}'
        response = play.deployment.send(innocent, request_id, node)
        assert response[0] == SERVED


@pytest.mark.parametrize('kind', BAD_REQUESTS)
@pytest.mark.parametrize('play', ALL_SCENARIOS, indirect=True)
def test_a_stopped_request_is_refused_before_it_reaches_a_replica(play, kind):
    play.deployment.wait_until_served()
    for number, node in enumerate(play.deployment.nodes):
        _expect_refusal(play.deployment, kind, f'stopped-{number}', node)


def _expect_refusal(
    deployment: CrashingDeployment,
    kind: str,
    request_id: str,
    node: IngressNode,
) -> None:
    response = deployment.send(BAD_REQUESTS[kind], request_id, node)
    arrivals = deployment.bad_arrivals(kind)
    assert request_id not in {received.request_id for received in arrivals}
    assert response[0] == REFUSED
    assert float(response[1]['retry-after']) > 0


@pytest.fixture(scope='module')
def later_node(play) -> Iterator[IngressNode]:
    """Yield a node that started after the play, and is bound by the target."""
    node = start_node(play.deployment.harness, 'node-9')
    eventlet.sleep(WINDOW_SECONDS)
    yield node
    stop_node(node)


@pytest.mark.parametrize('kind', BAD_REQUESTS)
@pytest.mark.parametrize('play', ['two-nodes'], indirect=True)
def test_a_node_that_starts_later_refuses_a_stopped_request(
    play, later_node, kind
):
    play.deployment.wait_until_served()
    _expect_refusal(play.deployment, kind, 'later', later_node)


class Spared:
    """A deployment whose replicas end three times under a request of one kind.

    ``first_response`` is that to the stopped request just after the crashes,
    before one may be tried again.
    """

    def __init__(self, kind: str) -> None:
        self.deployment = CrashingDeployment(2)
        self.kind = kind
        for replica in self.deployment.replicas[kind]:
            replica.ends_under = self._may_end
        self.deployment.wait_until_served()
        started = Play(self.deployment, kinds=(kind,))
        started.send_until_crashed()
        first_node = self.deployment.nodes[0]
        self.deployment.harness.wait_until(partial(_refuses_any, first_node))
        self.first_response = self.deployment.send(
            BAD_REQUESTS[kind], 'first', first_node
        )
        self.deployment.wait_until_served()

    def _may_end(self, received: ReceivedRequest) -> bool:
        """Return whether a replica ends under a request.

        A trial that is due before the test goes on must end none, or the next
        one would come a minute later.
        """
        crashes = len(self.deployment.crashes(self.kind))
        is_over = crashes >= CRASHES_BEFORE_WINDOW
        return not is_over and _is_bad(BAD_REQUESTS[self.kind], received)


def _refuses_any(node: IngressNode) -> bool:
    registry = node.state.part_watch.registry
    return bool(registry.quarantined(time.monotonic()))


@pytest.fixture(params=BAD_REQUESTS)
def spared(request) -> Iterator[Spared]:
    """Yield a deployment whose replicas end under no request any more."""
    started = Spared(request.param)
    yield started
    started.deployment.close()


def test_a_stopped_request_is_served_again_once_it_crashes_no_replica(spared):
    deployment = spared.deployment
    stopped = BAD_REQUESTS[spared.kind]
    first_node = deployment.nodes[0]
    response = spared.first_response
    assert response[0] == REFUSED
    for _ in range(MAX_ROUNDS):
        eventlet.sleep(min(MAX_WAIT_SECONDS, float(response[1]['retry-after'])))
        response = deployment.send(stopped, 'again', first_node)
        if response[0] != REFUSED:
            break
    assert response[0] == SERVED
    for node in deployment.nodes:
        deployment.harness.wait_until(
            partial(_is_served, deployment, stopped, node)
        )


def _is_served(
    deployment: CrashingDeployment, request: Request, node: IngressNode
) -> bool:
    return deployment.send(request, 'last', node)[0] == SERVED


@pytest.fixture(scope='module')
def popular() -> Iterator[CrashingDeployment]:
    """Yield a deployment whose replicas ended while it served one request.

    They ended for another reason, with the request in flight each time.
    """
    deployment = CrashingDeployment(6)
    for kind in BAD_REQUESTS:
        deployment.spare_replicas(kind)
    for replica in deployment.harness.replicas:
        replica.run_seconds = REQUEST_INTERVAL_SECONDS
    deployment.wait_until_served()
    started = Play(deployment)
    for number in range(OTHER_CRASHES):
        started.send_for(OTHER_CRASH_SECONDS)
        for replicas in deployment.replicas.values():
            serving = list(filter(_is_in_use, replicas))
            serving[number % len(serving)].crash()
    deployment.wait_until_served()
    yield deployment
    deployment.close()


def _is_in_use(replica: ReplicaStandin | EngineStandin) -> bool:
    if not replica.is_up:
        return False
    return isinstance(replica, ReplicaStandin) or bool(replica.runs)


@pytest.mark.parametrize('kind', BAD_REQUESTS)
def test_a_popular_request_stays_served_beside_other_crashes(popular, kind):
    assert len(popular.crashes(kind)) == OTHER_CRASHES
    for node in popular.nodes:
        response = popular.send(BAD_REQUESTS[kind], 'popular', node)
        assert response[0] == SERVED


# A request must not be held to have ended a replica that goes on.
@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
def test_a_request_is_not_stopped_by_resets_of_a_living_replica(harness, kind):
    request = BAD_REQUESTS[kind]
    resetting = harness.replicas[0]
    resetting.fault = ReplicaFault.RESET_AFTER_RUN
    statuses = []
    for number in range(MAX_ROUNDS):
        status, _, _ = send_request(
            harness,
            request.method,
            request.path,
            f'reset-{number}',
            body=request.body,
        )
        statuses.append(status)
        if len(resetting.runs) > CRASHES_BEFORE_WINDOW:
            break
        eventlet.sleep(REQUEST_INTERVAL_SECONDS)
    assert len(resetting.runs) > CRASHES_BEFORE_WINDOW
    assert REFUSED not in statuses
    if kind == 'safe':
        assert set(statuses) == {SERVED}
