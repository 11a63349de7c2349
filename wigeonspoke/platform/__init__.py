"""The platform's services: Protocols and their HTTP clients."""

from wigeonspoke.platform.http_platform import HttpPlatform
from wigeonspoke.platform.protocols import (
    HostEntry,
    HostList,
    ObjectStore,
    StoreError,
    StoreProblem,
    Table,
    TableRow,
)

__all__ = (
    'HostEntry',
    'HostList',
    'HttpPlatform',
    'ObjectStore',
    'StoreError',
    'StoreProblem',
    'Table',
    'TableRow',
)
