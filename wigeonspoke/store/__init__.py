"""Protocols and an HTTP client for the platform's storage services."""

from wigeonspoke.store.http_platform import HttpPlatform
from wigeonspoke.store.protocols import (
    FeedStore,
    HostEntry,
    HostList,
    ObjectStore,
    RowPage,
    RowWrite,
    StoreError,
    StoreProblem,
    Table,
    TableRow,
)

__all__ = (
    'FeedStore',
    'HostEntry',
    'HostList',
    'HttpPlatform',
    'ObjectStore',
    'RowPage',
    'RowWrite',
    'StoreError',
    'StoreProblem',
    'Table',
    'TableRow',
)
