"""Reads the body of a request, within limits that all requests share.

Every application of a listener reads bodies here, so that no client, and no
crowd of them, can take more than a bounded amount of memory, or keep the event
loop from running other tasks.
"""

import http
import io
import time
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
from eventlet.wsgi import Input

from wigeonspoke.core.body_memory import CHECK_SECONDS
from wigeonspoke.transport.chunked_decoder import ChunkedDecoder, ChunkError
from wigeonspoke.transport.client_connection import ClientConnection, Phase
from wigeonspoke.transport.request_head import RequestError
from wigeonspoke.transport.request_memory import RequestMemory
from wigeonspoke.transport.socket_peek import has_left
from wigeonspoke.transport.turn_gate import TURN_ELEMENTS, TurnGate

# Bytes received at once.  Each body may exceed its share of memory by as much.
PART_BYTES = 16384
# Bytes of which chunks are parsed at once: at most 1,024 elements.
WINDOW_BYTES = 2048
# Bytes received without a pause after which other tasks run.
TURN_BYTES = 65536
# The time for a body whose application sets no deadline.
BODY_SECONDS = 60.0
# A remainder up to this size is dropped, so that its connection stays in use.
DROPPED_BYTES = 65536
# All bodies of this process are read on one event loop.  The gate of responses
# is another one, since clients must not hold up the answers to others.
GATE = TurnGate(pauses_alone=False)


