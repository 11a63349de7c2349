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

from wigeonspoke.config.generate import generate_configuration
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
MAX_HEAD_WRITES = 4
MAX_PAST_REVISIONS = 15


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


EMPTY_HEAD = ConfigHead(0, '', '')


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
            return Success(StoredHead(EMPTY_HEAD, 0))
        return Failure(error)

    def read_body(self, head: ConfigHead) -> Result[Configuration, StoreError]:
        """Read and check the body that a head names."""
        body = self.platform.get_object(head.body_hash)
        return body.bind(
            lambda stored_body: _decode_body(stored_body, head.body_hash)
        )

    def read_answers(self, head: ConfigHead) -> Result[bytes, StoreError]:
        """Read the answers from which a head's body was generated."""
        return self.platform.get_object(head.answers_hash)

    def publish(
        self,
        answers: Questionnaire,
        base_generation: int,
        author: str,
    ) -> Result[ConfigHead, PublishError]:
        """Put answers in force if generation ``base_generation`` still is."""
        head_read = self.read_head()
        if not isinstance(head_read, Success):
            return Failure(_unavailable(base_generation))
        stored = head_read.unwrap()
        if stored.head.generation != base_generation:
            return Failure(_conflict(stored.head))
        body = msgspec.json.encode(
            generate_configuration(answers, base_generation + 1)
        )
        answers_body = msgspec.json.encode(answers)
        revision = Revision(
            base_generation + 1, uuid.uuid4().hex, author, _sha256(answers_body)
        )
        past_revisions = stored.head.history[-MAX_PAST_REVISIONS:]
        head = ConfigHead(
            generation=revision.generation,
            body_hash=_sha256(body),
            answers_hash=revision.answers_hash,
            history=(*past_revisions, revision),
        )
        for content in (body, answers_body):
            if not isinstance(self._put_with_retry(content), Success):
                return Failure(_unavailable(base_generation))
        return self._write_head(head, stored)

    def _put_with_retry(self, content: bytes) -> Result[None, StoreError]:
        name = _sha256(content)
        written = self.platform.put_object(name, content)
        if isinstance(written, Success):
            return written
        return self.platform.put_object(name, content)

    def _write_head(
        self,
        head: ConfigHead,
        stored: StoredHead,
    ) -> Result[ConfigHead, PublishError]:
        content = msgspec.json.encode(head)
        uncertain = False
        for _ in range(MAX_HEAD_WRITES):
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
                return _resolve_conflict(head, error.row)
            uncertain |= error.problem is StoreProblem.UNCERTAIN
        base_generation = stored.head.generation
        if uncertain:
            return Failure(
                PublishError(PublishProblem.UNCERTAIN, base_generation)
            )
        return Failure(_unavailable(base_generation))


def _resolve_conflict(
    head: ConfigHead,
    row: TableRow | None,
) -> Result[ConfigHead, PublishError]:
    """Tell a lost answer to this proposal from another's revision."""
    if row is None:
        return Failure(_conflict(EMPTY_HEAD))
    stored_head = msgspec.json.decode(row.content, type=ConfigHead)
    if head.history[-1] in stored_head.history:
        return Success(head)
    return Failure(_conflict(stored_head))


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
    if _sha256(body) != expected:
        return Failure(StoreError(StoreProblem.UNCERTAIN, 'read-body'))
    try:
        return Success(msgspec.json.decode(body, type=Configuration))
    except msgspec.MsgspecError:
        return Failure(StoreError(StoreProblem.UNCERTAIN, 'read-body'))


def _sha256(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _unavailable(generation: int) -> PublishError:
    return PublishError(PublishProblem.UNAVAILABLE, generation)


def _conflict(head: ConfigHead) -> PublishError:
    return PublishError(PublishProblem.CONFLICT, head.generation)
