"""Decisions about requests that a node sends on through a peer."""

from wigeonspoke.core.relay.handover import (
    Handover,
    PeerAnswer,
    RunCounts,
    may_hand_over,
    outcome_of,
    plan_handover,
    settle,
)
from wigeonspoke.core.relay.traffic import RelayTraffic
from wigeonspoke.core.relay.ways import Way, choose_way

__all__ = (
    'Handover',
    'PeerAnswer',
    'RelayTraffic',
    'RunCounts',
    'Way',
    'choose_way',
    'may_hand_over',
    'outcome_of',
    'plan_handover',
    'settle',
)
