"""Commands for operators: status, endpoints, questionnaire, timeline."""

import sys
from importlib import resources
from pathlib import Path

import click
import msgspec
from returns.result import Success

from wigeonspoke.cli.admin_client import (
    EXIT_NO_REPLY,
    AdminClient,
    admin_options,
)
from wigeonspoke.config import AnswerError, describe_changes, read_answers
from wigeonspoke.node.admin_messages import (
    ActiveAnswers,
    ApplyRequest,
    ApplyResult,
    EndpointStatus,
    MarkRequest,
    NodeStatus,
    TimelinePage,
)
from wigeonspoke.observe import merge_events

EXIT_INVALID_ANSWERS = 1
AnswersFile = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@admin_options
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def status(client: AdminClient, as_json: bool) -> None:
    """Show the state of a node: peers, configuration and endpoints.

    \b
    Example:
      wigeonspoke status --admin 127.0.0.1:8001 --admin-key ...
    """
    current = client.request('GET', '/status', reply_type=NodeStatus)
    if as_json:
        click.echo(msgspec.json.encode(current))
        return
    ready = 'ready' if current.ready else 'not ready'
    store = 'reached' if current.store_reached else 'not reached'
    click.echo(f'{current.node} in {current.failure_domain}: {ready}')
    click.echo(f'generation {current.generation}, store {store}')
    click.echo(f'peers: {", ".join(current.peers) or "none"}')
    click.echo(
        f'{current.open_requests} generations and {current.open_calls} calls '
        'in progress',
    )
    for endpoint in current.endpoints:
        _print_endpoint(endpoint)


@click.group()
def endpoints() -> None:
    """List, drain, stop and reactivate endpoints."""


@endpoints.command('list')
@admin_options
def list_endpoints(client: AdminClient) -> None:
    """List all endpoints as a node sees them."""
    current = client.request('GET', '/status', reply_type=NodeStatus)
    for endpoint in current.endpoints:
        _print_endpoint(endpoint)


def _create_mark_command(verb: str, help_text: str) -> click.Command:
    @click.argument('endpoint')
    @click.option('--seen', type=int, help='Version of the last known mark.')
    @admin_options
    def mark(client: AdminClient, endpoint: str, seen: int | None) -> None:
        path = f'/endpoints/{endpoint}/{verb}'
        request = MarkRequest(seen)
        _print_endpoint(client.request('POST', path, request, EndpointStatus))

    return click.command(verb, help=help_text)(mark)


endpoints.add_command(
    _create_mark_command('drain', 'Send an endpoint no new work.')
)
endpoints.add_command(
    _create_mark_command('stop', 'Drain an endpoint permanently.')
)
endpoints.add_command(
    _create_mark_command('activate', 'Send an endpoint new work again.')
)


@click.group()
def questionnaire() -> None:
    """Create, check and apply the answers to the questionnaire."""


@questionnaire.command()
def new() -> None:
    """Print a questionnaire with example answers to start from."""
    example = resources.files('wigeonspoke.demo').joinpath('consorcio.toml')
    click.echo(example.read_text())


@questionnaire.command()
@click.argument('answers', type=AnswersFile)
def check(answers: Path) -> None:
    """Check answers and print all errors, each with its path."""
    parsed = read_answers(answers.read_bytes())
    if isinstance(parsed, Success):
        click.echo('the answers are valid')
        return
    _print_errors(parsed.failure())
    sys.exit(EXIT_INVALID_ANSWERS)


@questionnaire.command()
@click.argument('answers', type=AnswersFile)
@click.option(
    '--base',
    type=int,
    required=True,
    help='Generation that the answers replace.',
)
@click.option('--who', default='operator', show_default=True)
@admin_options
def apply(client: AdminClient, answers: Path, base: int, who: str) -> None:
    """Apply answers if generation BASE is still in force.

    \b
    Example:
      wigeonspoke questionnaire apply answers.toml --base 0 \\
        --admin 127.0.0.1:8001 --admin-key ...
    """
    request = ApplyRequest(base, answers.read_text(), who)
    applied = client.request('PUT', '/questionnaire', request, ApplyResult)
    click.echo(f'generation {applied.generation} is in force')


@questionnaire.command()
@admin_options
def history(client: AdminClient) -> None:
    """Show the latest revisions and their authors."""
    current = client.request('GET', '/questionnaire', reply_type=ActiveAnswers)
    for revision in current.history:
        click.echo(f'{revision.generation} {revision.who}')


@questionnaire.command()
@admin_options
def show(client: AdminClient) -> None:
    """Print the answers in force as JSON, for editing and applying."""
    current = client.request('GET', '/questionnaire', reply_type=ActiveAnswers)
    click.echo(msgspec.json.format(msgspec.json.encode(current.answers)))
    click.echo(f'generation {current.generation}', err=True)


@questionnaire.command()
@click.argument('answers', type=AnswersFile)
@admin_options
def plan(client: AdminClient, answers: Path) -> None:
    """Describe the changes that answers would make, and their --base."""
    parsed = read_answers(answers.read_bytes())
    if not isinstance(parsed, Success):
        _print_errors(parsed.failure())
        sys.exit(EXIT_INVALID_ANSWERS)
    current = client.request('GET', '/questionnaire', reply_type=ActiveAnswers)
    changes = describe_changes(current.answers, parsed.unwrap())
    for change in changes or ['no changes']:
        click.echo(change)
    click.echo(f'apply with --base {current.generation}')


@click.command()
@click.option('--admin', 'nodes', multiple=True, required=True)
@click.option('--admin-key', required=True, envvar='WIGEONSPOKE_ADMIN_KEY')
@click.option(
    '--request',
    'request_id',
    default='',
    help='Only the events of this request.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
def timeline(
    nodes: tuple[str, ...],
    admin_key: str,
    request_id: str,
    as_json: bool,
) -> None:
    """Merge the timelines of several nodes in causal order.

    Nodes that do not reply are reported and skipped.

    \b
    Example:
      wigeonspoke timeline --admin 127.0.0.1:8001 --admin 127.0.0.1:8002
    """
    path = f'/timeline?request={request_id}'
    pages = [
        AdminClient(node, admin_key).try_get(path, TimelinePage)
        for node in nodes
    ]
    if not any(pages):
        sys.exit(EXIT_NO_REPLY)
    for event in merge_events(page.events for page in pages if page):
        if as_json:
            click.echo(msgspec.json.encode(event))
            continue
        click.echo(
            f'{event.at.milliseconds}.{event.at.counter} {event.node} '
            f'{event.kind} {event.peer} {event.request_id} {event.detail}',
        )


def _print_endpoint(endpoint: EndpointStatus) -> None:
    parts = [
        f'{endpoint.mark.value} (version {endpoint.mark_version})',
        endpoint.health,
        endpoint.reason,
        'empty' if endpoint.empty else f'{endpoint.streams} in progress',
    ]
    details = ', '.join(filter(None, parts))
    click.echo(f'{endpoint.name} in {endpoint.failure_domain}: {details}')


def _print_errors(errors: tuple[AnswerError, ...]) -> None:
    for error in errors:
        click.echo(error.describe(), err=True)
