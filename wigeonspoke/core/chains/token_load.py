"""Requests and tokens that a node has on a chain."""

import msgspec


class TokenLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests whose lengths are known, with prompt and expected answer.

    The unread ones among them have not had their first event.  Nodes tell each
    other this for each chain, so that the fields are sent without names.
    """

    requests: int = 0
    tokens: int = 0
    unread_requests: int = 0
    unread_tokens: int = 0

    def plus(self, other: 'TokenLoad', sign: int = 1) -> 'TokenLoad':
        """Return the sum with another load, the difference if sign is -1."""
        return TokenLoad(
            self.requests + sign * other.requests,
            self.tokens + sign * other.tokens,
            self.unread_requests + sign * other.unread_requests,
            self.unread_tokens + sign * other.unread_tokens,
        )


NO_LOAD = TokenLoad()


def add_load(
    loads: dict[str, TokenLoad], head_id: str, load: TokenLoad, sign: int = 1
) -> None:
    """Add a load to that of a chain, or subtract it if ``sign`` is -1."""
    total = loads.get(head_id, NO_LOAD).plus(load, sign)
    if total.requests:
        loads[head_id] = total
    else:
        loads.pop(head_id, None)
