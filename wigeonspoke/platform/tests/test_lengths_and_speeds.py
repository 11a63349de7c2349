"""Decoding of the lengths of requests and of the speeds of engines."""

import json

import pytest

from wigeonspoke.core.chains import PromptPart
from wigeonspoke.platform.headers import decode_request
from wigeonspoke.platform.records import decode_configuration

ENGINE = {
    'layers': 80,
    'step_ms': 1.02,
    'per_seq_ms': 0.00918,
    'context_per_k': 0.0123,
    'read_per_s': 164000,
    'pairs_per_m': 0.199,
    'chunk': 512,
    'stride': 5,
    'usual': {'prompt': 775, 'answer': 221},
    'delays': [{'from': 'a', 'to': 'b', 'delay_ms': 4}],
    'link-mbps': 1000,
    'pipe-mbps': 10400,
    'act-bytes': 59000,
    'kv-capacity-tokens': 90000,
}


def _decode_profile(**changes):
    engine = {
        name: entry
        for name, entry in (ENGINE | changes).items()
        if entry is not None
    }
    body = {'version': 1, 'services': [{'name': 'drafting', 'engine': engine}]}
    configuration = decode_configuration(json.dumps(body).encode()).unwrap()
    return configuration.services[0].engine


# A count in a wrong unit or field makes estimates wrong without an error.
@pytest.mark.parametrize(
    ('headers', 'lengths', 'parts'),
    [
        ({'Token-Usage': '775, 400', 'Length-Hint': '221'}, (775, 400, 221), 0),
        ({'Token-Usage': '775'}, (775, 0, 0), 0),
        ({'Token-Usage': ',400', 'Length-Hint': '-3'}, (0, 400, 0), 0),
        # Python raises an error at a number of 5,000 digits.
        ({'Token-Usage': '9' * 5000, 'Length-Hint': '1e9'}, (0, 0, 0), 0),
        ({'Prompt-Prefix': 'Sys:40,own:700'}, (0, 0, 0), 2),
        ({'Prompt-Prefix': 'Sys:40,own'}, (0, 0, 0), 1),
        ({'Prompt-Prefix': 'Sys,own:700'}, (0, 0, 0), 0),
    ],
)
def test_lengths_of_a_request_are_decoded(headers, lengths, parts):
    request = decode_request('POST', '/', tuple(headers.items()))
    assert lengths == (
        request.prompt_tokens,
        request.output_tokens,
        request.length_hint,
    )
    expected = (PromptPart('sys', 40), PromptPart('own', 700))
    assert request.prompt_parts == expected[:parts]


def test_speeds_are_converted_to_seconds_and_tokens():
    speeds = _decode_profile().speeds
    converted = {
        'step_seconds': 0.00102,
        'request_step_seconds': 0.00000918,
        'context_token_seconds': 1.23e-8,
        'read_token_seconds': 1 / 164000,
        'token_pair_seconds': 1.99e-10,
        'link_token_seconds': 0.000472,
        'shared_link_token_seconds': 59000 * 8 / 10.4e9,
        'chunk_tokens': 512,
        'steps_per_pass': 5,
        'prompt_tokens': 775,
        'answer_tokens': 221,
        'token_capacity': 90000,
    }
    for name, expected in converted.items():
        assert getattr(speeds, name) == pytest.approx(expected), name
    delay = pytest.approx(0.004)
    assert speeds.delay_seconds('a', 'b') == delay
    assert speeds.delay_seconds('b', 'a') == delay
    assert not speeds.delay_seconds('a', 'a')


# A deployment without usable speeds must be served as before.
@pytest.mark.parametrize(
    'changes',
    [
        {'step_ms': None},
        {'read_per_s': 0},
        {'step_ms': -1},
        {'chunk': 'many'},
        {'delays': [{'from': 'a'}]},
    ],
)
def test_unusable_speeds_are_left_out(changes):
    profile = _decode_profile(**changes)
    assert profile.layers == 80
    assert profile.speeds is None
