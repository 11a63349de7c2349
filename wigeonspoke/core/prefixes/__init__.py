"""Beginnings of prompts that engines still hold."""

from wigeonspoke.core.prefixes.index import CacheEvent, PrefixIndex
from wigeonspoke.core.prefixes.prefix import (
    Prefix,
    block_prefixes,
    part_prefixes,
)

__all__ = (
    'CacheEvent',
    'Prefix',
    'PrefixIndex',
    'block_prefixes',
    'part_prefixes',
)
