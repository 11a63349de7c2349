"""The life of one generation request, over all its attempts.

An attempt is a fresh stream on each stage of a route.  Within an attempt
every step is sent once, and only the reply to the one outstanding step is
accepted, so each layer runs once for each token and in order.  When a step
fails, the attempt is over: the next one takes the prompt and the tokens
accepted so far as its input and starts with empty state everywhere.
"""

import msgspec

from wigeonspoke.core.actions import CancelStream, SendStep
from wigeonspoke.core.deployment import Engine, Model
from wigeonspoke.core.events import GenerationRequested, StepReplied
from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.routes.route import Route

PREFILL_BATCH_TOKENS = 16


class OutstandingStep(msgspec.Struct, frozen=True):
    """The step whose reply is awaited, and since when."""

    step: SendStep
    sent_at: float


class GenerationSession:
    """One request: its accepted tokens, its attempt and its position.

    ``accepted`` holds the tokens handed to the caller; their indexes are
    contiguous by construction.  ``positions`` counts the inputs that each
    stage of the route has taken in this attempt, ``failures`` the attempts
    that ended after an endpoint may have run something.
    """

    __slots__ = (
        'accepted',
        'admitted_at',
        'attempt',
        'deadline',
        'excluded',
        'failures',
        'model',
        'outstanding',
        'positions',
        'request',
        'route',
    )

    def __init__(
        self,
        request: GenerationRequested,
        model: Model,
        now: float,
    ) -> None:
        self.request = request
        self.model = model
        self.accepted: list[int] = []
        self.admitted_at = now
        self.deadline = now + model.request_seconds
        self.attempt = 0
        self.failures = 0
        self.route: Route | None = None
        self.positions: list[int] = []
        self.outstanding: OutstandingStep | None = None
        self.excluded: set[str] = set()

    @property
    def request_id(self) -> str:
        """Give the request's id."""
        return self.request.request_id

    @property
    def is_complete(self) -> bool:
        """Tell whether the answer has all the tokens asked for."""
        return len(self.accepted) >= self.request.max_tokens

    @property
    def context(self) -> tuple[int, ...]:
        """Give the tokens that a fresh attempt starts from."""
        return (*self.request.prompt, *self.accepted)

    @property
    def work(self) -> int:
        """Give the work left in tokens; a prefill's tokens go in batches."""
        remaining = self.request.max_tokens - len(self.accepted)
        return remaining + len(self.context) // PREFILL_BATCH_TOKENS

    def start_attempt(self, route: Route) -> SendStep:
        """Start the next attempt on a route and give its first step."""
        self.attempt += 1
        self.route = route
        self.positions = [0 for _ in route.stages]
        return self._step(route, 0, self.context)

    def expects(self, key: StepKey, endpoint: str) -> bool:
        """Tell whether an endpoint's answer is to the outstanding step."""
        if self.outstanding is None:
            return False
        step = self.outstanding.step
        return step.key == key and step.endpoint == endpoint

    def advance(self, reply: StepReplied) -> SendStep | None:
        """Take in the reply to the outstanding step.

        Gives the step that follows it, or ``None`` when the reply is the
        last stage's and carries a token.
        """
        stage = reply.key.stage
        route = self.route
        if route is None or self.outstanding is None:
            return None
        self.positions[stage] += len(self.outstanding.step.inputs)
        self.outstanding = None
        if stage < route.last_stage:
            return self._step(route, stage + 1, reply.outputs)
        return None

    def accept_token(self, token: int) -> int:
        """Add a token to the answer and give its index."""
        self.accepted.append(token)
        return len(self.accepted) - 1

    def next_token_step(self, token: int) -> SendStep | None:
        """Give the first step for the token after ``token``."""
        if self.route is None:
            return None
        return self._step(self.route, 0, (token,))

    def replace_stage(self, engine: Engine) -> SendStep | None:
        """Give the outstanding step for another engine of the same range.

        Only for a stage that certainly ran nothing of this attempt, whose
        state can therefore be opened elsewhere.
        """
        if self.route is None or self.outstanding is None:
            return None
        step = self.outstanding.step
        stages = list(self.route.stages)
        stages[step.key.stage] = engine
        self.route = Route(tuple(stages))
        return msgspec.structs.replace(step, endpoint=engine.name)

    def cancel_attempt(self) -> list[CancelStream]:
        """End the attempt and free its state on every stage."""
        route = self.route
        self.route = None
        self.outstanding = None
        if route is None:
            return []
        return [
            CancelStream(engine.name, self.request_id, self.attempt)
            for engine in route.stages
        ]

    def _step(
        self,
        route: Route,
        stage: int,
        inputs: tuple[int, ...],
    ) -> SendStep:
        engine = route.stages[stage]
        key = StepKey(
            request_id=self.request_id,
            attempt=self.attempt,
            index=len(self.accepted),
            stage=stage,
        )
        return SendStep(
            endpoint=engine.name,
            key=key,
            layers=engine.layers,
            position=self.positions[stage],
            inputs=inputs,
            timeout_seconds=0,
        )
