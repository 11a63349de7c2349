"""Settings of a node and their validation."""

import re
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

MIN_KEY_LENGTH = 8
MAX_PORT = 65535
MAX_SECONDS = 3600
NAME_PATTERN = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
ADDRESS_PATTERN = re.compile('[0-9.]+:[0-9]{1,5}')
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class NodeSettings(msgspec.Struct, frozen=True):
    """The settings of a node, fixed at its start.

    ``platform`` and ``seeds`` are addresses of the platform's services and
    of peers.  ``cluster_key`` authenticates nodes to each other.
    ``look_away_seconds`` is the time that the load balancer may continue to
    send requests after the readiness check starts to fail.
    """

    name: str
    failure_domain: str
    platform: str
    admin_key: str
    cluster_key: str
    host: str = '127.0.0.1'
    callers_port: int = 0
    admin_port: int = 0
    peers_port: int = 0
    seeds: tuple[str, ...] = ()
    look_away_seconds: float = 5.0
    log_level: str = 'INFO'
    log_json: bool = False


class SettingError(msgspec.Struct, frozen=True):
    """An invalid setting: its name, its value and the allowed values."""

    name: str
    given: str
    allowed: str

    def describe(self) -> str:
        """Return a one-line description."""
        from_environment = f'WIGEONSPOKE_NODE_{self.name.upper()}'
        flag = self.name.replace('_', '-')
        return (
            f'setting --{flag} ({from_environment}) is {self.given!r}; '
            f'allowed: {self.allowed}'
        )


class _Rule(msgspec.Struct, frozen=True):
    names: tuple[str, ...]
    allowed: str
    accepts: Callable[[object], bool]


def _is_valid_name(text: object) -> bool:
    return bool(NAME_PATTERN.fullmatch(str(text)))


def _is_valid_address(text: object) -> bool:
    return bool(ADDRESS_PATTERN.fullmatch(str(text)))


def _is_valid_port(number: object) -> bool:
    return isinstance(number, int) and 0 <= number <= MAX_PORT


def _is_valid_key(text: object) -> bool:
    return len(str(text)) >= MIN_KEY_LENGTH


def _are_valid_addresses(seeds: object) -> bool:
    return isinstance(seeds, tuple) and all(map(_is_valid_address, seeds))


def _is_valid_duration(seconds: object) -> bool:
    return isinstance(seconds, (int, float)) and 0 <= seconds <= MAX_SECONDS


def _is_valid_log_level(text: object) -> bool:
    return text in LOG_LEVELS


RULES = (
    _Rule(
        ('name', 'failure_domain'),
        'lower-case letters, digits, ".", "_" and "-", at most 63',
        _is_valid_name,
    ),
    _Rule(
        ('platform',),
        'an IPv4 address and a port, as host:port',
        _is_valid_address,
    ),
    _Rule(
        ('seeds',),
        'an IPv4 address and a port, as host:port, for each seed',
        _are_valid_addresses,
    ),
    _Rule(
        ('admin_key', 'cluster_key'),
        f'a key of at least {MIN_KEY_LENGTH} characters',
        _is_valid_key,
    ),
    _Rule(
        ('callers_port', 'admin_port', 'peers_port'),
        f'a port from 0 to {MAX_PORT}; 0 selects any free port',
        _is_valid_port,
    ),
    _Rule(
        ('look_away_seconds',),
        f'0 to {MAX_SECONDS} seconds',
        _is_valid_duration,
    ),
    _Rule(('log_level',), ', '.join(LOG_LEVELS), _is_valid_log_level),
)
SECRET_SETTINGS = frozenset(('admin_key', 'cluster_key'))


def check_settings(
    settings: NodeSettings,
) -> Result[NodeSettings, tuple[SettingError, ...]]:
    """Validate all settings and return all errors, not only the first."""
    errors = tuple(
        SettingError(name, _display_value(settings, name), rule.allowed)
        for rule in RULES
        for name in rule.names
        if not rule.accepts(getattr(settings, name))
    )
    return Failure(errors) if errors else Success(settings)


def _display_value(settings: NodeSettings, name: str) -> str:
    given = str(getattr(settings, name))
    return f'{len(given)} characters' if name in SECRET_SETTINGS else given
