"""An example deployment for the tests of the core."""

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
from wigeonspoke.core.events import CallRequested, GenerationRequested

LAYERS = 4
MODEL = Model('m', LAYERS, 512, 60.0, 5.0)
PROMPT = (104, 111, 108, 97)


def make_engine(
    name: str,
    domain: str,
    first: int,
    end: int,
    max_streams: int = 16,
) -> Engine:
    """Create an engine of the model ``m``."""
    return Engine(
        name=name,
        address=f'10.0.0.{1 + (domain == "b")}:{first}',
        failure_domain=domain,
        model='m',
        layers=LayerRange(first, end),
        accelerator='wide',
        step_seconds=0.01,
        max_batch=4,
        max_streams=max_streams,
        checks_fencing=False,
    )


ENGINES = (
    make_engine('a1', 'a', 0, 2),
    make_engine('a2', 'a', 2, 4),
    make_engine('b1', 'b', 0, 2),
    make_engine('b2', 'b', 2, 4),
)
SERVICE = Service(
    name='filing',
    operations=(
        Operation('POST', '/submissions', repeatable=False),
        Operation('GET', '/status', repeatable=True),
    ),
    refusal_statuses=(503,),
    call_seconds=5.0,
)
REPLICAS = (
    ServiceReplica('f1', 'filing', '10.0.0.1:80', 'a'),
    ServiceReplica('f2', 'filing', '10.0.0.2:80', 'b'),
)


def make_configuration(
    generation: int = 1,
    engines: tuple[Engine, ...] = ENGINES,
) -> Configuration:
    """Create a configuration with two failure domains."""
    return Configuration(
        generation=generation,
        deployment='example',
        region='r',
        failure_domains=('a', 'b'),
        models=(MODEL,),
        engines=engines,
        services=(SERVICE,),
        replicas=REPLICAS,
        accounts=(Account('big', 3.0, 64, ''), Account('small', 1.0, 2, '')),
        links=(Link('a', 'b', 0.001),),
    )


def make_request(
    request_id: str = 'r1',
    account: str = 'big',
    max_tokens: int = 3,
    prompt: tuple[int, ...] = PROMPT,
) -> GenerationRequested:
    """Create a generation request for the model ``m``."""
    return GenerationRequested(request_id, account, 'm', prompt, max_tokens)


def make_call(
    request_id: str = 'c1',
    token: str = 't1',
    identity: str = 'op-1',
    digest: str = 'd1',
    method: str = 'POST',
    path: str = '/submissions',
) -> CallRequested:
    """Create a call of the service ``filing``."""
    return CallRequested(
        request_id=request_id,
        account='big',
        service='filing',
        method=method,
        path=path,
        identity=identity,
        body_digest=digest,
        claim_token=token,
    )
