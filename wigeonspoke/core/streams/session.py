"""State of one generation request across all its attempts.

An attempt opens a new stream on each stage of a route.  Within an attempt
every step is sent once, and only the reply to the single outstanding step is
accepted, so each layer processes each token once and in order.  A failed
step ends the attempt, unless its stage has run nothing and can be moved to
another engine.  The next attempt starts with empty state on all stages, and
its input is the prompt and the tokens accepted so far.
"""

import msgspec

from wigeonspoke.core.actions import CancelStream, SendStep
from wigeonspoke.core.deployment import Engine, Model
from wigeonspoke.core.events import GenerationRequested, StepReplied
from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.routes.route import Route

# Prefill runs in batches: this many input tokens count as one unit of work.
PREFILL_BATCH_TOKENS = 16


class OutstandingStep(msgspec.Struct, frozen=True):
    """The step whose reply is awaited, and the time it was sent."""

    step: SendStep
    sent_at: float


class GenerationSession:
    """A request with its accepted tokens and its current attempt.

    ``accepted`` holds the tokens emitted to the caller; their indexes are
    contiguous by construction.  ``positions`` counts the inputs that each
    stage of the route has processed in this attempt.  ``failures`` counts
    the attempts that failed in a step that may have run.  ``excluded`` names
    endpoints that failed a step; routes avoid them if possible.
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
        """Return the request's id."""
        return self.request.request_id

    @property
    def is_complete(self) -> bool:
        """Return whether the requested number of tokens was generated."""
        return len(self.accepted) >= self.request.max_tokens

    @property
    def context(self) -> tuple[int, ...]:
        """Return the prompt and the accepted tokens, a new attempt's input."""
        return (*self.request.prompt, *self.accepted)

    @property
    def work(self) -> int:
        """Return the estimated remaining work, in tokens to generate.

        Prefill counts for less, since its tokens are processed in batches.
        """
        remaining = self.request.max_tokens - len(self.accepted)
        return remaining + len(self.context) // PREFILL_BATCH_TOKENS

    def start_attempt(self, route: Route) -> SendStep:
        """Start the next attempt on a route and return its first step."""
        self.attempt += 1
        self.route = route
        self.positions = [0 for _ in route.stages]
        return self._step(route, 0, self.context)

    def expects(self, key: StepKey, endpoint: str) -> bool:
        """Return whether a result is that of the outstanding step."""
        if self.outstanding is None:
            return False
        step = self.outstanding.step
        return step.key == key and step.endpoint == endpoint

    def advance(self, reply: StepReplied) -> SendStep | None:
        """Process the reply to the outstanding step.

        Returns the step on the next stage, or ``None`` if the reply is from
        the last stage and carries a token.
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
        """Append a token to the answer and return its index."""
        self.accepted.append(token)
        return len(self.accepted) - 1

    def next_token_step(self, token: int) -> SendStep | None:
        """Return the first-stage step that takes ``token`` as its input."""
        if self.route is None:
            return None
        return self._step(self.route, 0, (token,))

    def replace_stage(self, engine: Engine) -> SendStep | None:
        """Return the outstanding step, moved to another engine.

        The engine must have the same layer range, and the stage must not
        have run any step of this attempt, since its state is not moved.
        """
        if self.route is None or self.outstanding is None:
            return None
        step = self.outstanding.step
        stages = list(self.route.stages)
        stages[step.key.stage] = engine
        self.route = Route(tuple(stages))
        return msgspec.structs.replace(step, endpoint=engine.name)

    def cancel_attempt(self) -> list[CancelStream]:
        """End the attempt and return the cancellation for each stage."""
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
