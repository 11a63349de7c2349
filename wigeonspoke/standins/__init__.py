"""Stand-ins for engines, services and the platform.

They implement the real protocols on real sockets, log what they execute,
and can be made to fail.
"""

from wigeonspoke.standins.engine import StandInEngine
from wigeonspoke.standins.execution_log import ExecutionFindings, ExecutionLog
from wigeonspoke.standins.model import (
    StandInModel,
    expected_answer,
    expected_tokens,
)
from wigeonspoke.standins.platform import Fault, StandInPlatform
from wigeonspoke.standins.service import StandInService

__all__ = (
    'ExecutionFindings',
    'ExecutionLog',
    'Fault',
    'StandInEngine',
    'StandInModel',
    'StandInPlatform',
    'StandInService',
    'expected_answer',
    'expected_tokens',
)
