"""Messages of the callers' interface, compatible with OpenAI's."""

from typing import Annotated, Literal

import msgspec

MAX_COMPLETION_TOKENS = 32_768
DEFAULT_COMPLETION_TOKENS = 128

TokenLimit = Annotated[int, msgspec.Meta(ge=1, le=MAX_COMPLETION_TOKENS)]
Priority = Literal['interactive', 'batch']


class CompletionRequest(msgspec.Struct, frozen=True):
    """The body of a request for a completion."""

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
    """The body of a request for a chat's next message."""

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
        """Give the bound on the answer, under either of its names."""
        asked = self.max_completion_tokens or self.max_tokens
        return asked or DEFAULT_COMPLETION_TOKENS


class Usage(msgspec.Struct, frozen=True):
    """Tokens of the prompt and of the answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class CompletionChoice(msgspec.Struct, frozen=True):
    """The text of a completion, or a piece of it."""

    text: str
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class AssistantMessage(msgspec.Struct, frozen=True):
    """The message that answers a chat."""

    content: str
    role: str = 'assistant'


class ChatChoice(msgspec.Struct, frozen=True):
    """A whole answer to a chat."""

    message: AssistantMessage
    finish_reason: str
    index: int = 0


class ChatDelta(msgspec.Struct, frozen=True, omit_defaults=True):
    """A piece of an answer to a chat."""

    role: str | None = None
    content: str | None = None


class ChatChunkChoice(msgspec.Struct, frozen=True):
    """A choice in a streamed answer to a chat."""

    delta: ChatDelta
    finish_reason: str | None = None
    index: int = 0


Choice = CompletionChoice | ChatChoice | ChatChunkChoice


class CompletionResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A whole answer, or one event of a streamed one."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[CompletionChoice | ChatChoice | ChatChunkChoice, ...]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct, frozen=True):
    """A model in the list of models."""

    id: str
    created: int = 0
    object: str = 'model'
    owned_by: str = 'wigeonspoke'


class ModelList(msgspec.Struct, frozen=True):
    """The list of models."""

    data: tuple[ModelEntry, ...]
    object: str = 'list'
