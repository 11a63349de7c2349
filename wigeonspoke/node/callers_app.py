"""HTTP API for callers: models, completions, chats and service calls."""

import hashlib
import http
import secrets

from werkzeug.wrappers import Request, Response

from wigeonspoke.core.actions import FinishCall
from wigeonspoke.core.calls.session import find_operation
from wigeonspoke.core.claims import ClaimAnswer, claim_key
from wigeonspoke.core.deployment import Account, Model, Operation
from wigeonspoke.core.events import CallRequested, GenerationRequested
from wigeonspoke.endpoints import ServiceRequest
from wigeonspoke.node.caller_watch import CallerDisconnected, CallerWatch
from wigeonspoke.node.openai_messages import (
    ChatMessage,
    ChatRequest,
    CompletionRequest,
    ModelEntry,
    ModelList,
)
from wigeonspoke.node.outcome_replies import REQUEST_ID_HEADER, outcome_reply
from wigeonspoke.node.responses import (
    CHAT,
    COMPLETION,
    ResponseFormat,
    ResponsePart,
    ResponseWriter,
)
from wigeonspoke.node.runtime import PendingCall, RequestIdGenerator, Runtime
from wigeonspoke.node.tokenizer import Tokenizer
from wigeonspoke.webapp import (
    ApiError,
    HttpApp,
    JsonReply,
    bearer_key,
    key_digest,
    read_body,
    read_json,
)

EVENT_STREAM_TYPE = 'text/event-stream'
CLIENT_CLOSED_REQUEST = 499
MAX_IDENTITY_LENGTH = 256
CLAIM_TOKEN_BYTES = 16


