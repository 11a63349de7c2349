"""The command ``wigeonspoke explain``."""

import sys
from collections.abc import Iterator
from urllib.parse import urlencode

import click
import msgspec
from returns.result import Success

from wigeonspoke.cli.admin_client import EXIT_NO_REPLY, EXIT_REFUSED
from wigeonspoke.core.explanation import (
    Candidate,
    Explanation,
    Finding,
    ServiceExplanation,
)
from wigeonspoke.ingress.explain import EXPLAIN_PATH
from wigeonspoke.transport import HttpClient

TIMEOUT_SECONDS = 5.0


class TokenCounts(click.ParamType):
    """Tokens of prompt and output, separated by a comma."""

    name = 'N,M'

    def convert(
        self,
        counts: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[int, int]:
        """Return both counts, or fail with a message."""
        if isinstance(counts, tuple):
            return counts
        prompt, _, output = str(counts).partition(',')
        if not prompt.isdecimal() or not output.isdecimal():
            self.fail('not two numbers of tokens, as in 775,221', param, ctx)
        return int(prompt), int(output)


@click.command()
@click.option(
    '--node', required=True, help="HOST:PORT of a node's metrics listener."
)
@click.option('--host', required=True, help='Host of the request.')
@click.option('--path', required=True, help='Path of the request.')
@click.option('--account', default='', help='Name of the client account.')
@click.option(
    '--tokens',
    type=TokenCounts(),
    default=(0, 0),
    help='Tokens of the prompt and of the output.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def explain(
    node: str,
    host: str,
    path: str,
    account: str,
    tokens: tuple[int, int],
    as_json: bool,
) -> None:
    """Show where a request would go now and why, without sending it.

    \b
    Example:
      wigeonspoke explain --node 127.0.0.1:9100 --host shop.example \\
        --path /draft/x --account acme --tokens 775,221
    """
    query = urlencode(
        {
            'host': host,
            'path': path,
            'account': account,
            'prompt_tokens': tokens[0],
            'output_tokens': tokens[1],
        }
    )
    reply = HttpClient().get(node, f'{EXPLAIN_PATH}?{query}', TIMEOUT_SECONDS)
    if not isinstance(reply, Success):
        click.echo(f'{node}: {reply.failure().reason.value}', err=True)
        sys.exit(EXIT_NO_REPLY)
    response = reply.unwrap()
    if not response.is_ok:
        click.echo(f'{node}: {response.body.decode()}', err=True)
        sys.exit(EXIT_REFUSED)
    if as_json:
        click.echo(msgspec.json.format(response.body))
        return
    explanation = msgspec.json.decode(response.body, type=Explanation)
    for text in describe_explanation(explanation):
        click.echo(text)


def describe_explanation(explanation: Explanation) -> Iterator[str]:
    """Yield the lines of an explanation."""
    yield (
        f'{explanation.node} in {explanation.failure_domain}, '
        f'configuration {explanation.version}'
    )
    yield _describe_knowledge(explanation)
    if explanation.refusal:
        yield f'refused: {explanation.refusal}'
        return
    yield (
        f'rule {explanation.rule}, {explanation.kind}, '
        f'priority {explanation.rank}'
    )
    for service in explanation.services:
        yield from _describe_service(service)


def _describe_knowledge(explanation: Explanation) -> str:
    registry = 'registry not read'
    if explanation.registry_age is not None:
        registry = f'registry read {explanation.registry_age:.1f} s ago'
    ages = explanation.peer_ages.values()
    if not ages:
        return f'{registry}, no peers'
    return f'{registry}, {len(ages)} peers, the oldest news {max(ages):.1f} s'


def _describe_service(service: ServiceExplanation) -> Iterator[str]:
    chosen = service.chosen or 'nothing that is free now'
    yield f'{service.service} ({service.share:.0%} of requests): to {chosen}'
    if service.reserved:
        yield f'  reserved for urgent ranks: {service.reserved:.1f} a chain'
    for candidate in service.candidates:
        mark = '*' if candidate.endpoint_id == service.chosen else ' '
        yield f'{mark} {_describe_candidate(candidate)}'
    for unused in service.left_out:
        yield f'  in no chain: {_describe_candidate(unused)}'


def _describe_candidate(candidate: Candidate) -> str:
    parts = [
        f'{candidate.endpoint_id} in {candidate.failure_domain}',
        f'{candidate.own} own and {candidate.peers} of peers '
        f'on capacity for {candidate.capacity:g}',
    ]
    if candidate.news_age is not None:
        parts.append(f'news {candidate.news_age:.1f} s old')
    if candidate.expected_first_event_seconds is not None:
        parts.append(
            f'answers in {candidate.expected_first_event_seconds:.3f} s'
        )
    if candidate.expected_gap_seconds is not None:
        parts.append(f'gap {candidate.expected_gap_seconds:.3f} s')
    parts.extend(map(_describe_finding, candidate.findings))
    return ', '.join(parts)


def _describe_finding(finding: Finding) -> str:
    text = str(finding.reason)
    if finding.rules_out:
        text = f'NOT: {text}'
    if finding.detail:
        text = f'{text} ({finding.detail})'
    if finding.ends_in is not None:
        text = f'{text} for {finding.ends_in:.1f} s'
    if finding.age is not None:
        text = f'{text}, known for {finding.age:.1f} s'
    return text
