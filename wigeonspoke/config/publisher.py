"""Publication of configurations in the platform's store.

The body of a configuration is kept in the object store under its SHA-256
digest.  A single head row in the table store holds the current generation
and the digest of its body.  The row is updated by compare-and-set: if two
operators publish revisions of the same generation, one succeeds and the
other gets a conflict.
"""

import enum
import hashlib
import uuid

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.config.generate import generate_configuration
from wigeonspoke.config.questionnaire import Questionnaire
from wigeonspoke.core.deployment import Configuration
from wigeonspoke.serialization import decode_json
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
    """A published revision.

    ``proposal`` is a unique identifier of the attempt to publish it, and
    ``who`` is its author.
    """

    generation: int
    proposal: str
    who: str
    answers_hash: str


class ConfigHead(msgspec.Struct, frozen=True):
    """The content of the head row, which names the current configuration.

    ``history`` holds the latest revisions and ends with the current one.  A
    writer whose reply from the store was lost finds its proposal there if
    the write took effect, even if other revisions followed.
    """

    generation: int
    body_hash: str
    answers_hash: str
    history: tuple[Revision, ...] = ()


EMPTY_HEAD = ConfigHead(0, '', '')


class StoredHead(msgspec.Struct, frozen=True):
    """A head and the version of its row."""

    head: ConfigHead
    version: int


@enum.unique
class PublishProblem(enum.StrEnum):
    """Why a revision was not confirmed as published.

    ``CONFLICT``: another revision was published first.  ``UNAVAILABLE``: the
    store is unavailable and the head is unchanged.  ``UNCERTAIN``: the store's
    reply was lost; the history tells whether the revision was published.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'


class PublishError(msgspec.Struct, frozen=True):
    """A failed publication.

    ``generation`` is the current generation, as far as it is known.
    """

    problem: PublishProblem
    generation: int


class ConfigStore:
    """Reads and publishes configurations in the platform's store."""

    __slots__ = ('platform',)

    def __init__(self, platform: HttpPlatform) -> None:
        self.platform = platform

    def read_head(self) -> Result[StoredHead, StoreError]:
        """Read the head, which has generation 0 if there is no row yet."""
        answer = self.platform.read(CONFIG_TABLE, HEAD_KEY)
        if isinstance(answer, Success):
            return _decode_head(answer.unwrap())
        error = answer.failure()
        if error.problem is StoreProblem.MISSING:
            return Success(StoredHead(EMPTY_HEAD, 0))
        return Failure(error)

    def read_body(self, head: ConfigHead) -> Result[Configuration, StoreError]:
        """Read the body that a head refers to and verify its digest."""
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
        """Publish answers if ``base_generation`` is the current generation."""
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
    """Return whether the conflict is with this proposal or another one.

    If the history contains this proposal, an earlier write of it took
    effect although its reply was lost, so the publication succeeded.
    """
    if row is None:
        return Failure(_conflict(EMPTY_HEAD))
    stored_head = decode_json(row.content, ConfigHead).value_or(EMPTY_HEAD)
    if head.history[-1] in stored_head.history:
        return Success(head)
    return Failure(_conflict(stored_head))


def _decode_head(row: TableRow) -> Result[StoredHead, StoreError]:
    return (
        decode_json(row.content, ConfigHead)
        .map(lambda head: StoredHead(head, row.version))
        .alt(lambda _problem: _unreadable('read-head'))
    )


def _decode_body(
    body: bytes,
    expected: str,
) -> Result[Configuration, StoreError]:
    if _sha256(body) != expected:
        return Failure(_unreadable('read-body'))
    return decode_json(body, Configuration).alt(
        lambda _problem: _unreadable('read-body')
    )


def _unreadable(step: str) -> StoreError:
    return StoreError(StoreProblem.UNCERTAIN, step)


def _sha256(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _unavailable(generation: int) -> PublishError:
    return PublishError(PublishProblem.UNAVAILABLE, generation)


def _conflict(head: ConfigHead) -> PublishError:
    return PublishError(PublishProblem.CONFLICT, head.generation)
