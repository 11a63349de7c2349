"""Descriptions of changed answers."""

import msgspec
import pytest

from wigeonspoke.config import Questionnaire, describe_changes
from wigeonspoke.config.questionnaire import AccountAnswer, ModelAnswer

DIGEST = '0' * 64
BEFORE = Questionnaire(
    deployment='d',
    region='r',
    failure_domains=('a',),
    models=(ModelAnswer('m', 4),),
    accounts=(AccountAnswer('x', DIGEST), AccountAnswer('y', DIGEST)),
)


def _revised(**answers):
    return msgspec.structs.replace(BEFORE, **answers)


@pytest.mark.parametrize(
    ('after', 'expected_changes'),
    [
        (BEFORE, []),
        (
            _revised(accounts=BEFORE.accounts[::-1]),
            [],
        ),
        (
            _revised(accounts=(AccountAnswer('x', DIGEST, 2.0),)),
            [
                'accounts.[x].weight: 1.0 becomes 2.0',
                'accounts.[y]: removed',
            ],
        ),
        (
            _revised(models=(ModelAnswer('m', 4), ModelAnswer('n', 2))),
            ['models.[n]: added'],
        ),
        (
            _revised(failure_domains=('a', 'b')),
            ['failure_domains: a becomes a, b'],
        ),
        (
            _revised(models=()),
            ['models.[m]: removed'],
        ),
    ],
)
def test_changed_answers(after, expected_changes):
    assert describe_changes(BEFORE, after) == expected_changes


def test_first_answers_are_all_new():
    changes = describe_changes(None, BEFORE)
    assert 'deployment: d added' in changes
    assert 'accounts.[x]: added' in changes
