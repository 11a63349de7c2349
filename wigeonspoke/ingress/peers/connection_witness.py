"""A second host's look at an endpoint that refuses this node's connections.

What ends connections on the way may refuse them, so that a node cannot tell by
itself whether an endpoint has ended.  It asks a peer, most often of another
failure domain, which connects to the endpoint at once.  The peer connects only
to endpoints that it knows, at the address that it knows.
"""

import enum
import time
from collections.abc import Callable

import msgspec
from returns.result import Success

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.reachability import RelayPeer
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.serialization import decode_json
from wigeonspoke.transport import HttpClient

CONNECT_PATH = '/peers/v1/connect'
# A peer's connection attempt takes 0.25 s at most.
TIMEOUT_SECONDS = 0.4


@enum.unique
class Sight(enum.StrEnum):
    """What a node sees of an endpoint.

    ``UNCLEAR`` is an endpoint that it does not know, or does not reach.
    """

    ACCEPTS = 'accepts'
    REFUSES = 'refuses'
    UNCLEAR = 'unclear'


class ConnectQuestion(msgspec.Struct, frozen=True):
    """Asks a peer to connect to a start of an endpoint."""

    endpoint_id: str
    born: int


class ConnectAnswer(msgspec.Struct, frozen=True):
    """What the peer saw."""

    sight: Sight


class Testimony(msgspec.Struct, frozen=True):
    """What a peer sees, and whether it is of another failure domain.

    One of the own domain may be cut off by the same fault as this node.
    """

    sight: Sight
    is_remote: bool


class ConnectionWitness:
    """Asks peers for what they see, and answers them.

    ``look`` connects to an endpoint of this node and returns what it sees.
    """

    __slots__ = ('client', 'look', 'state')

    def __init__(
        self,
        state: IngressState,
        client: HttpClient,
        look: Callable[[Endpoint], Sight],
    ) -> None:
        self.state = state
        self.client = client
        self.look = look

    def ask(self, endpoint: Endpoint) -> Testimony | None:
        """Return what a peer sees of an endpoint, None if none answered."""
        peer = self.state.reachability.choose_witness(
            endpoint, time.monotonic(), self.state.rng.random()
        )
        if peer is None:
            return None
        question = ConnectQuestion(endpoint.endpoint_id, endpoint.born)
        reply = self.client.post(
            peer.address,
            CONNECT_PATH,
            msgspec.json.encode(question),
            TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success) or not reply.unwrap().is_ok:
            return None
        answer = decode_json(reply.unwrap().body, ConnectAnswer).value_or(None)
        if answer is None:
            return None
        self._report(endpoint, peer, answer.sight)
        is_remote = peer.failure_domain != self.state.settings.failure_domain
        return Testimony(answer.sight, is_remote)

    def handle_question(self, body: bytes) -> bytes | None:
        """Answer a peer's question, None if it cannot be decoded."""
        question = decode_json(body, ConnectQuestion).value_or(None)
        if question is None:
            self.state.log.write('peer-unreadable', step='connect')
            return None
        endpoint = self.state.fleet.endpoints.get(question.endpoint_id)
        sight = Sight.UNCLEAR
        if endpoint is not None and endpoint.born == question.born:
            sight = self.look(endpoint)
        return msgspec.json.encode(ConnectAnswer(sight))

    def _report(
        self, endpoint: Endpoint, peer: RelayPeer, sight: Sight
    ) -> None:
        self.state.count_event('witness', str(sight))
        self.state.log.write(
            'witness',
            endpoint=endpoint.endpoint_id,
            address=endpoint.address,
            born=endpoint.born,
            peer=peer.name,
            sight=sight,
        )
