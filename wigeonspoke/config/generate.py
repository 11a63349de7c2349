"""Generation of a configuration from the answers to a questionnaire.

The result does not depend on the order of the entries, because every list
is sorted.
"""

from collections.abc import Iterable
from operator import attrgetter

from wigeonspoke.config.questionnaire import (
    EngineGroupAnswer,
    Questionnaire,
    ServiceAnswer,
)
from wigeonspoke.core.deployment import (
    Account,
    Configuration,
    Engine,
    LayerRange,
    Link,
    Model,
    Operation,
    Service,
    ServiceReplica,
)

_by_name = attrgetter('name')


def generate_configuration(
    answers: Questionnaire, generation: int
) -> Configuration:
    """Generate a configuration from validated answers.

    ``generation`` is the generation number of the new configuration.
    """
    return Configuration(
        generation=generation,
        deployment=answers.deployment,
        region=answers.region,
        failure_domains=tuple(sorted(answers.failure_domains)),
        models=tuple(sorted(_models(answers), key=_by_name)),
        engines=tuple(sorted(_engines(answers), key=_by_name)),
        services=tuple(sorted(_services(answers), key=_by_name)),
        replicas=tuple(sorted(_replicas(answers), key=_by_name)),
        accounts=tuple(sorted(_accounts(answers), key=_by_name)),
        links=tuple(sorted(_links(answers), key=attrgetter('one', 'other'))),
    )


def _models(answers: Questionnaire) -> Iterable[Model]:
    for model in answers.models:
        yield Model(
            name=model.name,
            layers=model.layers,
            max_context=model.max_context,
            request_seconds=model.answer_seconds,
            queue_seconds=model.queue_seconds,
            between_tokens_seconds=model.between_tokens_seconds,
            prompt_retention_seconds=model.prompt_retention_seconds,
        )


def _engines(answers: Questionnaire) -> Iterable[Engine]:
    for group in answers.engines:
        for address in group.addresses:
            yield _engine(answers, group, address)


def _engine(
    answers: Questionnaire,
    group: EngineGroupAnswer,
    address: str,
) -> Engine:
    accelerators = {
        accelerator.name: accelerator for accelerator in answers.accelerators
    }
    accelerator = accelerators[group.accelerator]
    return Engine(
        name=f'{group.model}-{address}',
        address=address,
        failure_domain=group.failure_domain,
        model=group.model,
        layers=LayerRange(group.first_layer, group.end_layer),
        accelerator=accelerator.name,
        step_seconds=accelerator.step_seconds,
        max_batch=accelerator.max_batch,
        max_streams=accelerator.max_streams,
        checks_fencing=group.checks_fencing,
    )


def _services(answers: Questionnaire) -> Iterable[Service]:
    for service in answers.services:
        yield Service(
            name=service.name,
            operations=tuple(_operations(service)),
            refusal_statuses=tuple(sorted(service.refusal_statuses)),
            call_seconds=service.call_seconds,
        )


def _operations(service: ServiceAnswer) -> Iterable[Operation]:
    ordered = sorted(service.operations, key=attrgetter('method', 'path'))
    for operation in ordered:
        yield Operation(
            method=operation.method,
            path=operation.path,
            repeatable=operation.repeatable,
            identity_header=operation.identity_header,
        )


def _replicas(answers: Questionnaire) -> Iterable[ServiceReplica]:
    for service in answers.services:
        for replica in service.replicas:
            yield ServiceReplica(
                name=f'{service.name}-{replica.address}',
                service=service.name,
                address=replica.address,
                failure_domain=replica.failure_domain,
            )


def _accounts(answers: Questionnaire) -> Iterable[Account]:
    for account in answers.accounts:
        yield Account(
            name=account.name,
            weight=account.weight,
            max_requests=account.max_requests,
            key_digest=account.key_digest,
        )


def _links(answers: Questionnaire) -> Iterable[Link]:
    for link in answers.links:
        yield Link(
            one=min(link.one, link.other),
            other=max(link.one, link.other),
            seconds=link.seconds,
        )
