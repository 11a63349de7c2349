"""Decoding of the records that operators and endpoints write.

These are the configuration and the registry entries, which are read from the
store, and the reports that engines return.  The ``_Wire`` classes have the
field names of the JSON objects.
"""

from ipaddress import IPv4Address
from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import (
    Accelerator,
    Endpoint,
    EngineProfile,
    EngineSpeeds,
)
from wigeonspoke.core.routing import (
    ClientAccount,
    ClientLimits,
    RequestKind,
    RoutingConfiguration,
    Rule,
    ServiceProfile,
    Target,
)
from wigeonspoke.ingress.protocols import EngineState
from wigeonspoke.platform.speeds import decode_speeds
from wigeonspoke.serialization import Count, decode_json, parse_count

MILLISECONDS_PER_SECOND = 1000
MAX_PORT = 65535
CONFIGURATION_KEY = 'config'
# Engines answer 400 to a request with more parts.
MAX_CHAIN_PARTS = 32
# Entries and reports with greater numbers than these come from no endpoint.
MAX_LAYERS = 10000
MAX_SLOTS = 1000000
# The beginning of the year 2100.  An entry of a later start would be taken for
# newer than all real ones with its id.
MAX_BORN_MILLISECONDS = 4102444800000

_REQUEST_KINDS = {
    'safe': RequestKind.SAFE,
    'unsafe': RequestKind.UNSAFE,
    'streaming': RequestKind.STREAM,
}


class _WireTarget(msgspec.Struct):
    service: str
    weight: float = 1


class _WireRoute(msgspec.Struct, rename='kebab'):
    host: str
    path_prefix: str
    name: str = ''
    kind: str = 'unsafe'
    service: str = ''
    backends: tuple[_WireTarget, ...] = ()
    timeout_ms: float = 30000
    target_latency_ms: float = 500
    max_attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: float = 200


class _WireAccelerator(msgspec.Struct, rename='kebab'):
    name: str
    mb: float
    pace: float = 1
    read_x: float = 1


class _WireModel(msgspec.Struct, rename='kebab'):
    name: str
    load_s: float = 0


class _WireTypicalRequest(msgspec.Struct):
    prompt: float = 500
    answer: float = 200


class _WireEngine(msgspec.Struct, rename='kebab'):
    layers: int = 0
    layer_mb: float = 0
    kv_token_bytes: float = 1
    loads_at_once: int = msgspec.field(default=6, name='loads_at_once')
    models: tuple[_WireModel, ...] = ()
    kinds: tuple[_WireAccelerator, ...] = ()
    usual: _WireTypicalRequest = msgspec.field(
        default_factory=_WireTypicalRequest
    )


class _WireService(msgspec.Struct, rename='kebab'):
    name: str
    health_path: str = '/healthz'
    max_connections: int = 100
    engine: _WireEngine | None = None


class _WireTenant(msgspec.Struct, rename='kebab'):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _WireLimits(msgspec.Struct, rename='kebab'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: tuple[_WireRoute, ...] = ()
    services: tuple[_WireService, ...] = ()
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: tuple[_WireTenant, ...] | None = None


_Layer = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
_Born = Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MILLISECONDS)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _WireLayers(msgspec.Struct, rename={'first': 'from', 'end': 'to'}):
    first: _Layer
    end: _Layer


class _WireLoadedModel(msgspec.Struct):
    name: str = ''
    layers: _WireLayers | None = None


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    born: _Born = 0
    slots: _Slots = 1
    kind: str = ''
    models: tuple[_WireLoadedModel, ...] = ()
    layers: _WireLayers | None = None


class _WireReport(msgspec.Struct):
    born: _Born = 0
    # Counts accepted orders here, but heartbeats in a registry entry.
    sequence: Count = 0
    busy: bool = False
    pace: _Amount = 1
    kv_used: _Amount = msgspec.field(default=0, name='kv-used')
    kv_total: _Amount = msgspec.field(default=0, name='kv-total')
    models: tuple[_WireLoadedModel, ...] = ()
    layers: _WireLayers | None = None


def decode_configuration(
    body: bytes,
) -> Result[RoutingConfiguration, str]:
    """Decode a stored configuration; a failure describes the problem."""
    decoded = decode_json(body, _WireConfiguration)
    if not isinstance(decoded, Success):
        return decoded
    wire = decoded.unwrap()
    speeds = decode_speeds(body)
    return Success(
        RoutingConfiguration(
            version=wire.version,
            rules=tuple(map(_convert_rule, wire.routes)),
            services=tuple(
                _convert_service(service, speeds.get(service.name))
                for service in wire.services
            ),
            accounts=tuple(map(_convert_account, wire.tenants or ())),
            has_accounts=bool(wire.tenants),
            limits=_convert_limits(wire.limits),
        ),
    )


