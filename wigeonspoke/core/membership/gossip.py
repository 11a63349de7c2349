"""Choice of gossip peers and contents of gossip messages.

The size of a message does not grow with the deployment: it reports only loads
that a peer can use, and marks only if the peer's digest differs.  In a small
deployment, a round reaches all peers; in a large one, it reaches a few, most
of them in the node's own failure domain.
"""

import random

import msgspec

from wigeonspoke.core.membership.marks import MarkRegistry
from wigeonspoke.core.membership.peers import PeerRegistry
from wigeonspoke.core.membership.records import (
    Contact,
    Departure,
    GossipMessage,
    PeerReport,
)

# Each round contacts all peers up to this number of peers.
MAX_PEERS_FOR_FULL_ROUNDS = 8
LOCAL_PEERS_PER_ROUND = 3
REMOTE_PEERS_PER_ROUND = 1
REMOTE_PEERS_WHEN_URGENT = 4
CONTACTS_PER_MESSAGE = 1
MAX_MARKS_PER_MESSAGE = 256
MAX_MARKS_IN_FIRST_MESSAGE = 8
FAILURES_BEFORE_DEPARTURE = 2
FAILURES_BEFORE_REMOVAL = 40
# The HTTP headers of a message, in bytes.
MESSAGE_OVERHEAD = 250
# The interval at the start and in small deployments, and the shortest one.
ROUND_SECONDS = 0.25
# The gossip traffic of a node, sent and received, that bounds its rounds.
BYTES_PER_SECOND = 3600
MAX_ROUND_SECONDS = 4.0


class GossipState:
    """The gossip state of one node, without network access.

    ``contacts`` maps the addresses of peers to their failure domains; the
    domain is empty while it is unknown.  ``peer_digests``, ``node_names`` and
    ``failure_counts`` are keyed by address, too: the last digest of the
    peer's marks, its node name and its consecutive failures to answer.
    """

    __slots__ = (
        'address',
        'contacts',
        'failure_counts',
        'failure_domain',
        'local_offset',
        'marks',
        'node_names',
        'peer_digests',
        'peers',
        'rng',
    )

    def __init__(
        self,
        failure_domain: str,
        address: str,
        marks: MarkRegistry,
        peers: PeerRegistry,
        rng: random.Random,
    ) -> None:
        self.failure_domain = failure_domain
        self.address = address
        self.marks = marks
        self.peers = peers
        self.node_names: dict[str, str] = {}
        self.failure_counts: dict[str, int] = {}
        self.rng = rng
        self.local_offset = 0
        self.contacts: dict[str, str] = {}
        self.peer_digests: dict[str, str] = {}

    def add_contact(self, address: str, failure_domain: str = '') -> None:
        """Add a peer or update its failure domain."""
        if address == self.address:
            return
        known = self.contacts.get(address, '')
        self.contacts[address] = failure_domain or known

    @property
    def sends_to_all(self) -> bool:
        """Whether each round contacts all peers."""
        return len(self.contacts) <= MAX_PEERS_FOR_FULL_ROUNDS

    @property
    def urgent_version(self) -> tuple[str, int]:
        """A value that changes when an urgent round is due.

        It changes when a mark changes or a peer departs.
        """
        return (self.marks.digest, self.peers.departure_count)

    def choose_peers(self, urgent: bool = False) -> list[str]:
        """Choose the peers to contact in this round.

        Peers of the node's own failure domain are chosen in rotation, so that
        each is contacted within a few rounds.  An urgent round contacts all
        of them, and more peers of other domains than usual.
        """
        if self.sends_to_all:
            return list(self.contacts)
        local: list[str] = []
        remote: list[str] = []
        for address, domain in self.contacts.items():
            group = local if domain in {self.failure_domain, ''} else remote
            group.append(address)
        if urgent:
            return [*local, *self._sample(remote, REMOTE_PEERS_WHEN_URGENT)]
        self.local_offset += LOCAL_PEERS_PER_ROUND
        start = self.local_offset % max(1, len(local))
        return [
            *(local[start:] + local[:start])[:LOCAL_PEERS_PER_ROUND],
            *self._sample(remote, REMOTE_PEERS_PER_ROUND),
        ]

    def message_to(self, address: str, report: PeerReport) -> GossipMessage:
        """Build the message to send to a peer now."""
        digest = self.marks.digest
        known = self.peer_digests.get(address)
        count = MAX_MARKS_PER_MESSAGE if known else MAX_MARKS_IN_FIRST_MESSAGE
        marks = () if known == digest else self.marks.newest(count)
        return GossipMessage(
            report=report,
            address=self.address,
            marks_digest=digest,
            marks=marks,
            contacts=self._sample_contacts(),
            departures=self.peers.recent_departures(),
        )

    def receive(self, message: GossipMessage) -> None:
        """Update the contacts from a message and record its sender's state.

        The caller applies the report, the marks and the departures.
        """
        self.add_contact(message.address, message.report.failure_domain)
        self.node_names[message.address] = message.report.node
        self.failure_counts.pop(message.address, None)
        self.peer_digests[message.address] = message.marks_digest
        for contact in message.contacts:
            self.add_contact(contact.address, contact.failure_domain)

    def record_failure(
        self, address: str, unreachable: bool
    ) -> Departure | None:
        """Record that a peer did not answer.

        Returns the departure of a known peer if it is certain not to listen,
        or after ``FAILURES_BEFORE_DEPARTURE`` consecutive failures.  After
        ``FAILURES_BEFORE_REMOVAL`` of them, its address is removed.
        """
        count = self.failure_counts.get(address, 0) + 1
        self.failure_counts[address] = count
        if count >= FAILURES_BEFORE_REMOVAL:
            self.remove_contact(address)
        if not unreachable and count < FAILURES_BEFORE_DEPARTURE:
            return None
        return self.peers.departure_of(
            self.node_names.get(address, ''), unreachable
        )

    def remove_contact(self, address: str) -> None:
        """Remove all state of an address."""
        for known in (
            self.contacts,
            self.peer_digests,
            self.failure_counts,
            self.node_names,
        ):
            known.pop(address, None)

    def _sample_contacts(self) -> tuple[Contact, ...]:
        chosen = self._sample(list(self.contacts), CONTACTS_PER_MESSAGE)
        return tuple(
            Contact(address, self.contacts[address]) for address in chosen
        )

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        if len(addresses) <= count:
            return addresses
        return self.rng.sample(addresses, count)


def round_seconds(message_bytes: int, peers: int) -> float:
    """Return the time between rounds that keeps within the byte rate.

    The factor 4 counts a message in each direction, for the exchanges that
    this node starts and for as many that its peers start.  Urgent rounds are
    rare and do not lengthen the interval.
    """
    bytes_per_round = (
        4
        * message_bytes
        * min(peers, LOCAL_PEERS_PER_ROUND + REMOTE_PEERS_PER_ROUND)
    )
    seconds = max(ROUND_SECONDS, bytes_per_round / BYTES_PER_SECOND)
    return min(MAX_ROUND_SECONDS, seconds)


def message_size(message: GossipMessage) -> int:
    """Return the size of a message in bytes, including HTTP headers."""
    return MESSAGE_OVERHEAD + len(msgspec.json.encode(message))
