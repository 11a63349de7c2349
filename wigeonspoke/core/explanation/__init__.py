"""Where a request would go now, and why, without sending it."""

from wigeonspoke.core.explanation.chains import ChainExplainer, RankAdmission
from wigeonspoke.core.explanation.records import (
    Candidate,
    Explanation,
    Finding,
    FindingReason,
    RequestQuestion,
    ServiceExplanation,
)
from wigeonspoke.core.explanation.replicas import ReplicaExplainer

__all__ = (
    'Candidate',
    'ChainExplainer',
    'Explanation',
    'Finding',
    'FindingReason',
    'RankAdmission',
    'ReplicaExplainer',
    'RequestQuestion',
    'ServiceExplanation',
)
