"""How the end of a response body is known."""

import enum
from collections.abc import Iterable


@enum.unique
class BodyEnd(enum.StrEnum):
    """What marks the end of a response body.

    A body with a length or a last chunk proves its completeness.  With
    ``CLOSE`` the body ends with its connection, and a sender that broke off
    looks the same as one that finished.
    """

    LENGTH = 'length'
    LAST_CHUNK = 'last-chunk'
    CLOSE = 'close'


def find_body_end(headers: Iterable[tuple[bytes, bytes]]) -> BodyEnd:
    """Return what marks the end of the body of a response.

    The names of the headers are in lower case.

    >>> find_body_end([(b'content-length', b'2')])
    <BodyEnd.LENGTH: 'length'>
    """
    names = {name for name, _ in headers}
    if b'transfer-encoding' in names:
        return BodyEnd.LAST_CHUNK
    if b'content-length' in names:
        return BodyEnd.LENGTH
    return BodyEnd.CLOSE
