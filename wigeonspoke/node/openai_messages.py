"""Request and response bodies of the callers' API, as in OpenAI's API."""

from typing import Annotated, Literal

import msgspec

MAX_COMPLETION_TOKENS = 32_768
DEFAULT_COMPLETION_TOKENS = 128

TokenLimit = Annotated[int, msgspec.Meta(ge=1, le=MAX_COMPLETION_TOKENS)]
Priority = Literal['interactive', 'batch']


class CompletionRequest(msgspec.Struct, frozen=True):
    """The body of a completion request."""

    model: str
    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    max_tokens: TokenLimit = DEFAULT_COMPLETION_TOKENS
    stream: bool = False
    n: Literal[1] = 1
    priority: Priority = 'interactive'


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: Literal['system', 'developer', 'user', 'assistant']
    content: str


class ChatRequest(msgspec.Struct, frozen=True):
    """The body of a chat completion request."""

    model: str
    messages: Annotated[
        tuple[ChatMessage, ...],
        msgspec.Meta(min_length=1),
    ]
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None
    stream: bool = False
    n: Literal[1] = 1
    priority: Priority = 'interactive'

    @property
    def effective_max_tokens(self) -> int:
        """The maximum number of completion tokens.

        Clients may give it as ``max_completion_tokens`` or ``max_tokens``.
        """
        asked = self.max_completion_tokens or self.max_tokens
        return asked or DEFAULT_COMPLETION_TOKENS


class Usage(msgspec.Struct, frozen=True):
    """The numbers of tokens in the prompt and the completion."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class CompletionChoice(msgspec.Struct, frozen=True):
    """The text of a completion or of one chunk of a stream."""

    text: str
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class AssistantMessage(msgspec.Struct, frozen=True):
    """The generated message of a chat."""

    content: str
    role: str = 'assistant'


class ChatChoice(msgspec.Struct, frozen=True):
    """The choice in a complete chat response."""

    message: AssistantMessage
    finish_reason: str
    index: int = 0


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The part of the generated message in one chunk."""

    role: str | None = None
    content: str | None = None


class ChatChunkChoice(msgspec.Struct, frozen=True):
    """The choice in one chunk of a streamed chat response."""

    delta: ChatDelta
    finish_reason: str | None = None
    index: int = 0


Choice = CompletionChoice | ChatChoice | ChatChunkChoice


class CompletionResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A complete response or one chunk of a streamed one."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice | ChatChoice | ChatChunkChoice, ...]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct, frozen=True):
    """One model in the list of models."""

    id: str
    created: int = 0
    object: str = 'model'
    owned_by: str = 'wigeonspoke'


class ModelList(msgspec.Struct, frozen=True):
    """The response to a request for the list of models."""

    data: tuple[ModelEntry, ...]
    object: str = 'list'
