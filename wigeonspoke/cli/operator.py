"""Commands of operators: status, endpoints, questionnaire, time line."""

import sys
from importlib import resources
from pathlib import Path

import click
import msgspec
from returns.result import Success

from wigeonspoke.cli.admin_client import (
    NO_ANSWER,
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

WRONG_ANSWERS = 1
AnswersFile = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command()
@admin_options
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def status(client: AdminClient, as_json: bool) -> None:
    """Show a node's state: peers, configuration and endpoints.

    \b
    Example:
      wigeonspoke status --admin 127.0.0.1:8001 --admin-key ...
    """
    found = client.ask('GET', '/status', kind=NodeStatus)
    if as_json:
        click.echo(msgspec.json.encode(found))
        return
    ready = 'ready' if found.ready else 'not ready'
    store = 'reached' if found.store_reached else 'not reached'
    click.echo(f'{found.node} in {found.failure_domain}: {ready}')
    click.echo(f'generation {found.generation}, store {store}')
    click.echo(f'peers: {", ".join(found.peers) or "none"}')
    click.echo(
        f'{found.open_requests} generations and {found.open_calls} calls '
        'in progress',
    )
    for endpoint in found.endpoints:
        _print_endpoint(endpoint)


@click.group()
def endpoints() -> None:
    """List endpoints, drain or stop them, give them work again."""


@endpoints.command('list')
@admin_options
def list_endpoints(client: AdminClient) -> None:
    """List all endpoints as a node sees them."""
    found = client.ask('GET', '/status', kind=NodeStatus)
    for endpoint in found.endpoints:
        _print_endpoint(endpoint)


def _mark_command(verb: str, text: str) -> click.Command:
    @click.argument('endpoint')
    @click.option('--seen', type=int, help='Version of the mark last seen.')
    @admin_options
    def mark(client: AdminClient, endpoint: str, seen: int | None) -> None:
        path = f'/endpoints/{endpoint}/{verb}'
        asked = MarkRequest(seen)
        _print_endpoint(client.ask('POST', path, asked, EndpointStatus))

    return click.command(verb, help=text)(mark)


endpoints.add_command(_mark_command('drain', 'Give it no new work.'))
endpoints.add_command(_mark_command('stop', 'Drain it for good.'))
endpoints.add_command(_mark_command('activate', 'Give it work again.'))


@click.group()
def questionnaire() -> None:
    """Write, check and apply a questionnaire's answers."""


@questionnaire.command()
def new() -> None:
    """Print a questionnaire with example answers to start from."""
    example = resources.files('wigeonspoke.demo').joinpath('consorcio.toml')
    click.echo(example.read_text())


@questionnaire.command()
@click.argument('answers', type=AnswersFile)
def check(answers: Path) -> None:
    """Check answers and show all errors, each with its path."""
    checked = read_answers(answers.read_bytes())
    if isinstance(checked, Success):
        click.echo('the answers are accepted')
        return
    _print_errors(checked.failure())
    sys.exit(WRONG_ANSWERS)


@questionnaire.command()
@click.argument('answers', type=AnswersFile)
@click.option('--base', type=int, required=True, help='Generation in force.')
@click.option('--who', default='operator', show_default=True)
@admin_options
def apply(client: AdminClient, answers: Path, base: int, who: str) -> None:
    """Put answers in force if generation BASE still is.

    \b
    Example:
      wigeonspoke questionnaire apply answers.toml --base 0 \\
        --admin 127.0.0.1:8001 --admin-key ...
    """
    asked = ApplyRequest(base, answers.read_text(), who)
    applied = client.ask('PUT', '/questionnaire', asked, ApplyResult)
    click.echo(f'generation {applied.generation} is in force')


@questionnaire.command()
@admin_options
def history(client: AdminClient) -> None:
    """Show the latest revisions and who made them."""
    found = client.ask('GET', '/questionnaire', kind=ActiveAnswers)
    for revision in found.history:
        click.echo(f'{revision.generation} {revision.who}')


@questionnaire.command()
@admin_options
def show(client: AdminClient) -> None:
    """Print the answers in force as JSON, to be revised and applied."""
    found = client.ask('GET', '/questionnaire', kind=ActiveAnswers)
    click.echo(msgspec.json.format(msgspec.json.encode(found.answers)))
    click.echo(f'generation {found.generation}', err=True)


@questionnaire.command()
@click.argument('answers', type=AnswersFile)
@admin_options
def plan(client: AdminClient, answers: Path) -> None:
    """Show in words what would change, and the generation to base it on."""
    checked = read_answers(answers.read_bytes())
    if not isinstance(checked, Success):
        _print_errors(checked.failure())
        sys.exit(WRONG_ANSWERS)
    found = client.ask('GET', '/questionnaire', kind=ActiveAnswers)
    changes = describe_changes(found.answers, checked.unwrap())
    for change in changes or ['nothing changes']:
        click.echo(change)
    click.echo(f'apply with --base {found.generation}')


@click.command()
@click.option('--admin', 'nodes', multiple=True, required=True)
@click.option('--admin-key', required=True, envvar='WIGEONSPOKE_ADMIN_KEY')
@click.option('--request', 'request_id', default='', help='Only this one.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON lines.')
def timeline(
    nodes: tuple[str, ...],
    admin_key: str,
    request_id: str,
    as_json: bool,
) -> None:
    """Merge the time lines of several nodes in causal order.

    A node without an answer is named and left out.

    \b
    Example:
      wigeonspoke timeline --admin 127.0.0.1:8001 --admin 127.0.0.1:8002
    """
    path = f'/timeline?request={request_id}'
    pages = [
        AdminClient(node, admin_key).try_to_ask(path, TimelinePage)
        for node in nodes
    ]
    if not any(pages):
        sys.exit(NO_ANSWER)
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
    found = ', '.join(filter(None, parts))
    click.echo(f'{endpoint.name} in {endpoint.failure_domain}: {found}')


def _print_errors(errors: tuple[AnswerError, ...]) -> None:
    for error in errors:
        click.echo(error.describe(), err=True)
