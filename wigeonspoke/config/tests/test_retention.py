"""The time for which engines keep prompts, as answered in a questionnaire."""

import msgspec
import pytest

from wigeonspoke.config.generate import generate_configuration
from wigeonspoke.config.questionnaire import read_answers


def test_retention_is_a_setting_of_the_model():
    answers = {
        'deployment': 'd',
        'region': 'r',
        'failure_domains': ['a'],
        'models': [{'name': 'm', 'layers': 1, 'prompt_retention_seconds': 30}],
        'accelerators': [
            {'name': 'k', 'step_seconds': 1, 'max_batch': 1, 'max_streams': 1}
        ],
        'engines': [
            {
                'model': 'm',
                'failure_domain': 'a',
                'accelerator': 'k',
                'first_layer': 0,
                'end_layer': 1,
                'addresses': ['10.0.0.1:1'],
            }
        ],
    }
    read = read_answers(msgspec.json.encode(answers)).unwrap()
    configuration = generate_configuration(read, 1)
    model = configuration.models[0]
    assert model.prompt_retention_seconds == pytest.approx(30)
    answers['models'][0]['prompt_retention_seconds'] = -1
    errors = read_answers(msgspec.json.encode(answers)).failure()
    assert errors[0].path == 'models[0].prompt_retention_seconds'
