"""Turns the tokens of an answer into replies to the caller."""

import time
from collections.abc import Callable, Iterator

import msgspec
from eventlet.queue import LightQueue

from wigeonspoke.core.actions import EmitToken, FinishGeneration
from wigeonspoke.node.caller_watch import CallerWatch
from wigeonspoke.node.openai_messages import (
    Answer,
    ChatAnswer,
    ChatChoice,
    ChatDelta,
    ChatPiece,
    Choice,
    CompletionChoice,
    Usage,
)
from wigeonspoke.node.outcome_replies import error_body
from wigeonspoke.node.tokenizer import TextDecoder

EVENT = b'data: %b\n\n'
LAST_EVENT = b'data: [DONE]\n\n'


class AnswerShape(msgspec.Struct, frozen=True):
    """How one kind of request wants its answer."""

    whole_object: str
    piece_object: str
    whole: Callable[[str, str], Choice]
    piece: Callable[[str, str | None], Choice]


def _chat_whole(text: str, finish: str) -> Choice:
    return ChatChoice(ChatAnswer(text), finish)


def _chat_piece(text: str, finish: str | None) -> Choice:
    return ChatPiece(ChatDelta('assistant', text), finish)


COMPLETION = AnswerShape(
    'text_completion',
    'text_completion',
    CompletionChoice,
    CompletionChoice,
)
CHAT = AnswerShape(
    'chat.completion',
    'chat.completion.chunk',
    _chat_whole,
    _chat_piece,
)


class AnswerPart(msgspec.Struct, frozen=True):
    """Text that came, and the end of the answer if it came too."""

    text: str
    finished: FinishGeneration | None


class AnswerWriter:
    """Writes one answer, whole or as server-sent events."""

    __slots__ = (
        'answers',
        'created',
        'decoder',
        'generated',
        'model',
        'prompt_tokens',
        'request_id',
        'shape',
        'watch',
    )

    def __init__(
        self,
        request_id: str,
        model: str,
        prompt_tokens: int,
        shape: AnswerShape,
        answers: LightQueue,
        watch: CallerWatch,
        decoder: TextDecoder,
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.shape = shape
        self.answers = answers
        self.watch = watch
        self.decoder = decoder
        self.generated = 0
        self.created = int(time.time())

    def next_part(self) -> AnswerPart:
        """Wait for the next tokens or the end."""
        texts: list[str] = []
        finished = None
        for part in self.watch.next_parts(self.answers):
            if isinstance(part, EmitToken):
                self.generated += 1
                texts.append(self.decoder.feed((part.token,)))
            elif isinstance(part, FinishGeneration):
                texts.append(self.decoder.finish())
                finished = part
        return AnswerPart(''.join(texts), finished)

    def whole(self, text: str, finish: str) -> Answer:
        """Make the reply for a whole answer."""
        usage = Usage(
            self.prompt_tokens,
            self.generated,
            self.prompt_tokens + self.generated,
        )
        choice = self.shape.whole(text, finish)
        return self._answer(self.shape.whole_object, choice, usage)

    def events(self, first: AnswerPart) -> Iterator[bytes]:
        """Write the answer as server-sent events, from its first part.

        An answer that can't be finished ends with an error event and
        without the closing one, so that it is never taken for a whole one.
        """
        part = first
        while part.finished is None:
            yield self._event(part.text, None)
            part = self.next_part()
        error = part.finished.error
        if error:
            body = error_body(error)
            yield EVENT % msgspec.json.encode(body)
            return
        yield self._event(part.text, part.finished.finish)
        yield LAST_EVENT

    def _event(self, text: str, finish: str | None) -> bytes:
        choice = self.shape.piece(text, finish)
        answer = self._answer(self.shape.piece_object, choice, None)
        return EVENT % msgspec.json.encode(answer)

    def _answer(
        self,
        kind: str,
        choice: Choice,
        usage: Usage | None,
    ) -> Answer:
        return Answer(
            id=self.request_id,
            object=kind,
            created=self.created,
            model=self.model,
            choices=(choice,),
            usage=usage,
        )
