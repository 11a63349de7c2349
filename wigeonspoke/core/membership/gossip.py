"""What a node tells which peers, and what it takes from them.

Messages stay small whatever the size of the deployment: loads are those that
a peer can use, marks go only to peers whose digest differs, and a node speaks
to all peers of a small deployment, but only to a few of a large one, mostly
in its own failure domain.
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

MAX_PEERS_FOR_FULL_ROUNDS = 8
LOCAL_PEERS_PER_ROUND = 3
REMOTE_PEERS_PER_ROUND = 1
REMOTE_PEERS_WHEN_URGENT = 4
CONTACTS_PER_MESSAGE = 1
MAX_MARKS_PER_MESSAGE = 256
MAX_MARKS_IN_FIRST_MESSAGE = 8
FAILURES_BEFORE_DEPARTURE = 2
FAILURES_BEFORE_REMOVAL = 40
MESSAGE_OVERHEAD = 250
ROUND_SECONDS = 0.25
BYTES_PER_SECOND = 3600
MAX_ROUND_SECONDS = 4.0


class GossipState:
    """A node's side of gossip, without input or output.

    ``contacts`` maps the addresses of peers to their failure domains, empty
    where they are not known yet.
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
        """Learn of a peer."""
        if address == self.address:
            return
        known = self.contacts.get(address, '')
        self.contacts[address] = failure_domain or known

    @property
    def sends_to_all(self) -> bool:
        """Tell whether a round goes to all peers."""
        return len(self.contacts) <= MAX_PEERS_FOR_FULL_ROUNDS

    @property
    def urgent_version(self) -> tuple[str, int]:
        """Give what changes when there is something to tell at once."""
        return (self.marks.digest, self.peers.departure_count)

    def choose_peers(self, urgent: bool = False) -> list[str]:
        """Give the peers to speak to in this round.

        Peers of the own failure domain take turns, so that each is heard
        within a few rounds.  News goes to all of them at once, and to more
        in other domains.
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
        """Give what a peer is told now."""
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
        """Take in whom a message comes from and whom it names."""
        self.add_contact(message.address, message.report.failure_domain)
        self.node_names[message.address] = message.report.node
        self.failure_counts.pop(message.address, None)
        self.peer_digests[message.address] = message.marks_digest
        for contact in message.contacts:
            self.add_contact(contact.address, contact.failure_domain)

    def record_failure(
        self, address: str, unreachable: bool
    ) -> Departure | None:
        """Take in that a peer did not answer.

        Gives its departure if it surely does not listen, or for the second
        time in a row.  After many times its address is forgotten.
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
        """Forget an address."""
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
    """Give the time between rounds that keeps to the budget of bytes.

    Each exchange goes both ways, and as many are begun by peers.  News,
    which is rare, does not lengthen the wait.
    """
    bytes_per_round = (
        4
        * message_bytes
        * min(peers, LOCAL_PEERS_PER_ROUND + REMOTE_PEERS_PER_ROUND)
    )
    seconds = max(ROUND_SECONDS, bytes_per_round / BYTES_PER_SECOND)
    return min(MAX_ROUND_SECONDS, seconds)


def message_size(message: GossipMessage) -> int:
    """Give the size of a message in bytes, with the headers round it."""
    return MESSAGE_OVERHEAD + len(msgspec.json.encode(message))
