"""Builds complete and streamed responses from generated tokens."""

import time
from collections.abc import Callable, Iterator

import msgspec
from eventlet.queue import LightQueue

from wigeonspoke.core.actions import EmitToken, FinishGeneration
from wigeonspoke.node.caller_watch import CallerWatch
from wigeonspoke.node.openai_messages import (
    AssistantMessage,
    ChatChoice,
    ChatChunkChoice,
    ChatDelta,
    Choice,
    CompletionChoice,
    CompletionResponse,
    Usage,
)
from wigeonspoke.node.outcome_replies import error_body
from wigeonspoke.node.tokenizer import TextDecoder

SERVER_SENT_EVENT = b'data: %b\n\n'
DONE_EVENT = b'data: [DONE]\n\n'


class ResponseFormat(msgspec.Struct, frozen=True):
    """The object types and choice classes of the responses of one API.

    The chunk variants are used in streamed responses.
    """

    object_type: str
    chunk_object_type: str
    make_choice: Callable[[str, str], Choice]
    make_chunk_choice: Callable[[str, str | None], Choice]


def _chat_choice(text: str, finish: str) -> Choice:
    return ChatChoice(AssistantMessage(text), finish)


def _chat_chunk_choice(text: str, finish: str | None) -> Choice:
    return ChatChunkChoice(ChatDelta('assistant', text), finish)


COMPLETION = ResponseFormat(
    'text_completion',
    'text_completion',
    CompletionChoice,
    CompletionChoice,
)
CHAT = ResponseFormat(
    'chat.completion',
    'chat.completion.chunk',
    _chat_choice,
    _chat_chunk_choice,
)


class ResponsePart(msgspec.Struct, frozen=True):
    """New text of an answer.

    ``finished`` is set for the last part and ``None`` before.
    """

    text: str
    finished: FinishGeneration | None


class ResponseWriter:
    """Builds the response of one request, complete or as a stream of events."""

    __slots__ = (
        'completion_tokens',
        'created',
        'decoder',
        'model',
        'prompt_tokens',
        'queue',
        'request_id',
        'response_format',
        'watch',
    )

    def __init__(
        self,
        request_id: str,
        model: str,
        prompt_tokens: int,
        response_format: ResponseFormat,
        queue: LightQueue,
        watch: CallerWatch,
        decoder: TextDecoder,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.response_format = response_format
        self.queue = queue
        self.watch = watch
        self.decoder = decoder
        self.completion_tokens = 0
        self.created = int(time.time())

    def next_part(self) -> ResponsePart:
        """Wait for tokens or the end of the answer."""
        texts: list[str] = []
        finished = None
        for part in self.watch.next_parts(self.queue):
            if isinstance(part, EmitToken):
                self.completion_tokens += 1
                texts.append(self.decoder.feed((part.token,)))
            elif isinstance(part, FinishGeneration):
                texts.append(self.decoder.finish())
                finished = part
        return ResponsePart(''.join(texts), finished)

    def make_response(self, text: str, finish: str) -> CompletionResponse:
        """Build the response that contains a complete answer."""
        usage = Usage(
            self.prompt_tokens,
            self.completion_tokens,
            self.prompt_tokens + self.completion_tokens,
        )
        choice = self.response_format.make_choice(text, finish)
        return self._make_response(
            self.response_format.object_type, choice, usage
        )

    def events(self, first: ResponsePart) -> Iterator[bytes]:
        """Yield the answer as server-sent events, starting with ``first``.

        If the generation fails, the stream ends with an error event and
        without ``[DONE]``, so that no client takes it for complete.
        """
        part = first
        while part.finished is None:
            yield self._make_event(part.text, None)
            part = self.next_part()
        error = part.finished.error
        if error:
            body = error_body(error)
            yield SERVER_SENT_EVENT % msgspec.json.encode(body)
            return
        yield self._make_event(part.text, part.finished.finish)
        yield DONE_EVENT

    def _make_event(self, text: str, finish: str | None) -> bytes:
        choice = self.response_format.make_chunk_choice(text, finish)
        answer = self._make_response(
            self.response_format.chunk_object_type, choice, None
        )
        return SERVER_SENT_EVENT % msgspec.json.encode(answer)

    def _make_response(
        self,
        object_type: str,
        choice: Choice,
        usage: Usage | None,
    ) -> CompletionResponse:
        return CompletionResponse(
            id=self.request_id,
            object=object_type,
            created=self.created,
            model=self.model,
            choices=(choice,),
            usage=usage,
        )
