"""Callers' traffic, with a check of every answer."""

from wigeonspoke.load.balancer import Balancer
from wigeonspoke.load.caller import Caller, Prompt
from wigeonspoke.load.driver import LoadDriver, LoadPlan, LoadSummary
from wigeonspoke.load.records import AnswerRecord, CallRecord, Verdict

__all__ = (
    'AnswerRecord',
    'Balancer',
    'CallRecord',
    'Caller',
    'LoadDriver',
    'LoadPlan',
    'LoadSummary',
    'Prompt',
    'Verdict',
)
