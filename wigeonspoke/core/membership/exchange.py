"""What a node tells which peers, and what it takes from them.

Messages stay small whatever the size of the deployment: loads are those that
a peer can use, marks go only to peers whose digest differs, and a node speaks
to all peers of a small deployment, but only to a few of a large one, mostly
in its own failure domain.
"""

import random

import msgspec

from wigeonspoke.core.membership.marks import MarkBook
from wigeonspoke.core.membership.peers import PeerBook
from wigeonspoke.core.membership.records import (
    Contact,
    Departure,
    GossipMessage,
    PeerReport,
)

ALL_PEERS = 8
NEAR_PEERS = 3
FAR_PEERS = 1
NEWS_FAR_PEERS = 4
CONTACTS = 1
MAX_MARKS = 256
FIRST_MARKS = 8
SUSPECT_FAILURES = 2
FORGET_FAILURES = 40
MESSAGE_OVERHEAD = 250
ROUND_SECONDS = 0.25
BYTES_PER_SECOND = 3600
MAX_ROUND_SECONDS = 4.0


class Exchange:
    """A node's side of gossip, without input or output.

    ``contacts`` maps the addresses of peers to their failure domains, empty
    where they are not known yet.
    """

    __slots__ = (
        'address',
        'contacts',
        'digests',
        'failures',
        'home',
        'marks',
        'names',
        'peers',
        'random',
        'turn',
    )

    def __init__(
        self,
        home: str,
        address: str,
        marks: MarkBook,
        peers: PeerBook,
        chance: random.Random,
    ) -> None:
        self.home = home
        self.address = address
        self.marks = marks
        self.peers = peers
        self.names: dict[str, str] = {}
        self.failures: dict[str, int] = {}
        self.random = chance
        self.turn = 0
        self.contacts: dict[str, str] = {}
        self.digests: dict[str, str] = {}

    def meet(self, address: str, failure_domain: str = '') -> None:
        """Learn of a peer."""
        if address == self.address:
            return
        known = self.contacts.get(address, '')
        self.contacts[address] = failure_domain or known

    @property
    def is_small(self) -> bool:
        """Tell whether a round goes to all peers."""
        return len(self.contacts) <= ALL_PEERS

    @property
    def news(self) -> tuple[str, int]:
        """Give what changes when there is something to tell at once."""
        return (self.marks.digest, self.peers.lost_count)

    def choose_peers(self, news: bool = False) -> list[str]:
        """Give the peers to speak to in this round.

        Peers of the own failure domain take turns, so that each is heard
        within a few rounds.  News goes to all of them at once, and to more
        in other domains.
        """
        if self.is_small:
            return list(self.contacts)
        near: list[str] = []
        far: list[str] = []
        for address, domain in self.contacts.items():
            side = near if domain in {self.home, ''} else far
            side.append(address)
        if news:
            return [*near, *self._sample(far, NEWS_FAR_PEERS)]
        self.turn += NEAR_PEERS
        start = self.turn % max(1, len(near))
        return [
            *(near[start:] + near[:start])[:NEAR_PEERS],
            *self._sample(far, FAR_PEERS),
        ]

    def message_to(self, address: str, report: PeerReport) -> GossipMessage:
        """Give what a peer is told now."""
        digest = self.marks.digest
        known = self.digests.get(address)
        count = MAX_MARKS if known else FIRST_MARKS
        marks = () if known == digest else self.marks.newest(count)
        return GossipMessage(
            report=report,
            address=self.address,
            marks_digest=digest,
            marks=marks,
            contacts=self._some_contacts(),
            departures=self.peers.recent_departures(),
        )

    def take(self, message: GossipMessage) -> None:
        """Take in whom a message comes from and whom it names."""
        self.meet(message.address, message.report.failure_domain)
        self.names[message.address] = message.report.node
        self.failures.pop(message.address, None)
        self.digests[message.address] = message.marks_digest
        for contact in message.contacts:
            self.meet(contact.address, contact.failure_domain)

    def note_failure(self, address: str, sure: bool) -> Departure | None:
        """Take in that a peer did not answer.

        Gives its departure if it surely does not listen, or for the second
        time in a row.  After many times its address is forgotten.
        """
        count = self.failures.get(address, 0) + 1
        self.failures[address] = count
        if count >= FORGET_FAILURES:
            self.forget(address)
        if not sure and count < SUSPECT_FAILURES:
            return None
        return self.peers.suspect(self.names.get(address, ''), sure)

    def forget(self, address: str) -> None:
        """Forget an address."""
        for known in (self.contacts, self.digests, self.failures, self.names):
            known.pop(address, None)

    def _some_contacts(self) -> tuple[Contact, ...]:
        chosen = self._sample(list(self.contacts), CONTACTS)
        return tuple(
            Contact(address, self.contacts[address]) for address in chosen
        )

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        if len(addresses) <= count:
            return addresses
        return self.random.sample(addresses, count)


def round_seconds(message_bytes: int, peers: int) -> float:
    """Give the time between rounds that keeps to the budget of bytes.

    Each exchange goes both ways, and as many are begun by peers.  News,
    which is rare, does not lengthen the wait.
    """
    spent = 4 * message_bytes * min(peers, NEAR_PEERS + FAR_PEERS)
    seconds = max(ROUND_SECONDS, spent / BYTES_PER_SECOND)
    return min(MAX_ROUND_SECONDS, seconds)


def message_size(message: GossipMessage) -> int:
    """Give the size of a message in bytes, with the headers round it."""
    return MESSAGE_OVERHEAD + len(msgspec.json.encode(message))
