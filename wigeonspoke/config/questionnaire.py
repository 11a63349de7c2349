"""Parsing and validation of the answers to a questionnaire.

Answers are a TOML or JSON document.  All errors are reported together, each
with the path of the answer and what is allowed there.

>>> read_answers(b'deployment = 1').failure()[0].path
'deployment'
"""

import tomllib
from collections.abc import Iterable
from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

MAX_COUNT = 1_000_000
MAX_LAYERS = 10_000
MAX_SECONDS = 86_400
MIN_STATUS = 400
MAX_STATUS = 599

Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
LayerNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
Retention = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=MAX_COUNT)]
Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
Digest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Method = Annotated[str, msgspec.Meta(pattern='^(GET|POST|PUT|DELETE)$')]
Path = Annotated[str, msgspec.Meta(pattern='^/')]
Status = Annotated[int, msgspec.Meta(ge=MIN_STATUS, le=MAX_STATUS)]


class ModelAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model, with its number of layers and its limits on requests.

    ``answer_seconds`` limits the time of a whole request,
    ``queue_seconds`` the wait before its first step.
    ``between_tokens_seconds`` is the target for the time from one token to
    the next.  ``prompt_retention_seconds`` is how long its engines keep a
    prompt after its request, 0 if they do not.
    """

    name: Name
    layers: Count
    max_context: Count = 4096
    answer_seconds: Seconds = 120.0
    queue_seconds: Seconds = 30.0
    between_tokens_seconds: Seconds = 0.044
    prompt_retention_seconds: Retention = 0


class AcceleratorAnswer(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """A kind of accelerator and the capacity of an engine that runs on it."""

    name: Name
    step_seconds: Seconds
    max_batch: Count
    max_streams: Count


class EngineGroupAnswer(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Engines with the same layers, accelerator and failure domain."""

    model: Name
    failure_domain: Name
    accelerator: Name
    first_layer: LayerNumber
    end_layer: LayerNumber
    addresses: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    checks_fencing: bool = False


