"""HTTP API for operators."""

import http
from collections.abc import Callable
from functools import partial

import msgspec
from returns.result import Success
from werkzeug.wrappers import Request, Response

from wigeonspoke.config import (
    AnswerError,
    ConfigStore,
    PublishError,
    PublishProblem,
    Questionnaire,
    read_answers,
)
from wigeonspoke.core.membership import MarkState
from wigeonspoke.core.routes import EndpointState
from wigeonspoke.node.admin_messages import (
    ActiveAnswers,
    ApplyRequest,
    ApplyResult,
    EndpointStatus,
    MarkRequest,
    NodeStatus,
    TimelinePage,
)
from wigeonspoke.node.config_sync import ConfigSync
from wigeonspoke.node.mark_sync import MarkSync
from wigeonspoke.node.runtime import Runtime
from wigeonspoke.observe import NodeMetrics
from wigeonspoke.webapp import (
    ApiError,
    HttpApp,
    JsonReply,
    authenticate,
    read_body,
    read_json,
)

_PUBLISH_STATUSES = {
    PublishProblem.CONFLICT: http.HTTPStatus.CONFLICT,
    PublishProblem.UNAVAILABLE: http.HTTPStatus.SERVICE_UNAVAILABLE,
    PublishProblem.UNCERTAIN: http.HTTPStatus.GATEWAY_TIMEOUT,
}
_MARK_STATES = {
    'drain': MarkState.DRAIN,
    'stop': MarkState.STOP,
    'activate': MarkState.ACTIVE,
}


