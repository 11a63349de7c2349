"""A load generator that checks every answer."""

from wigeonspoke.load.balancer import Balancer
from wigeonspoke.load.caller import Caller, PromptRequest
from wigeonspoke.load.driver import LoadDriver, LoadPlan, LoadSummary
from wigeonspoke.load.records import AnswerRecord, AnswerResult, CallRecord

__all__ = (
    'AnswerRecord',
    'AnswerResult',
    'Balancer',
    'CallRecord',
    'Caller',
    'LoadDriver',
    'LoadPlan',
    'LoadSummary',
    'PromptRequest',
)
