"""Quarantine of parts of prompts, and of requests, under which replicas end."""

from wigeonspoke.core.quarantine.beginnings import (
    BEGINNING_SECONDS,
    Answer,
    BeginningTracker,
)
from wigeonspoke.core.quarantine.records import (
    CrashReport,
    PartReport,
    Refusal,
)
from wigeonspoke.core.quarantine.registry import PartRegistry
from wigeonspoke.core.quarantine.request_key import (
    is_request_key,
    request_key,
    service_of,
)
from wigeonspoke.core.quarantine.sound_parts import SoundParts
from wigeonspoke.core.quarantine.suspicion import PartSuspicion

__all__ = (
    'BEGINNING_SECONDS',
    'Answer',
    'BeginningTracker',
    'CrashReport',
    'PartRegistry',
    'PartReport',
    'PartSuspicion',
    'Refusal',
    'SoundParts',
    'is_request_key',
    'request_key',
    'service_of',
)
