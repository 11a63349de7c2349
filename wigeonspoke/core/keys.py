"""The key that ties a reply to the one step it answers."""

import msgspec


class StepKey(msgspec.Struct, frozen=True):
    """One step: a request, its attempt, a token index and a stage.

    ``index`` is the index in the answer of the token being generated, and
    ``stage`` the position of the endpoint in the attempt's route.
    """

    request_id: str
    attempt: int
    index: int
    stage: int