class RequestBody:
    """The body of one request.

    ``deadline`` is when its request is given up, on the monotonic clock.  What
    was read counts as held until :meth:`release`.
    """

    __slots__ = (
        'client',
        'connection',
        'deadline',
        'decoder',
        'held',
        'is_complete',
        'memory',
        'remaining',
        'rfile',
        'server_input',
        'started_at',
        'turn_bytes',
        'turn_elements',
    )

    def __init__(
        self,
        server_input: Input,
        client: ClientConnection,
        memory: RequestMemory,
    ) -> None:
        self.server_input = server_input
        self.rfile: io.BufferedReader = server_input.rfile
        self.connection = server_input.get_socket()
        self.client = client
        self.memory = memory
        client.body = self
        self.held = memory.bodies.begin(client.address)
        self.started_at = time.monotonic()
        self.deadline = self.started_at + BODY_SECONDS
        self.decoder = ChunkedDecoder() if server_input.chunked_input else None
        # Bytes of a body with a length that were not read yet.
        self.remaining = server_input.content_length or 0
        self.turn_bytes = 0
        self.turn_elements = 0
        self._keep_from_server()
        self.is_complete = self.decoder is None and not self.remaining
        if self.is_complete:
            client.enter(Phase.WAITING)

    @property
    def may_be_dropped(self) -> bool:
        """Whether the remainder is small enough to be read and dropped."""
        if self.is_complete:
            return True
        if self.server_input.should_send_hundred_continue:
            return False
        return self.remaining <= DROPPED_BYTES

    @property
    def seconds(self) -> float:
        """The time from the start of the body to its deadline."""
        return self.deadline - self.started_at

    def read_whole(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Raises
        ------
        RequestError
            The body is too large, malformed or truncated, or the memory for
            bodies is short.
        OSError
            The connection broke, or a read timed out.
        """
        if self.remaining > max_bytes:
            raise _too_large()
        return b''.join(self._collect(max_bytes))

    def read_part(self, max_bytes: int = PART_BYTES) -> bytes:
        """Read the next part, which may be empty also before the end.

        Raises
        ------
        RequestError, OSError
            The same as of :meth:`read_whole`.
        """
        self._send_continue()
        self.memory.wait_for_room(self.held, self.deadline)
        part = self._receive_part(min(max_bytes, PART_BYTES))
        self.memory.bodies.add(self.held, len(part))
        return part

    def drop(self) -> bool:
        """Read and drop what is left; return whether it was all."""
        if not self.may_be_dropped:
            return False
        until = time.monotonic() + self.client.limits.body_seconds
        self.deadline = min(self.deadline, until)
        dropped_bytes = 0
        try:
            while not self.is_complete and dropped_bytes <= DROPPED_BYTES:
                dropped_bytes += len(self._receive_part(PART_BYTES))
        except (RequestError, OSError):
            return False
        return self.is_complete

    def give_up(self) -> bool:
        """Refuse the body if it waits for memory; return whether it does."""
        return self.memory.refuse(self.held)

    def release(self) -> None:
        """Hold the body no longer."""
        self.memory.release(self.held)

    def _collect(self, max_bytes: int) -> Iterator[bytes]:
        """Yield the body in blocks, since many small parts take much memory."""
        received_bytes = 0
        block = bytearray()
        while not self.is_complete:
            part = self.read_part()
            received_bytes += len(part)
            known_bytes = 0 if self.decoder is None else self.decoder.remaining
            if received_bytes + known_bytes > max_bytes:
                raise _too_large()
            block += part
            if len(block) >= PART_BYTES:
                yield bytes(block)
                block.clear()
        yield bytes(block)

    def _keep_from_server(self) -> None:
        """Prevent the server from reading a remainder by itself."""
        self.server_input.chunk_length = 0
        self.server_input.position = self.remaining

    def _send_continue(self) -> None:
        if self.server_input.should_send_hundred_continue:
            self.server_input.send_hundred_continue_response()
            self.server_input.is_hundred_continue_response_sent = True
            self._keep_from_server()

    def _receive_part(self, max_bytes: int) -> bytes:
        self._let_others_run()
        if self.decoder is None:
            part = self._receive_bytes(min(max_bytes, self.remaining))
            self.remaining -= len(part)
            self.is_complete = not self.remaining
        else:
            part = self._receive_chunks(self.decoder, max_bytes)
            self.is_complete = self.decoder.is_complete
        self.turn_bytes += len(part)
        self.client.record_body(len(part))
        if self.is_complete:
            self.client.enter(Phase.WAITING)
        return part

    def _receive_bytes(self, max_bytes: int) -> bytes:
        received = self._wait_for(lambda: self.rfile.read1(max_bytes))
        if not received:
            raise RequestError(http.HTTPStatus.BAD_REQUEST, 'body ends early')
        return received

    def _receive_chunks(self, decoder: ChunkedDecoder, max_bytes: int) -> bytes:
        if decoder.remaining:
            wanted = min(max_bytes, decoder.remaining)
            return self._decode(decoder, self._receive_bytes(wanted))
        window = self._wait_for(lambda: self.rfile.peek(1))
        window = window[: min(WINDOW_BYTES, max_bytes)]
        part = self._decode(decoder, window)
        # The bytes that follow a complete body belong to the next request.
        following = len(decoder.buffer) if decoder.is_complete else 0
        self.rfile.read(len(window) - following)
        return part

    def _decode(self, decoder: ChunkedDecoder, received: bytes) -> bytes:
        known_count = decoder.element_count
        try:
            if not received:
                raise ChunkError('line of a chunk')
            return decoder.feed(received)
        except ChunkError as error:
            problem = str(error)
            raise RequestError(http.HTTPStatus.BAD_REQUEST, problem) from error
        finally:
            self.turn_elements += decoder.element_count - known_count

    def _wait_for(self, receive: Callable[[], bytes]) -> bytes:
        """Receive bytes, with the timeouts of a body."""
        limits = self.client.limits
        read_until = time.monotonic() + limits.body_seconds
        until = min(read_until, self.deadline)
        while True:
            remaining_seconds = until - time.monotonic()
            if remaining_seconds <= 0:
                is_read_late = until == read_until
                exceeded = limits.body_seconds if is_read_late else self.seconds
                self.client.end_by_limit(exceeded, limits.version)
                raise TimeoutError('the body takes too long')
            if self.memory.bodies.is_first(self.held):
                remaining_seconds = min(remaining_seconds, CHECK_SECONDS)
            self.connection.settimeout(remaining_seconds)
            try:
                return receive()
            except TimeoutError:
                self.memory.wait_for_room(self.held, self.deadline)

    def _let_others_run(self) -> None:
        """Let other tasks run after many bytes or elements."""
        if self.turn_elements >= TURN_ELEMENTS:
            GATE.wait(self._is_over)
            if has_left(self.connection):
                raise ConnectionAbortedError('the client has left')
        elif self.turn_bytes >= TURN_BYTES:
            eventlet.sleep(0)
        else:
            return
        self.turn_bytes = 0
        self.turn_elements = 0

    def _is_over(self) -> bool:
        """Return whether nobody waits for the request any more."""
        is_late = time.monotonic() >= self.deadline
        return is_late or has_left(self.connection)


class BodyStream(io.RawIOBase):
    """The body of a request as a stream, for applications that expect one."""

    def __init__(self, body: RequestBody) -> None:
        self.body = body

    def readable(self) -> bool:
        """Return whether the stream can be read."""
        return True

    def readinto(self, target: bytearray) -> int:
        """Read into a buffer; return the number of bytes, 0 at the end."""
        part = b''
        while not part and not self.body.is_complete:
            part = self.body.read_part(len(target))
        return io.BytesIO(part).readinto(target)


def read_request_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Read the whole body of a request that :class:`HttpListener` serves.

    The errors are those of :meth:`RequestBody.read_whole`.
    """
    return environ['wigeonspoke.body'].read_whole(max_bytes)


def _too_large() -> RequestError:
    return RequestError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'size of the body',
    )
