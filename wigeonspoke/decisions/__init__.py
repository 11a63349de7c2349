"""The log of decisions that a process writes for those on call."""

from wigeonspoke.decisions.decision_log import (
    DecisionLog,
    send_decisions_to_stdout,
)

__all__ = ('DecisionLog', 'send_decisions_to_stdout')
