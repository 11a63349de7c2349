"""Reading and validation of the settings file of the platform."""

import os
import tomllib
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.ingress.settings import IngressSettings

PATH_VARIABLE = 'WIGEONSPOKE_CONFIG'
MILLISECONDS_PER_SECOND = 1000


class _ListenTable(msgspec.Struct):
    front: str
    ready: str
    # Address for control-plane requests.  No client outside the deployment
    # calls it, so the nodes use it for requests among themselves.
    control: str = ''


class _LimitsTable(msgspec.Struct, rename='kebab'):
    max_fds: int = 1024
    memory_mb: float = 300


class _BoundsTable(msgspec.Struct, rename='kebab'):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 0
    budget_window_s: float = 10.0
    drain_ms: float = 2000
    pass_ms: float = 120


class _PlatformTable(msgspec.Struct):
    address: str


class _SettingsFile(msgspec.Struct, rename='kebab'):
    node: str
    zone: str
    ip: str
    listen: _ListenTable
    platform: _PlatformTable
    internal_ports: tuple[int, int] = (0, 0)
    seeds: tuple[str, ...] = ()
    zones: dict[str, str] = {}
    limits: _LimitsTable = msgspec.field(default_factory=_LimitsTable)
    bounds: _BoundsTable = msgspec.field(default_factory=_BoundsTable)


def settings_path() -> Path | None:
    """Return the path of the settings file, if the environment sets one."""
    path = os.environ.get(PATH_VARIABLE)
    return Path(path) if path else None


def read_settings(path: Path) -> Result[IngressSettings, tuple[str, ...]]:
    """Read the settings file; a failure lists every invalid field."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure((f'{path}: {error.strerror}',))
    return decode_settings(text)


def decode_settings(text: str) -> Result[IngressSettings, tuple[str, ...]]:
    """Decode the settings file; unknown fields are ignored."""
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure((f'not TOML: {error}',))
    errors = _validate(document)
    if errors:
        return Failure(errors)
    return Success(_convert_settings(msgspec.convert(document, _SettingsFile)))


def _validate(document: dict[str, object]) -> tuple[str, ...]:
    """Validate each field separately, to report all errors at once."""
    errors: list[str] = []
    for field in msgspec.structs.fields(_SettingsFile):
        field_value = document.get(field.encode_name, msgspec.UNSET)
        if field_value is msgspec.UNSET:
            if field.required:
                errors.append(f'{field.encode_name}: is missing')
            continue
        try:
            msgspec.convert(field_value, field.type)
        except msgspec.ValidationError as error:
            errors.append(f'{field.encode_name}: {error}')
    return tuple(errors)


def _convert_settings(settings_file: _SettingsFile) -> IngressSettings:
    return IngressSettings(
        name=settings_file.node,
        failure_domain=settings_file.zone,
        failure_domains=tuple(settings_file.zones) or (settings_file.zone,),
        host=settings_file.ip,
        front=settings_file.listen.front,
        ready=settings_file.listen.ready,
        peers=settings_file.listen.control
        or f'{settings_file.ip}:{settings_file.internal_ports[0]}',
        seeds=settings_file.seeds,
        metrics_port=settings_file.internal_ports[1],
        store=settings_file.platform.address,
        max_sockets=settings_file.limits.max_fds,
        memory_mb=settings_file.limits.memory_mb,
        stop_seconds=settings_file.bounds.grace_s,
        retry_ratio=settings_file.bounds.retry_budget_ratio,
        retry_extra=settings_file.bounds.retry_budget_extra,
        retry_window_seconds=settings_file.bounds.budget_window_s,
    )