class CallersApp(HttpApp):
    """Authenticates and validates requests and passes them to the runtime."""

    __slots__ = ('request_ids', 'runtime', 'tokenizer')

    def __init__(
        self,
        runtime: Runtime,
        request_ids: RequestIdGenerator,
        tokenizer: Tokenizer,
    ) -> None:
        services_rule = '/v1/services/<service>/<path:path>'
        methods = ('GET', 'POST', 'PUT', 'DELETE')
        super().__init__(
            [
                ('GET', '/v1/models', self.get_models),
                ('POST', '/v1/completions', self.post_completion),
                ('POST', '/v1/chat/completions', self.post_chat),
                ('GET', '/v1/outcomes/<service>/<key>', self.get_outcome),
                *(
                    (method, services_rule, self.call_service)
                    for method in methods
                ),
            ]
        )
        self.runtime = runtime
        self.request_ids = request_ids
        self.tokenizer = tokenizer

    def get_models(self, request: Request) -> Response:
        """List the models of the active configuration."""
        self._authenticate(request)
        models = self.runtime.view.models
        return JsonReply(ModelList(tuple(map(ModelEntry, sorted(models)))))

    def post_completion(self, request: Request) -> Response:
        """Generate a completion of a prompt."""
        account = self._authenticate(request)
        body = read_json(request, CompletionRequest)
        event = self._generation_event(
            account,
            body,
            body.prompt,
            body.max_tokens,
        )
        return self._generate(request, event, COMPLETION, body.stream)

    def post_chat(self, request: Request) -> Response:
        """Generate the next message of a chat."""
        account = self._authenticate(request)
        body = read_json(request, ChatRequest)
        event = self._generation_event(
            account,
            body,
            chat_prompt(body.messages),
            body.effective_max_tokens,
        )
        return self._generate(request, event, CHAT, body.stream)

    def call_service(
        self,
        request: Request,
        service: str,
        path: str,
    ) -> Response:
        """Forward a call to a replica of a service."""
        account = self._authenticate(request)
        operation = self._find_operation(request, service, f'/{path}')
        identity = _operation_identity(request, operation)
        body = read_body(request)
        query = request.query_string.decode('latin-1')
        target = f'/{path}?{query}' if query else f'/{path}'
        request_hash = hashlib.sha256(
            f'{request.method} {target}\n'.encode() + body
        )
        event = CallRequested(
            request_id=self.request_ids.next_id(),
            account=account.name,
            service=service,
            method=request.method,
            path=f'/{path}',
            identity=identity,
            body_digest=request_hash.hexdigest(),
            claim_token=secrets.token_hex(CLAIM_TOKEN_BYTES),
        )
        service_request = ServiceRequest(
            method=request.method,
            path=target,
            content_type=request.headers.get('Content-Type', ''),
            body=body,
            identity=identity,
            account=account.name,
        )
        pending = self.runtime.start_call(event, service_request)
        return self._await_call(request, event.request_id, pending)

    def get_outcome(
        self,
        request: Request,
        service: str,
        key: str,
    ) -> Response:
        """Return the claim state of a non-repeatable operation."""
        account = self._authenticate(request)
        row_key = claim_key(account.name, service, key)
        claim_result = self.runtime.claim_store.read_claim('', row_key)
        if claim_result.answer is ClaimAnswer.UNAVAILABLE:
            raise ApiError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'unavailable',
                'store_unavailable',
                'the outcome cannot be read while the store is unavailable',
            )
        state = claim_result.row.state.value if claim_result.row else 'none'
        return JsonReply({'service': service, 'key': key, 'state': state})

    def _authenticate(self, request: Request) -> Account:
        view = self.runtime.view
        if view.configuration is None:
            raise ApiError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'unavailable',
                'no_configuration',
                'this node has not received a configuration yet',
                {'Retry-After': '1'},
            )
        digest = key_digest(bearer_key(request))
        account = view.limits.by_key_digest.get(digest)
        if account:
            return account
        raise ApiError(
            http.HTTPStatus.UNAUTHORIZED,
            'authentication',
            'invalid_key',
            'the bearer key is missing or does not belong to an account',
            {'WWW-Authenticate': 'Bearer'},
        )

    def _find_model(self, name: str) -> Model:
        model = self.runtime.view.models.get(name)
        if model is None:
            raise ApiError(
                http.HTTPStatus.NOT_FOUND,
                'bad_request',
                'model_not_found',
                f'model {name!r} does not exist',
            )
        return model

    def _generation_event(
        self,
        account: Account,
        body: CompletionRequest | ChatRequest,
        text: str,
        max_tokens: int,
    ) -> GenerationRequested:
        model = self._find_model(body.model)
        prompt = self.tokenizer.encode(text)
        if len(prompt) + max_tokens > model.max_context:
            raise ApiError(
                http.HTTPStatus.BAD_REQUEST,
                'bad_request',
                'context_length_exceeded',
                f'{len(prompt)} prompt tokens plus {max_tokens} completion '
                f'tokens exceed the context length of {model.max_context}',
            )
        return GenerationRequested(
            request_id=self.request_ids.next_id(),
            account=account.name,
            model=body.model,
            prompt=prompt,
            max_tokens=max_tokens,
            interactive=body.priority == 'interactive',
        )

    def _generate(
        self,
        request: Request,
        event: GenerationRequested,
        response_format: ResponseFormat,
        stream: bool,
    ) -> Response:
        queue = self.runtime.start_generation(event)
        writer = ResponseWriter(
            request_id=event.request_id,
            model=event.model,
            prompt_tokens=len(event.prompt),
            response_format=response_format,
            queue=queue,
            watch=CallerWatch(request),
            decoder=self.tokenizer.decoder(),
        )
        try:
            first = writer.next_part()
            if stream and not _has_error(first):
                return self._stream_reply(writer, first)
            reply = self._complete_reply(writer, first)
        except CallerDisconnected:
            reply = Response(status=CLIENT_CLOSED_REQUEST)
        self.runtime.end_request(event.request_id)
        return reply

    def _complete_reply(
        self, writer: ResponseWriter, first: ResponsePart
    ) -> Response:
        part = first
        texts = [part.text]
        while part.finished is None:
            part = writer.next_part()
            texts.append(part.text)
        finished = part.finished
        if finished.error:
            return outcome_reply(
                writer.request_id,
                finished.error,
                finished.retry_after_seconds,
            )
        response = writer.make_response(''.join(texts), finished.finish)
        headers = {REQUEST_ID_HEADER: writer.request_id}
        return JsonReply(response, headers=headers)

    def _stream_reply(
        self, writer: ResponseWriter, first: ResponsePart
    ) -> Response:
        reply = Response(
            self._events(writer, first),
            content_type=EVENT_STREAM_TYPE,
            headers={
                REQUEST_ID_HEADER: writer.request_id,
                'Cache-Control': 'no-store',
            },
        )
        # If the caller disconnects before the first event is read, the
        # generator never starts and its cleanup code does not run.
        reply.call_on_close(lambda: self.runtime.end_request(writer.request_id))
        return reply

    def _events(self, writer: ResponseWriter, first: ResponsePart):
        try:
            yield from writer.events(first)
        except CallerDisconnected:
            return

    def _find_operation(
        self,
        request: Request,
        service: str,
        path: str,
    ) -> Operation:
        config = self.runtime.view.services.get(service)
        operation = None
        if config:
            operation = find_operation(config, request.method, path)
        if operation is None:
            raise ApiError(
                http.HTTPStatus.NOT_FOUND,
                'bad_request',
                'operation_not_found',
                f'service {service!r} has no operation {request.method} {path}',
            )
        return operation

    def _await_call(
        self,
        request: Request,
        request_id: str,
        pending: PendingCall,
    ) -> Response:
        watch = CallerWatch(request)
        try:
            parts = watch.next_parts(pending.queue)
        except CallerDisconnected:
            self.runtime.end_request(request_id)
            return Response(status=CLIENT_CLOSED_REQUEST)
        finished = next(iter(parts))
        return _call_reply(request_id, finished, pending)


def chat_prompt(messages: tuple[ChatMessage, ...]) -> str:
    """Format a chat as the prompt that the model continues."""
    lines = [f'{message.role}: {message.content}' for message in messages]
    return '\n'.join([*lines, 'assistant:'])


def _has_error(part: ResponsePart) -> bool:
    return bool(part.finished and part.finished.error)


def _operation_identity(request: Request, operation: Operation) -> str:
    identity = request.headers.get(operation.identity_header, '')
    if operation.repeatable:
        return ''
    if not 0 < len(identity) <= MAX_IDENTITY_LENGTH:
        raise ApiError(
            http.HTTPStatus.BAD_REQUEST,
            'bad_request',
            'identity_required',
            f'the header {operation.identity_header} must identify the '
            f'operation in 1 to {MAX_IDENTITY_LENGTH} characters',
        )
    return identity


def _call_reply(
    request_id: str,
    finished: FinishCall,
    pending: PendingCall,
) -> Response:
    if finished.error:
        return outcome_reply(
            request_id,
            finished.error,
            finished.retry_after_seconds,
        )
    reply = finished.kept or pending.reply
    return Response(
        reply.body,
        status=reply.status,
        content_type=reply.content_type,
        headers={REQUEST_ID_HEADER: request_id},
    )