class OperationAnswer(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """An operation of a service and whether it may be repeated."""

    method: Method
    path: Path
    repeatable: bool
    identity_header: str = 'Idempotency-Key'


class ReplicaAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The location of a service replica."""

    failure_domain: Name
    address: Address


class ServiceAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service with its operations and replicas."""

    name: Name
    operations: Annotated[
        tuple[OperationAnswer, ...],
        msgspec.Meta(min_length=1),
    ]
    replicas: Annotated[tuple[ReplicaAnswer, ...], msgspec.Meta(min_length=1)]
    refusal_statuses: tuple[Status, ...] = ()
    call_seconds: Seconds = 10.0


class AccountAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account.

    ``key_digest`` is the SHA-256 digest of its bearer key in hexadecimal,
    ``weight`` its relative share under load.
    """

    name: Name
    key_digest: Digest
    weight: Weight = 1.0
    max_requests: Count = 256


class LinkAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The one-way latency between two failure domains."""

    one: Name
    other: Name
    seconds: Seconds


class Questionnaire(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All answers for a deployment."""

    deployment: Name
    region: Name
    failure_domains: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    models: tuple[ModelAnswer, ...] = ()
    accelerators: tuple[AcceleratorAnswer, ...] = ()
    engines: tuple[EngineGroupAnswer, ...] = ()
    services: tuple[ServiceAnswer, ...] = ()
    accounts: tuple[AccountAnswer, ...] = ()
    links: tuple[LinkAnswer, ...] = ()


class AnswerError(msgspec.Struct, frozen=True):
    """An error in an answer and the path of the answer."""

    path: str
    problem: str

    def describe(self) -> str:
        """Return the error as one line."""
        return f'{self.path}: {self.problem}'


_SECTIONS: dict[str, type] = {
    'models': ModelAnswer,
    'accelerators': AcceleratorAnswer,
    'engines': EngineGroupAnswer,
    'services': ServiceAnswer,
    'accounts': AccountAnswer,
    'links': LinkAnswer,
}

Errors = tuple[AnswerError, ...]


def read_answers(text: bytes) -> Result[Questionnaire, Errors]:
    """Parse and validate answers in TOML or JSON."""
    try:
        document = _parse(text)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure((AnswerError('document', str(error)),))
    if not isinstance(document, dict):
        return Failure((AnswerError('document', 'expected a table'),))
    errors = _find_type_errors(document)
    if errors:
        return Failure(errors)
    answers = msgspec.convert(document, Questionnaire)
    errors = tuple(_find_conflicts(answers))
    return Failure(errors) if errors else Success(answers)


def _parse(text: bytes) -> Any:
    if text.lstrip().startswith(b'{'):
        return msgspec.json.decode(text)
    return tomllib.loads(text.decode())


def _find_type_errors(document: dict[str, Any]) -> Errors:
    """Validate each entry on its own, so that all errors are found.

    Conversion of the whole document would stop at the first error.
    """
    errors: list[AnswerError] = []
    cleaned = dict(document)
    for section, entry_type in _SECTIONS.items():
        entries = document.get(section, [])
        if not isinstance(entries, list):
            errors.append(AnswerError(section, 'expected a list of tables'))
            cleaned.pop(section)
            continue
        errors.extend(_check_entries(section, entries, entry_type))
        cleaned[section] = []
    top_level = {
        name: cleaned[name] for name in cleaned if name not in _SECTIONS
    }
    errors.extend(_check_top_level(top_level))
    return tuple(errors)


def _check_entries(
    section: str,
    entries: list[Any],
    entry_type: type,
) -> Iterable[AnswerError]:
    for index, entry in enumerate(entries):
        try:
            msgspec.convert(entry, entry_type)
        except msgspec.ValidationError as error:
            yield _to_answer_error(f'{section}[{index}]', error)


def _check_top_level(top_level: dict[str, Any]) -> Iterable[AnswerError]:
    known = {'deployment': Name, 'region': Name}
    for name, answer_type in known.items():
        try:
            msgspec.convert(top_level.get(name), answer_type)
        except msgspec.ValidationError as error:
            yield _to_answer_error(name, error)
    domains = top_level.get('failure_domains')
    try:
        msgspec.convert(
            domains,
            Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)],
        )
    except msgspec.ValidationError as error:
        yield _to_answer_error('failure_domains', error)
    for name in top_level.keys() - known.keys() - {'failure_domains'}:
        yield AnswerError(name, 'unknown field')


def _to_answer_error(
    path: str,
    error: msgspec.ValidationError,
) -> AnswerError:
    problem, _, inner = str(error).partition(' - at `$')
    return AnswerError(f'{path}{inner.rstrip("`")}', problem)


def _find_conflicts(answers: Questionnaire) -> Iterable[AnswerError]:
    """Find inconsistencies between answers that are valid on their own."""
    yield from _find_duplicates(answers)
    yield from _find_unknown_references(answers)
    yield from _find_layer_problems(answers)


def _find_duplicates(answers: Questionnaire) -> Iterable[AnswerError]:
    names_by_path: dict[str, Iterable[str]] = {
        'failure_domains': answers.failure_domains,
        'models': _names(answers.models),
        'accelerators': _names(answers.accelerators),
        'services': _names(answers.services),
        'accounts': _names(answers.accounts),
        'accounts.key_digest': [
            account.key_digest for account in answers.accounts
        ],
        'addresses': _addresses(answers),
    }
    for path, names in names_by_path.items():
        seen: set[str] = set()
        for name in names:
            if name in seen:
                yield AnswerError(path, f'{name} appears more than once')
            seen.add(name)


def _addresses(answers: Questionnaire) -> Iterable[str]:
    for group in answers.engines:
        yield from group.addresses
    for service in answers.services:
        yield from (replica.address for replica in service.replicas)


def _names(entries: Iterable[Any]) -> list[str]:
    return [entry.name for entry in entries]


def _find_unknown_references(answers: Questionnaire) -> Iterable[AnswerError]:
    domains = set(answers.failure_domains)
    models = set(_names(answers.models))
    accelerators = set(_names(answers.accelerators))
    for group_index, group in enumerate(answers.engines):
        path = f'engines[{group_index}]'
        yield from _check_reference(f'{path}.model', group.model, models)
        yield from _check_reference(
            f'{path}.accelerator', group.accelerator, accelerators
        )
        yield from _check_reference(
            f'{path}.failure_domain',
            group.failure_domain,
            domains,
        )
    for service_index, service in enumerate(answers.services):
        for index, replica in enumerate(service.replicas):
            path = f'services[{service_index}].replicas[{index}].failure_domain'
            yield from _check_reference(path, replica.failure_domain, domains)
    for link_index, link in enumerate(answers.links):
        yield from _check_reference(
            f'links[{link_index}].one', link.one, domains
        )
        yield from _check_reference(
            f'links[{link_index}].other', link.other, domains
        )


def _check_reference(
    path: str,
    name: str,
    allowed: set[str],
) -> Iterable[AnswerError]:
    if name not in allowed:
        choices = ', '.join(sorted(allowed)) or 'none'
        yield AnswerError(path, f'{name} is not one of: {choices}')


def _find_layer_problems(answers: Questionnaire) -> Iterable[AnswerError]:
    for group_index, group in enumerate(answers.engines):
        if group.first_layer >= group.end_layer:
            path = f'engines[{group_index}].end_layer'
            yield AnswerError(path, 'must be greater than first_layer')
    for model_index, model in enumerate(answers.models):
        if not _can_cover_layers(answers, model):
            yield AnswerError(
                f'models[{model_index}].layers',
                f'no chain of engines covers layers 0 to {model.layers}',
            )


def _can_cover_layers(answers: Questionnaire, model: ModelAnswer) -> bool:
    """Return whether engines can form a chain over all of a model's layers.

    ``reachable`` holds the layers up to which a chain from layer 0 can run.
    """
    reachable = {0}
    ranges = sorted(
        (group.first_layer, group.end_layer)
        for group in answers.engines
        if group.model == model.name
    )
    for first, end in ranges:
        if first in reachable:
            reachable.add(end)
    return model.layers in reachable
