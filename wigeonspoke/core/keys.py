"""The key that matches a reply to the step it answers."""

import msgspec


class StepKey(msgspec.Struct, frozen=True):
    """Identifies one step of an attempt to serve a request.

    ``index`` is the position in the answer of the token being generated, and
    ``stage`` is the position of the endpoint in the attempt's route.
    """

    request_id: str
    attempt: int
    index: int
    stage: int
