"""Decoding of JSON whose content is not trusted."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

Message = TypeVar('Message')


def decode_json(
    body: bytes, message_type: type[Message]
) -> Result[Message, str]:
    """Decode a message; a failure describes the problem.

    Whatever the bytes are, no exception is raised: a message that cannot be
    read must cost its reader nothing but that message.  Nesting that is deeper
    than the interpreter's recursion limit is a failure, too.

    >>> decode_json(b'{"a": 1}', dict[str, int])
    <Success: {'a': 1}>
    >>> decode_json(b'[' * 100000, list).failure()
    'nested too deeply'
    """
    try:
        return Success(msgspec.json.decode(body, type=message_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(str(error))
    except RecursionError:
        return Failure('nested too deeply')