class AdminApp(HttpApp):
    """Serves the status, marks, configuration and timeline of one node."""

    __slots__ = (
        'config_sync',
        'incarnation',
        'is_ready',
        'key_digest',
        'mark_sync',
        'metrics',
        'runtime',
        'store',
    )

    def __init__(
        self,
        runtime: Runtime,
        config_sync: ConfigSync,
        mark_sync: MarkSync,
        key_digest: str,
        incarnation: str,
        is_ready: Callable[[], bool],
    ) -> None:
        admin = '/admin/v1'
        marks = [
            (
                'POST',
                f'{admin}/endpoints/<endpoint>/{verb}',
                partial(self.post_mark, state),
            )
            for verb, state in _MARK_STATES.items()
        ]
        super().__init__(
            [
                ('GET', '/healthz', self.get_health),
                ('GET', '/readyz', self.get_ready),
                ('GET', '/metrics', self.show_metrics),
                ('GET', f'{admin}/status', self.get_status),
                ('GET', f'{admin}/config', self.get_config),
                ('GET', f'{admin}/timeline', self.get_timeline),
                ('GET', f'{admin}/questionnaire', self.get_questionnaire),
                ('PUT', f'{admin}/questionnaire', self.put_questionnaire),
                ('POST', f'{admin}/questionnaire/check', self.post_check),
                *marks,
            ]
        )
        self.runtime = runtime
        self.config_sync = config_sync
        self.mark_sync = mark_sync
        self.store: ConfigStore = config_sync.store
        self.key_digest = key_digest
        self.incarnation = incarnation
        self.is_ready = is_ready
        self.metrics = NodeMetrics(runtime.router)

    def get_health(self, request: Request) -> Response:
        """Answer a liveness check."""
        return JsonReply({'healthy': True})

    def get_ready(self, request: Request) -> Response:
        """Answer the load balancer's readiness check."""
        ready = self.is_ready()
        status = http.HTTPStatus.OK
        if not ready:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        generation = self.config_sync.generation
        return JsonReply({'ready': ready, 'generation': generation}, status)

    def show_metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        text = self.metrics.render()
        return Response(text.body, content_type=text.content_type)

    def get_status(self, request: Request) -> Response:
        """Return the state of this node and of its endpoints."""
        authenticate(request, self.key_digest)
        router = self.runtime.router
        status = NodeStatus(
            node=router.node,
            failure_domain=router.view.failure_domain,
            incarnation=self.incarnation,
            generation=router.view.generation,
            ready=self.is_ready(),
            store_reached=self.config_sync.store_reached,
            peers=tuple(sorted(router.view.peers.peers)),
            open_requests=len(router.generations.sessions),
            open_calls=len(router.calls.sessions),
            endpoints=tuple(
                map(self._endpoint_status, self._endpoints().values())
            ),
        )
        return JsonReply(status)

    def get_config(self, request: Request) -> Response:
        """Return the active configuration."""
        authenticate(request, self.key_digest)
        return JsonReply(self.runtime.view.configuration)

    def get_timeline(self, request: Request) -> Response:
        """Return the timeline of this process."""
        authenticate(request, self.key_digest)
        request_id = request.args.get('request', '')
        events = self.runtime.timeline.select(request_id)
        return JsonReply(TimelinePage(self.runtime.router.node, events))

    def get_questionnaire(self, request: Request) -> Response:
        """Return the active questionnaire answers and their history."""
        authenticate(request, self.key_digest)
        head_result = self.store.read_head()
        if not isinstance(head_result, Success):
            raise _store_unavailable()
        head = head_result.unwrap().head
        if not head.generation:
            return JsonReply(ActiveAnswers(0, ()))
        body = self.store.read_answers(head)
        if not isinstance(body, Success):
            raise _store_unavailable()
        answers = msgspec.json.decode(body.unwrap(), type=Questionnaire)
        return JsonReply(
            ActiveAnswers(head.generation, head.history, answers),
        )

    def put_questionnaire(self, request: Request) -> Response:
        """Publish answers if their base generation is still active."""
        authenticate(request, self.key_digest)
        body = read_json(request, ApplyRequest)
        answers = read_answers(body.answers.encode())
        if not isinstance(answers, Success):
            raise _invalid_answers(answers.failure())
        published = self.store.publish(
            answers.unwrap(),
            body.base,
            body.who,
        )
        if not isinstance(published, Success):
            raise _publish_error(published.failure())
        self.runtime.timeline.add('questionnaire-applied', body.who)
        self.config_sync.poll_once()
        return JsonReply(ApplyResult(published.unwrap().generation))

    def post_check(self, request: Request) -> Response:
        """Validate answers without publishing them; return all errors."""
        authenticate(request, self.key_digest)
        checked = read_answers(read_body(request))
        errors: tuple[AnswerError, ...] = ()
        if not isinstance(checked, Success):
            errors = checked.failure()
        return JsonReply(errors)

    def post_mark(
        self,
        state: MarkState,
        request: Request,
        endpoint: str,
    ) -> Response:
        """Set an endpoint's mark: drain, stop or activate."""
        authenticate(request, self.key_digest)
        body = read_json(request, MarkRequest)
        endpoint_state = self._endpoints().get(endpoint)
        if endpoint_state is None:
            raise ApiError(
                http.HTTPStatus.NOT_FOUND,
                'bad_request',
                'endpoint_not_found',
                f'endpoint {endpoint!r} does not exist',
            )
        version = self._mark_version(endpoint)
        expected_version = version if body.seen is None else body.seen
        if self.mark_sync.set_mark(endpoint, state, expected_version) is None:
            raise ApiError(
                http.HTTPStatus.CONFLICT,
                'conflict',
                'mark_changed',
                f'the mark has version {version}, not {expected_version}',
            )
        return JsonReply(self._endpoint_status(endpoint_state))

    def _endpoints(self) -> dict[str, EndpointState]:
        return self.runtime.view.registry.endpoints

    def _mark_version(self, endpoint: str) -> int:
        mark = self.mark_sync.marks.get(endpoint)
        return mark.version if mark else 0

    def _endpoint_status(self, state: EndpointState) -> EndpointStatus:
        view = self.runtime.view
        streams = state.streams + view.peers.streams_at(state.index)
        return EndpointStatus(
            name=state.name,
            failure_domain=state.failure_domain,
            mark=view.marks.state(state.name),
            mark_version=self._mark_version(state.name),
            health=state.health.state.value,
            reason=state.health.reason,
            streams=streams,
            empty=streams == 0,
        )


def _invalid_answers(errors: tuple[AnswerError, ...]) -> ApiError:
    return ApiError(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        'bad_request',
        'wrong_answers',
        '; '.join(error.describe() for error in errors),
    )


def _publish_error(error: PublishError) -> ApiError:
    return ApiError(
        _PUBLISH_STATUSES[error.problem],
        error.problem.value,
        f'publish_{error.problem.value}',
        f'generation {error.generation} is active',
    )


def _store_unavailable() -> ApiError:
    return ApiError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'unavailable',
        'store_unavailable',
        'the store is unavailable',
    )
