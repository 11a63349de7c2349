"""The configuration in the platform's store.

A body stands in the object store under its hash.  One head row in the table
names the generation in force and the hash of its body; it is moved by
compare-and-set, so of two operators who start from the same generation one
wins and the other is told so.
"""

import enum
import hashlib
import uuid

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.config.generate import generate
from wigeonspoke.config.questionnaire import Questionnaire
from wigeonspoke.core.deployment import Configuration
from wigeonspoke.store import (
    HttpPlatform,
    StoreError,
    StoreProblem,
    TableRow,
)

CONFIG_TABLE = 'config'
HEAD_KEY = 'head'
MAX_PUBLISH_TRIES = 4
PAST_REVISIONS = 15


class Revision(msgspec.Struct, frozen=True):
    """One revision that was in force: its generation and who proposed it."""

    generation: int
    proposal: str
    who: str
    answers_hash: str


class ConfigHead(msgspec.Struct, frozen=True):
    """The head row: which body is in force, and how it came to be.

    ``history`` ends with the revision in force.  It holds enough of the
    latest ones to tell a writer whose answer was lost that its proposal
    took effect, even if others came after it.
    """

    generation: int
    body_hash: str
    answers_hash: str
    history: tuple[Revision, ...] = ()


NO_HEAD = ConfigHead(0, '', '')


class StoredHead(msgspec.Struct, frozen=True):
    """A head together with the version of its row."""

    head: ConfigHead
    version: int


@enum.unique
class PublishProblem(enum.StrEnum):
    """Why a revision is not in force.

    ``CONFLICT``: another revision came first.  ``UNAVAILABLE``: the store
    is down and nothing changed.  ``UNCERTAIN``: the store's answers were
    lost, and whether the revision is in force will show in the history.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'


class PublishError(msgspec.Struct, frozen=True):
    """A revision that was not put in force, and the generation that is."""

    problem: PublishProblem
    generation: int


class ConfigStore:
    """Reads and publishes configurations."""

    __slots__ = ('platform',)

    def __init__(self, platform: HttpPlatform) -> None:
        self.platform = platform

    def read_head(self) -> Result[StoredHead, StoreError]:
        """Read the head; without a row it is at generation 0."""
        answer = self.platform.read(CONFIG_TABLE, HEAD_KEY)
        if isinstance(answer, Success):
            return _decode_head(answer.unwrap())
        error = answer.failure()
        if error.problem is StoreProblem.MISSING:
            return Success(StoredHead(NO_HEAD, 0))
        return Failure(error)

    def read_body(self, head: ConfigHead) -> Result[Configuration, StoreError]:
        """Read and check the body that a head names."""
        body = self.platform.get_object(head.body_hash)
        return body.bind(lambda found: _decode_body(found, head.body_hash))

    def read_answers(self, head: ConfigHead) -> Result[bytes, StoreError]:
        """Read the answers from which a head's body was generated."""
        return self.platform.get_object(head.answers_hash)

    def publish(
        self,
        answers: Questionnaire,
        base: int,
        who: str,
    ) -> Result[ConfigHead, PublishError]:
        """Put answers in force if generation ``base`` still is."""
        read = self.read_head()
        if not isinstance(read, Success):
            return Failure(_unavailable(base))
        stored = read.unwrap()
        if stored.head.generation != base:
            return Failure(_conflict(stored.head))
        body = msgspec.json.encode(generate(answers, base + 1))
        source = msgspec.json.encode(answers)
        revision = Revision(base + 1, uuid.uuid4().hex, who, _hash(source))
        past = stored.head.history[-PAST_REVISIONS:]
        head = ConfigHead(
            generation=revision.generation,
            body_hash=_hash(body),
            answers_hash=revision.answers_hash,
            history=(*past, revision),
        )
        for content in (body, source):
            if not isinstance(self._put(content), Success):
                return Failure(_unavailable(base))
        return self._move_head(head, stored)

    def _put(self, content: bytes) -> Result[None, StoreError]:
        name = _hash(content)
        kept = self.platform.put_object(name, content)
        if isinstance(kept, Success):
            return kept
        return self.platform.put_object(name, content)

    def _move_head(
        self,
        head: ConfigHead,
        stored: StoredHead,
    ) -> Result[ConfigHead, PublishError]:
        content = msgspec.json.encode(head)
        uncertain = False
        for _ in range(MAX_PUBLISH_TRIES):
            written = self.platform.write(
                CONFIG_TABLE,
                HEAD_KEY,
                content,
                stored.version,
            )
            if isinstance(written, Success):
                return Success(head)
            error = written.failure()
            if error.problem is StoreProblem.CONFLICT:
                return _judge_conflict(head, error.row)
            uncertain |= error.problem is StoreProblem.UNCERTAIN
        base = stored.head.generation
        if uncertain:
            return Failure(PublishError(PublishProblem.UNCERTAIN, base))
        return Failure(_unavailable(base))


def _judge_conflict(
    head: ConfigHead,
    row: TableRow | None,
) -> Result[ConfigHead, PublishError]:
    """Tell a lost answer to this proposal from another's revision."""
    if row is None:
        return Failure(_conflict(NO_HEAD))
    found = msgspec.json.decode(row.content, type=ConfigHead)
    if head.history[-1] in found.history:
        return Success(head)
    return Failure(_conflict(found))


def _decode_head(row: TableRow) -> Result[StoredHead, StoreError]:
    try:
        head = msgspec.json.decode(row.content, type=ConfigHead)
    except msgspec.MsgspecError:
        return Failure(StoreError(StoreProblem.UNCERTAIN, 'read-head'))
    return Success(StoredHead(head, row.version))


def _decode_body(
    body: bytes,
    expected: str,
) -> Result[Configuration, StoreError]:
    if _hash(body) != expected:
        return Failure(StoreError(StoreProblem.UNCERTAIN, 'read-body'))
    try:
        return Success(msgspec.json.decode(body, type=Configuration))
    except msgspec.MsgspecError:
        return Failure(StoreError(StoreProblem.UNCERTAIN, 'read-body'))


def _hash(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _unavailable(generation: int) -> PublishError:
    return PublishError(PublishProblem.UNAVAILABLE, generation)


def _conflict(head: ConfigHead) -> PublishError:
    return PublishError(PublishProblem.CONFLICT, head.generation)
