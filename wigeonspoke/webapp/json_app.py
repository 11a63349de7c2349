"""A base class and helpers for WSGI applications with JSON messages."""

import hashlib
import hmac
import http
from collections.abc import Callable, Iterable
from typing import BinaryIO, TypeVar

import eventlet
import msgspec
from loguru import logger
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from wigeonspoke.transport import RequestError

JSON_CONTENT_TYPE = 'application/json'
MAX_BODY_BYTES = 1_048_576
BODY_TIMEOUT_SECONDS = 10.0
READ_CHUNK_BYTES = 65_536
# The memory for bodies is mostly free again when some requests have ended.
MEMORY_RETRY_AFTER_SECONDS = '1'
BEARER_PREFIX = 'Bearer '

Body = TypeVar('Body')


class ApiError(Exception):
    """An error that is returned as a response with a JSON body.

    ``status`` is the HTTP status.  ``kind`` and ``code`` identify the error
    for programs, ``message`` explains it to people.  ``headers`` are added to
    the response.
    """

    def __init__(
        self,
        status: int,
        kind: str,
        code: str,
        message: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.kind = kind
        self.code = code
        self.headers = headers or {}


class ErrorDetail(msgspec.Struct, frozen=True):
    """The description of an error; ``type`` and ``code`` classify it."""

    message: str
    type: str
    code: str
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response, in the format of the OpenAI API."""

    error: ErrorDetail


class JsonReply(Response):
    """A response whose body is a message encoded as JSON."""

    def __init__(
        self,
        message: object,
        status: int = http.HTTPStatus.OK,
        headers: dict[str, str] | None = None,
    ) -> None:
        super().__init__(
            msgspec.json.encode(message),
            status=status,
            headers=headers,
            content_type=JSON_CONTENT_TYPE,
        )


def error_reply(error: ApiError) -> Response:
    """Return the response for an error."""
    detail = ErrorDetail(str(error), error.kind, error.code)
    return JsonReply(ErrorBody(detail), error.status, error.headers)


def read_body(request: Request, limit: int = MAX_BODY_BYTES) -> bytes:
    """Read a request's body, with limits on its size and on the time."""
    if (request.content_length or 0) > limit:
        raise _too_large(limit)
    timer = eventlet.Timeout(BODY_TIMEOUT_SECONDS)
    try:
        return _read_input(request, limit)
    except (eventlet.Timeout, TimeoutError) as error:
        if isinstance(error, eventlet.Timeout) and error is not timer:
            raise
        raise ApiError(
            http.HTTPStatus.REQUEST_TIMEOUT,
            'bad_request',
            'slow_body',
            f'the body did not arrive within {BODY_TIMEOUT_SECONDS} s',
            {'Connection': 'close'},
        ) from error
    finally:
        timer.cancel()


def read_json(
    request: Request,
    message_type: type[Body],
    limit: int = MAX_BODY_BYTES,
) -> Body:
    """Read a request's body and decode it as a message of a type."""
    try:
        return msgspec.json.decode(read_body(request, limit), type=message_type)
    except msgspec.ValidationError as error:
        raise ApiError(
            http.HTTPStatus.UNPROCESSABLE_ENTITY,
            'bad_request',
            'invalid_field',
            str(error),
        ) from error
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise ApiError(
            http.HTTPStatus.BAD_REQUEST,
            'bad_request',
            'invalid_json',
            str(error),
        ) from error


def bearer_key(request: Request) -> str:
    """Return the bearer key of a request, empty if there is none."""
    header = request.headers.get('Authorization', '')
    return (
        header.removeprefix(BEARER_PREFIX)
        if header.startswith(BEARER_PREFIX)
        else ''
    )


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(request: Request, digest: str) -> None:
    """Raise an error unless a request's bearer key has the given digest."""
    presented_digest = key_digest(bearer_key(request))
    if not hmac.compare_digest(presented_digest, digest):
        raise ApiError(
            http.HTTPStatus.UNAUTHORIZED,
            'authentication',
            'invalid_key',
            'the bearer key is missing or wrong',
            {'WWW-Authenticate': 'Bearer'},
        )


class HttpApp:
    """Routes requests to methods and converts errors to responses.

    Each rule consists of an HTTP method, a path and the method to call.
    """

    __slots__ = ('rules',)

    def __init__(self, rules: Iterable[tuple[str, str, Callable]]) -> None:
        self.rules = Map(
            [
                Rule(path, methods=[method], endpoint=view)
                for method, path, view in rules
            ]
        )

    def __call__(self, environ: dict, start_response: Callable) -> Iterable:
        """Serve one request, as WSGI specifies."""
        request = Request(environ)
        return self.handle(request)(environ, start_response)

    def handle(self, request: Request) -> Response:
        """Return the response to a request; errors have a JSON body."""
        try:
            return self._dispatch(request)
        except ApiError as error:
            return error_reply(error)
        except HTTPException as exception:
            return _http_exception_reply(exception)
        except Exception:
            logger.exception('request failed: {}', request.path)
            status = http.HTTPStatus.INTERNAL_SERVER_ERROR
            return error_reply(
                ApiError(status, 'internal', 'internal', 'internal error'),
            )

    def _dispatch(self, request: Request) -> Response:
        adapter = self.rules.bind_to_environ(request.environ)
        view, arguments = adapter.match()
        return view(request, **arguments)


def _http_exception_reply(exception: HTTPException) -> Response:
    status = exception.code or http.HTTPStatus.INTERNAL_SERVER_ERROR
    code = exception.name.lower().replace(' ', '_')
    message = exception.description or exception.name
    headers = dict(exception.get_headers())
    headers.pop('Content-Type', None)
    return error_reply(
        ApiError(status, 'bad_request', code, message, headers),
    )


def _read_input(request: Request, limit: int) -> bytes:
    # The server's stream handles Content-Length and the chunked coding.
    source = request.environ['wsgi.input']
    chunks: list[bytes] = []
    size = 0
    while chunk := _read_chunk(source):
        size += len(chunk)
        if size > limit:
            raise _too_large(limit)
        chunks.append(chunk)
    return b''.join(chunks)


def _read_chunk(source: BinaryIO) -> bytes:
    try:
        return source.read(READ_CHUNK_BYTES)
    except RequestError as error:
        raise _unreadable(error) from error


def _unreadable(error: RequestError) -> ApiError:
    """Return the error for a body that is malformed or finds no memory."""
    headers = {'Connection': 'close'}
    if error.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        headers['Retry-After'] = MEMORY_RETRY_AFTER_SECONDS
    return ApiError(error.status, 'bad_request', 'body', error.problem, headers)


def _too_large(limit: int) -> ApiError:
    return ApiError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'bad_request',
        'body_too_large',
        f'the body is larger than {limit} bytes',
        {'Connection': 'close'},
    )