def decode_endpoint(endpoint_id: str, body: bytes) -> Result[Endpoint, str]:
    """Decode a registry entry; a failure describes the problem.

    Other programs write the entries, so their content is not trusted: an
    entry that cannot be decoded, or whose state or address is invalid, is a
    failure.
    """
    decoded = decode_json(body, _WireServer)
    if not isinstance(decoded, Success):
        return decoded
    wire = decoded.unwrap()
    if wire.state not in {'ready', 'draining'}:
        return Failure(f'unknown state {wire.state!r}')
    if not _is_address(wire.address):
        return Failure(f'invalid address {wire.address!r}')
    return Success(
        Endpoint(
            endpoint_id=endpoint_id,
            service=wire.service,
            address=wire.address,
            failure_domain=wire.zone,
            born=wire.born,
            is_leaving=wire.state == 'draining',
            slots=wire.slots,
            accelerator=wire.kind,
            layers=_find_layers(wire),
        ),
    )


def decode_report(body: bytes) -> Result[EngineState, str]:
    """Decode an engine's state report; a failure describes the problem."""
    decoded = decode_json(body, _WireReport)
    if not isinstance(decoded, Success):
        return decoded
    wire = decoded.unwrap()
    return Success(
        EngineState(
            born=wire.born,
            orders=wire.sequence,
            layers=_find_layers(wire),
            is_busy=wire.busy,
            slowdown=wire.pace,
            free_memory_fraction=1 - wire.kv_used / max(1, wire.kv_total),
        ),
    )


def _convert_rule(wire: _WireRoute) -> Rule:
    targets = tuple(
        Target(target.service, target.weight) for target in wire.backends
    )
    return Rule(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=_REQUEST_KINDS.get(wire.kind, RequestKind.UNSAFE),
        timeout_seconds=wire.timeout_ms / MILLISECONDS_PER_SECOND,
        target_latency_seconds=wire.target_latency_ms / MILLISECONDS_PER_SECOND,
        max_attempts=wire.max_attempts,
        priority=wire.priority,
        allows_anonymous=wire.anonymous,
        is_resumable=wire.resumable,
        target_event_gap_seconds=wire.gap_aim_ms / MILLISECONDS_PER_SECOND,
        targets=targets or (Target(wire.service, 1),),
    )


def _convert_service(
    wire: _WireService, speeds: EngineSpeeds | None
) -> ServiceProfile:
    return ServiceProfile(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=_convert_engine(wire.engine, speeds) if wire.engine else None,
    )


def _convert_engine(
    wire: _WireEngine, speeds: EngineSpeeds | None
) -> EngineProfile | None:
    if not wire.layers:
        return None
    model = wire.models[0] if wire.models else _WireModel('')
    return EngineProfile(
        model=model.name,
        layers=wire.layers,
        layer_mb=wire.layer_mb,
        kv_token_bytes=wire.kv_token_bytes,
        load_seconds=model.load_s,
        loads_at_once=max(1, wire.loads_at_once),
        mean_request_tokens=wire.usual.prompt + wire.usual.answer,
        accelerators=tuple(
            Accelerator(kind.name, kind.mb, kind.pace, kind.read_x)
            for kind in wire.kinds
        ),
        max_hops=MAX_CHAIN_PARTS,
        speeds=speeds,
    )


def _convert_account(wire: _WireTenant) -> ClientAccount:
    return ClientAccount(wire.name, wire.api_keys, wire.priority)


def _convert_limits(wire: _WireLimits) -> ClientLimits:
    return ClientLimits(
        max_header_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        header_timeout_seconds=wire.header_timeout_ms / MILLISECONDS_PER_SECOND,
        idle_timeout_seconds=wire.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )


def _find_layers(wire: Any) -> LayerRange | None:
    layers = wire.layers
    if layers is None:
        layers = next((model.layers for model in wire.models), None)
    if layers is None or layers.end <= layers.first:
        return None
    return LayerRange(layers.first, layers.end)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        IPv4Address(host)
    except ValueError:
        return False
    number = parse_count(port)
    return number is not None and 0 < number <= MAX_PORT
