"""Validation of answers, and the configuration generated from them."""

import tomllib

import msgspec
import pytest
from returns.result import Success

from wigeonspoke.config import generate_configuration, read_answers
from wigeonspoke.demo.local_deployment import load_document

DEPLOYMENTS = ('consorcio.toml', 'mareas.toml')


def _document(name='consorcio.toml'):
    document = load_document(name)
    port = 9000
    for entry in (*document['engines'], *document['services'][0]['replicas']):
        port += 1
        address = f'10.0.0.1:{port}'
        if 'addresses' in entry:
            entry['addresses'] = [address]
        else:
            entry['address'] = address
    return document


def _errors(document):
    checked = read_answers(msgspec.json.encode(document))
    if isinstance(checked, Success):
        return []
    return [error.path for error in checked.failure()]


def _set(document, path, answer):
    *parents, last = path
    for part in parents:
        document = document[part]
    document[last] = answer


@pytest.mark.parametrize(
    ('path', 'answer', 'error'),
    [
        (('deployment',), 1, 'deployment'),
        (('deployment',), 'Not A Name', 'deployment'),
        (('surprise',), 1, 'surprise'),
        (('failure_domains',), [], 'failure_domains'),
        (('models',), {}, 'models'),
        (('models', 0, 'layers'), 0, 'models[0].layers'),
        (('models', 0, 'layers'), 30, 'models[0].layers'),
        (('models', 0, 'colour'), 'red', 'models[0]'),
        (('engines', 1, 'model'), 'other', 'engines[1].model'),
        (('engines', 1, 'accelerator'), 'x', 'engines[1].accelerator'),
        (('engines', 1, 'failure_domain'), 'x', 'engines[1].failure_domain'),
        (('engines', 1, 'first_layer'), 24, 'engines[1].end_layer'),
        (('engines', 1, 'addresses'), ['host:1'], 'engines[1].addresses[...]'),
        (('accounts', 2, 'key_digest'), 'short', 'accounts[2].key_digest'),
        (('accounts', 2, 'weight'), 0, 'accounts[2].weight'),
        (('accounts', 2, 'name'), 'packer-1', 'accounts'),
        (('links', 0, 'other'), 'nowhere', 'links[0].other'),
        (
            ('services', 0, 'operations', 0, 'method'),
            'PUSH',
            'services[0].operations[0].method',
        ),
        (
            ('services', 0, 'replicas', 2, 'failure_domain'),
            'nowhere',
            'services[0].replicas[2].failure_domain',
        ),
    ],
)
def test_error_has_the_path_of_its_answer(path, answer, error):
    document = _document()
    _set(document, path, answer)
    error_paths = _errors(document)
    normalised = [name.replace('[0]', '[...]') for name in error_paths]
    assert error in error_paths or error in normalised


def test_all_errors_are_reported_together():
    document = _document()
    _set(document, ('models', 0, 'layers'), 0)
    _set(document, ('accounts', 1, 'weight'), -1)
    _set(document, ('region',), '')
    error_paths = _errors(document)
    assert set(error_paths) == {
        'models[0].layers',
        'accounts[1].weight',
        'region',
    }


@pytest.mark.parametrize('text', [b'= nonsense', b'{"a":', b'[1]', b'\xff'])
def test_malformed_document_is_an_error(text):
    assert read_answers(text).failure()[0].path


def _generated(document):
    answers = read_answers(msgspec.json.encode(document)).unwrap()
    return msgspec.json.encode(generate_configuration(answers, 1))


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_order_of_entries_does_not_matter(name):
    document = _document(name)
    reversed_document = {
        section: entries[::-1] if isinstance(entries, list) else entries
        for section, entries in document.items()
    }
    assert _generated(reversed_document) == _generated(document)


@pytest.mark.parametrize('name', DEPLOYMENTS)
def test_generated_configuration_matches_golden_file(name, request):
    path = request.path.parent / 'golden' / name.replace('toml', 'json')
    generated = msgspec.json.format(_generated(_document(name)))
    assert path.read_bytes() == generated


def test_toml_and_json_give_the_same_answers():
    text = b'deployment = "d"\nregion = "r"\nfailure_domains = ["a"]\n'
    from_toml = read_answers(text).unwrap()
    as_json = msgspec.json.encode(tomllib.loads(text.decode()))
    assert read_answers(as_json).unwrap() == from_toml
