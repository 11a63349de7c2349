"""The settings file that the platform gives to a process."""

import os
import tomllib
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.ingress.settings import IngressSettings

PATH_VARIABLE = 'WIGEONSPOKE_CONFIG'
MILLISECONDS = 1000


class _Listen(msgspec.Struct):
    front: str
    ready: str
    # Calls of the control plane: nobody outside calls it, so that it serves
    # the nodes among themselves.
    control: str = ''


class _Limits(msgspec.Struct, rename='kebab'):
    max_fds: int = 1024


class _Bounds(msgspec.Struct, rename='kebab'):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 0
    budget_window_s: float = 10.0
    drain_ms: float = 2000
    pass_ms: float = 120


class _Platform(msgspec.Struct):
    address: str


class _BootFile(msgspec.Struct, rename='kebab'):
    node: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Platform
    internal_ports: tuple[int, int] = (0, 0)
    seeds: tuple[str, ...] = ()
    zones: dict[str, str] = {}
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path | None:
    """Give the path of the settings file, if this is the platform."""
    named = os.environ.get(PATH_VARIABLE)
    return Path(named) if named else None


def read_settings(path: Path) -> Result[IngressSettings, tuple[str, ...]]:
    """Read the file; a failure names every field that is wrong."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure((f'{path}: {error.strerror}',))
    return decode_settings(text)


def decode_settings(text: str) -> Result[IngressSettings, tuple[str, ...]]:
    """Decode the file; fields that are not known are passed over."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure((f'not TOML: {error}',))
    faults = _find_faults(tables)
    if faults:
        return Failure(faults)
    return Success(_translate(msgspec.convert(tables, _BootFile)))


def _find_faults(tables: dict[str, object]) -> tuple[str, ...]:
    """Check field by field, so that every fault is named at once."""
    faults: list[str] = []
    for field in msgspec.structs.fields(_BootFile):
        given = tables.get(field.encode_name, msgspec.UNSET)
        if given is msgspec.UNSET:
            if field.required:
                faults.append(f'{field.encode_name}: is missing')
            continue
        try:
            msgspec.convert(given, field.type)
        except msgspec.ValidationError as error:
            faults.append(f'{field.encode_name}: {error}')
    return tuple(faults)


def _translate(boot: _BootFile) -> IngressSettings:
    return IngressSettings(
        name=boot.node,
        failure_domain=boot.zone,
        failure_domains=tuple(boot.zones) or (boot.zone,),
        host=boot.ip,
        front=boot.listen.front,
        ready=boot.listen.ready,
        peers=boot.listen.control or f'{boot.ip}:{boot.internal_ports[0]}',
        seeds=boot.seeds,
        metrics_port=boot.internal_ports[1],
        store=boot.platform.address,
        max_sockets=boot.limits.max_fds,
        stop_seconds=boot.bounds.grace_s,
        retry_ratio=boot.bounds.retry_budget_ratio,
        retry_extra=boot.bounds.retry_budget_extra,
        retry_window_seconds=boot.bounds.budget_window_s,
    )
