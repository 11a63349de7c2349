"""Readable descriptions of the differences between questionnaires."""

from collections.abc import Iterable
from typing import Any

import msgspec

from wigeonspoke.config.questionnaire import Questionnaire

AnswerTable = dict[str, Any]
IDENTIFYING_KEYS = ('name', 'model', 'method', 'one', 'address')


def describe_changes(
    before: Questionnaire | None,
    after: Questionnaire,
) -> list[str]:
    """Return one line for each added, removed or changed answer."""
    old = msgspec.to_builtins(before) if before else {}
    return sorted(_compare('', old, msgspec.to_builtins(after)))


def _compare(path: str, old: Any, new: Any) -> Iterable[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_tables(path, old, new)
    elif _is_table_list(old) or _is_table_list(new):
        yield from _compare_tables(
            path, _index_by_identity(old), _index_by_identity(new)
        )
    elif old != new:
        yield f'{path}: {_format_answer(old)} becomes {_format_answer(new)}'


def _compare_tables(
    path: str, old: AnswerTable, new: AnswerTable
) -> Iterable[str]:
    for name in old.keys() | new.keys():
        answer_path = f'{path}.{name}' if path else name
        if name not in old:
            yield from _describe_addition(answer_path, new[name])
        elif name not in new:
            yield f'{answer_path}: removed'
        else:
            yield from _compare(answer_path, old[name], new[name])


def _describe_addition(path: str, new: Any) -> Iterable[str]:
    if _is_table_list(new):
        yield from _compare_tables(path, {}, _index_by_identity(new))
    elif isinstance(new, dict):
        yield f'{path}: added'
    else:
        yield f'{path}: {_format_answer(new)} added'


def _is_table_list(answer: Any) -> bool:
    return bool(
        isinstance(answer, list | tuple)
        and answer
        and isinstance(answer[0], dict),
    )


def _index_by_identity(entries: Any) -> AnswerTable:
    """Index entries by the values that identify them, not by position.

    Reordered entries thus count as unchanged.
    """
    indexed: AnswerTable = {}
    for entry in entries or ():
        parts = [str(entry[key]) for key in IDENTIFYING_KEYS if key in entry]
        parts.extend(
            str(entry[key])
            for key in ('failure_domain', 'first_layer', 'path', 'other')
            if key in entry
        )
        indexed[f'[{" ".join(parts)}]'] = entry
    return indexed


def _format_answer(answer: Any) -> str:
    if isinstance(answer, list | tuple):
        return ', '.join(map(str, answer)) or 'none'
    return str(answer)
