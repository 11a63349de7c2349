"""Reports of the groups that nodes reach, and the peers chosen by them."""

import msgspec


class ReachedReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node reports of a group: the endpoints of a service in a domain.

    ``answer_age`` is the age in seconds of the last answer or new connection
    of an endpoint of the group, or None if there was none recently.
    ``is_doubted`` is whether requests of the node get no answer there, so that
    peers should find out if they do.
    """

    service: str
    failure_domain: str
    answer_age: float | None
    is_isolated: bool
    is_doubted: bool = False


class RelayPeer(msgspec.Struct, frozen=True):
    """A peer that requests can be relayed to; ``address`` is for peers."""

    name: str
    address: str
    failure_domain: str


class IsolationChange(msgspec.Struct, frozen=True):
    """An isolation that has begun or ended.

    ``since`` is the first failure of the isolation, on the monotonic clock.
    ``is_withdrawn`` is set if it ended because no peer reaches the group
    either: the endpoints are down.  ``is_unanswered`` is set for one that has
    begun because connections were established and gave no answer.
    """

    service: str
    failure_domain: str
    is_isolated: bool
    since: float
    is_withdrawn: bool = False
    is_unanswered: bool = False
