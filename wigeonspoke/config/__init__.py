"""Questionnaires, and the configurations generated from them."""

from wigeonspoke.config.difference import describe_changes
from wigeonspoke.config.generate import generate_configuration
from wigeonspoke.config.publisher import (
    ConfigHead,
    ConfigStore,
    PublishError,
    PublishProblem,
    Revision,
)
from wigeonspoke.config.questionnaire import (
    AnswerError,
    Questionnaire,
    read_answers,
)

__all__ = (
    'AnswerError',
    'ConfigHead',
    'ConfigStore',
    'PublishError',
    'PublishProblem',
    'Questionnaire',
    'Revision',
    'describe_changes',
    'generate_configuration',
    'read_answers',
)
