"""The structured log that explains the decisions of a node."""

from wigeonspoke.decisions.decision_log import (
    DecisionLog,
    send_decisions_to_stdout,
)

__all__ = ('DecisionLog', 'send_decisions_to_stdout')
