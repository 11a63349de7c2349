"""Keys of whole requests.

A part of a prompt is known by its id, which the client sends.  A whole request
is known by a digest of what makes it the same request when it comes again: the
service, method, target, client account and body.  The digest is long enough
that no client can make a request of its own meet that of another.
"""

import hashlib

DIGEST_BYTES = 16
FIELD_LENGTH_BYTES = 8
# Ids of parts contain no colon, so that none of them looks like this.
_MARK = '/request:'


def request_key(
    service: str, method: str, target: str, account: str, body: bytes
) -> str:
    """Return the key of a whole request, ``SERVICE/request:DIGEST``."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (service, method, target, account):
        _add_field(digest, text.encode('utf-8', 'surrogateescape'))
    _add_field(digest, body)
    return f'{service}{_MARK}{digest.hexdigest()}'


def is_request_key(key: str) -> bool:
    """Return whether a key stands for a whole request, not for a part."""
    return _MARK in key


def service_of(key: str) -> str:
    """Return the service to which a key belongs."""
    return key.partition('/')[0]


def _add_field(digest: 'hashlib.blake2b', content: bytes) -> None:
    # The length keeps the end of a field apart from the start of the next.
    digest.update(len(content).to_bytes(FIELD_LENGTH_BYTES, 'big'))
    digest.update(content)
