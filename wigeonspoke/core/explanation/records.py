"""Records of an explanation, as a node serves them."""

import enum

import msgspec


@enum.unique
class FindingReason(enum.StrEnum):
    """What is known against a candidate."""

    LEAVING = 'leaving'
    BACKOFF = 'backoff'
    LIMIT = 'limit'
    SUSPECT = 'suspect'
    SLOW = 'slow'
    EJECTED = 'ejected'
    FAILING = 'failing'
    DEPRIORITIZED = 'deprioritized'
    FULL = 'full'
    CONCURRENCY_LIMIT = 'concurrency-limit'
    OTHER_DOMAIN = 'other-domain'
    RESERVED = 'reserved'
    MEMORY = 'memory'
    GAP = 'gap'
    LATE = 'late'
    NO_CHAIN = 'no-chain'


class Finding(msgspec.Struct, frozen=True):
    """Why a candidate gets no request, or ranks below others.

    ``ends_in`` and ``age`` are in seconds, None if they are not known.
    """

    reason: FindingReason
    rules_out: bool
    detail: str = ''
    ends_in: float | None = None
    age: float | None = None


class Candidate(msgspec.Struct, frozen=True):
    """A chain, a replica, or an engine that is in no chain.

    ``endpoint_id`` is that of the chain's head.  ``own`` requests are in
    progress at this node, and ``peers`` at other nodes as far as they told;
    ``news_age`` is the age in seconds of the oldest of these reports, None if
    no peer reported any.  The expected times are None where they are not
    known.
    """

    endpoint_id: str
    address: str
    failure_domain: str
    engines: tuple[str, ...]
    capacity: float
    own: int
    peers: int
    expected_first_event_seconds: float | None
    expected_gap_seconds: float | None
    news_age: float | None
    findings: tuple[Finding, ...]

    @property
    def is_ruled_out(self) -> bool:
        """Whether a request cannot go there now."""
        return any(finding.rules_out for finding in self.findings)


class ServiceExplanation(msgspec.Struct, frozen=True):
    """The candidates of a service that gets a share of a rule's requests.

    ``chosen`` is the endpoint id of the chosen candidate, '' if there is none.
    ``reserved`` is what is reserved on each chain for more urgent ranks.
    ``left_out`` are engines that are in no chain.
    """

    service: str
    share: float
    chosen: str
    reserved: float
    candidates: tuple[Candidate, ...]
    left_out: tuple[Candidate, ...] = ()


class RequestQuestion(msgspec.Struct, frozen=True):
    """The request that is asked about; ``account`` is the name of one."""

    host: str
    path: str
    account: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go now.

    ``refusal`` is the reason for which the node would refuse it before it
    looks for an endpoint, '' if it would not.  ``registry_age`` is the age in
    seconds of the node's copy of the registry, and ``peer_ages`` those of the
    last reports of its peers.
    """

    node: str
    failure_domain: str
    version: int
    refusal: str = ''
    rule: str = ''
    kind: str = ''
    rank: int | None = None
    registry_age: float | None = None
    peer_ages: dict[str, float] = {}
    services: tuple[ServiceExplanation, ...] = ()
